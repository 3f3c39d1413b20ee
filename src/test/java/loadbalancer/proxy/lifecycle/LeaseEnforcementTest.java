package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.ChannelOutboundBuffer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.downstream.HangingListener;
import loadbalancer.proxy.upstream.UpstreamChannel;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;
import loadbalancer.testsupport.SteppedClock;

/** A node sends requests to endpoints only while it holds a lease on its endpoint list. */
@Timeout(60)
class LeaseEnforcementTest {
    private static final long LONGER_THAN_LEASE_US = 20_000_000;

    /** Returns a fixture whose discovery sends its first heartbeat once the latch opens. */
    private static ProxyFixture withHeartbeatAfter(CountDownLatch start) throws Exception {
        return new ProxyFixture(new ScriptedHttpServer((request, peer) -> {
            peer.write(ProxyFixture.watchResponseHead());
            ScriptedHttpServer.await(start);
            peer.write(ProxyFixture.chunk("\n"));
        }));
    }

    @Test
    void nodeIsNotReadyAndRejectsRequestsUntilDiscoveryResponds() throws Exception {
        CountDownLatch start = new CountDownLatch(1);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture fixture = withHeartbeatAfter(start)) {
            fixture.startWithoutLease(ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            assertEquals(503, fixture.ask(HttpMessages.READINESS_REQUEST).status());
            HttpMessages.Message rejection = fixture.ask(HttpMessages.order("early", "5000m"));
            assertEquals(503, rejection.status());
            assertEquals("0.25", rejection.headers().get("retry-after"));
            start.countDown();
            fixture.awaitLease();
            assertEquals(200, fixture.ask(HttpMessages.READINESS_REQUEST).status());
            assertEquals(200, fixture.ask(HttpMessages.order("late", "5000m")).status());
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void afterLeaseExpiryNewRequestsAreRejectedAndAttemptsInFlightComplete() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        try (ScriptedHttpServer server = ScriptedHttpServer.servingFrom(answered, "x");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.clock = clock;
            fixture.start(server);
            Socket out = fixture.connect();
            ProxyFixture.write(out, HttpMessages.order("out", "50000m"));
            ScriptedHttpServer.next(server.requests);
            clock.advance(LONGER_THAN_LEASE_US);
            assertEquals(
                    503,
                    fixture.ask(HttpMessages.page("/api/p", "new", "5000m")).status());
            assertEquals(200, fixture.ask(HttpMessages.READINESS_REQUEST).status());
            answered.countDown();
            assertEquals(200, HttpMessages.read(out.getInputStream()).status());
            assertTrue(server.requests.isEmpty());
            ScriptedHttpServer.next(fixture.discovery.peers).write(ProxyFixture.chunk("\n"));
            fixture.awaitLease();
            assertEquals(
                    200,
                    fixture.ask(HttpMessages.page("/api/p", "again", "5000m")).status());
        }
    }

    @Test
    void retryIsNotSentAfterLeaseExpiry() throws Exception {
        CountDownLatch failed = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        ScriptedHttpServer.Script failing = (request, peer) -> {
            ScriptedHttpServer.await(failed);
            peer.write(HttpMessages.response("500 No", "", ""));
        };
        try (ScriptedHttpServer one = new ScriptedHttpServer(failing);
                ScriptedHttpServer two = new ScriptedHttpServer(failing);
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.clock = clock;
            fixture.start(one, two);
            Socket client = fixture.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/p", "t", "50000m"));
            while (one.requests.isEmpty() && two.requests.isEmpty()) {
                Thread.onSpinWait();
            }
            clock.advance(LONGER_THAN_LEASE_US);
            failed.countDown();
            assertEquals(503, HttpMessages.read(client.getInputStream()).status());
            assertEquals(1, one.requests.size() + two.requests.size());
        }
    }

    @Test
    void requestThatAwaitsAConnectionAtLeaseExpiryIsRejectedAndNeverSent() throws Exception {
        SteppedClock clock = new SteppedClock();
        try (HangingListener hanging = new HangingListener();
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.clock = clock;
            fixture.settings.connectTimeoutUs = 20_000_000;
            fixture.startWithCachedList(ProxyFixture.list(1, true, "s0=" + hanging.endpoint() + "=Ready"));
            Socket client = fixture.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "50000m"));
            fixture.awaitCounts(counts -> counts.exchanges() == 1);
            clock.advance(LONGER_THAN_LEASE_US);
            hanging.freeBacklog();
            try (Socket dialed = hanging.accept()) {
                assertEquals(503, HttpMessages.read(client.getInputStream()).status());
                fixture.closeClients();
                fixture.loop.submit(fixture.node::close).get();
                assertEquals(-1, dialed.getInputStream().read());
            }
        }
    }

    /** A channel that writes nothing until {@link #resume}, as if the send buffer of its socket were full. */
    private static final class FullChannel extends UpstreamChannel {
        private final CountDownLatch whenFull;
        private volatile boolean isResumed;

        FullChannel(CountDownLatch whenFull) {
            this.whenFull = whenFull;
        }

        @Override
        protected void writeToSocket(ChannelOutboundBuffer pending) throws Exception {
            if (isResumed) {
                super.writeToSocket(pending);
            } else {
                whenFull.countDown();
            }
        }

        void resume() {
            isResumed = true;
            eventLoop().execute(() -> unsafe().flush());
        }
    }

    @Test
    void unsentRequestIsNotSentToAnEndpointThatBeginsToDrain() throws Exception {
        CountDownLatch full = new CountDownLatch(1);
        FullChannel[] first = new FullChannel[1];
        try (ScriptedHttpServer draining = ScriptedHttpServer.serving("drains");
                ScriptedHttpServer ready = ScriptedHttpServer.serving("stays");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.upstreamChannels = () -> {
                if (first[0] == null) {
                    first[0] = new FullChannel(full);
                    return first[0];
                }
                return new UpstreamChannel();
            };
            fixture.start(draining);
            Socket client = fixture.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "20000m"));
            full.await();
            ScriptedHttpServer.next(fixture.discovery.peers)
                    .write(ProxyFixture.chunk(ProxyFixture.list(
                                    2,
                                    false,
                                    "s0=" + draining.endpoint() + "=Terminating",
                                    "s1=" + ready.endpoint() + "=Ready")
                            + "\n"));
            assertEquals("stays", HttpMessages.read(client.getInputStream()).body());
            first[0].resume();
            ScriptedHttpServer.next(draining.closedConnections);
            assertTrue(draining.requests.isEmpty());
        }
    }
}
