package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.RequestClass;
import loadbalancer.proxy.downstream.HangingListener;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.upstream.StallingChannel;
import loadbalancer.proxy.upstream.UpstreamChannel;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;
import loadbalancer.testsupport.SteppedClock;

/**
 * Guards against attempts that are sent although they are not permitted any more.
 *
 * <p>Failure: a request with an idempotency key was executed twice. Its retry was decided on within the deduplication
 * window, waited for a connection, and was sent after the window.
 *
 * <p>Cause: the window was checked when an attempt started, not when it was sent.
 */
@Timeout(60)
class DelayedSendTest {
    private static final int KEYED_CLASS = 1;
    private static final long WINDOW_US = 3_000_000;
    private static final String KEYED_REQUEST =
            HttpMessages.order("t", "20000m").replace("X-Lane: order", "X-Lane: photo\r\nIdempotency-Key: k");

    private final SteppedClock clock = new SteppedClock();
    private final CountDownLatch firstAttemptMayFail = new CountDownLatch(1);

    /** Starts an endpoint that resets each connection after it has received a request and the latch is released. */
    private ScriptedHttpServer startResettingServer() throws Exception {
        return new ScriptedHttpServer((request, peer) -> {
            ScriptedHttpServer.await(firstAttemptMayFail);
            peer.reset();
        });
    }

    private ProxyFixture newFixture() throws Exception {
        ProxyFixture fixture = ProxyFixture.withHeartbeat();
        fixture.clock = clock;
        fixture.settings.connectTimeoutUs = 20_000_000;
        RequestClass keyed = fixture.settings.classes.get(KEYED_CLASS);
        fixture.settings.classes.set(
                KEYED_CLASS,
                new RequestClass(
                        keyed.name(),
                        keyed.latencyObjectiveUs(),
                        keyed.latencyObjectiveWorkFactor(),
                        20_000_000,
                        keyed.priorityWeight(),
                        1,
                        keyed.idempotency(),
                        keyed.deduplicationScope(),
                        WINDOW_US,
                        keyed.isStreaming()));
        return fixture;
    }

    /** Has the first attempt sent to the first endpoint, adds the second one to the list, and fails the attempt. */
    private Socket startRetryAtSecondEndpoint(ProxyFixture fixture, ScriptedHttpServer first, String secondEndpoint)
            throws Exception {
        fixture.start(first);
        Socket client = fixture.connect();
        ProxyFixture.write(client, KEYED_REQUEST);
        ScriptedHttpServer.next(first.requests);
        ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(fixture.discovery.peers);
        watch.write(ProxyFixture.chunk(ProxyFixture.list(2, false, "s1=" + secondEndpoint + "=Ready") + "\n"));
        fixture.awaitPriorInputRead();
        fixture.discovery.peers.add(watch);
        firstAttemptMayFail.countDown();
        ScriptedHttpServer.next(first.closedConnections);
        return client;
    }

    private static void awaitPendingExchange(ProxyFixture fixture) throws Exception {
        // The reset of the first attempt and the start of its retry.
        fixture.awaitCounts(counts -> counts.exchanges() == 1 && counts.descriptors() == counts.clients() + 1);
        fixture.awaitPriorInputRead();
    }

    private static void assertNothingIsSent(ProxyFixture fixture, HangingListener hanging, Socket client)
            throws Exception {
        hanging.freeBacklog();
        try (Socket connection = hanging.accept()) {
            assertEquals(502, HttpMessages.read(client.getInputStream()).status());
            fixture.closeClients();
            fixture.loop.submit(fixture.node::close).get();
            assertEquals(-1, connection.getInputStream().read());
        }
    }

    /** The window ends, or is so close to its end that a suspended process would write after it. */
    @ParameterizedTest
    @ValueSource(longs = {WINDOW_US + 100_000, WINDOW_US - 100_000})
    void retryThatAwaitsAConnectionIsNotSentAfterItsDeduplicationWindow(long afterUs) throws Exception {
        try (ScriptedHttpServer first = startResettingServer();
                HangingListener hanging = new HangingListener();
                ProxyFixture fixture = newFixture()) {
            Socket client = startRetryAtSecondEndpoint(fixture, first, hanging.endpoint());
            awaitPendingExchange(fixture);
            clock.advance(afterUs);
            assertNothingIsSent(fixture, hanging, client);
        }
    }

    @Test
    void retryThatAwaitsAConnectionIsSentWithinItsDeduplicationWindow() throws Exception {
        try (ScriptedHttpServer first = startResettingServer();
                HangingListener hanging = new HangingListener();
                ProxyFixture fixture = newFixture()) {
            Socket client = startRetryAtSecondEndpoint(fixture, first, hanging.endpoint());
            awaitPendingExchange(fixture);
            hanging.freeBacklog();
            try (Socket connection = hanging.accept()) {
                assertEquals(
                        "t",
                        HttpMessages.read(connection.getInputStream()).headers().get("x-txn"));
                ProxyFixture.write(connection, HttpMessages.ok("x"));
                assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            }
        }
    }

    /** The end of the stream is behind the requests that wait on the connection. */
    @Test
    void requestThatAwaitsAConnectionIsNotSentAfterItsClientHasDisconnected() throws Exception {
        try (HangingListener hanging = new HangingListener();
                ProxyFixture fixture = newFixture()) {
            fixture.startWithCachedList(ProxyFixture.list(1, true, "s0=" + hanging.endpoint() + "=Ready"));
            Socket client = fixture.connect();
            for (int i = 0; i < 2 * ConnectionLimits.MAX_PIPELINED_REQUESTS; i++) {
                ProxyFixture.write(client, HttpMessages.page("t" + i));
            }
            fixture.awaitCounts(counts -> counts.exchanges() == 1);
            fixture.awaitPriorInputRead();
            client.close();
            hanging.freeBacklog();
            try (Socket connection = hanging.accept()) {
                fixture.awaitCounts(counts -> counts.requests() == 0);
                fixture.loop.submit(fixture.node::close).get();
                assertEquals(-1, connection.getInputStream().read());
            }
        }
    }

    /** The endpoints that know the key are those of the cell in which the first attempt may have been executed. */
    @Test
    void retryThatAwaitsAConnectionIsNotSentToAnEndpointThatHasMovedToAnotherCell() throws Exception {
        try (ScriptedHttpServer first = startResettingServer();
                HangingListener hanging = new HangingListener();
                ProxyFixture fixture = newFixture()) {
            Socket client = startRetryAtSecondEndpoint(fixture, first, hanging.endpoint());
            awaitPendingExchange(fixture);
            String moved = ProxyFixture.list(3, false, "s1=" + hanging.endpoint() + "=Ready")
                    .replace("\"pod_group\":0", "\"pod_group\":1");
            ScriptedHttpServer.next(fixture.discovery.peers).write(ProxyFixture.chunk(moved + "\n"));
            fixture.awaitPriorInputRead();
            assertNothingIsSent(fixture, hanging, client);
        }
    }

    /** A request of which the endpoint has read a part is executed only with its last byte. */
    @Test
    void restOfAPartlyWrittenRetryIsNotSentAfterItsDeduplicationWindow() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        StallingChannel[] second = new StallingChannel[1];
        int[] channelCount = {0};
        try (ScriptedHttpServer first = startResettingServer();
                ScriptedHttpServer stalling = ScriptedHttpServer.serving("x");
                ProxyFixture fixture = newFixture()) {
            fixture.upstreamChannels = () -> {
                channelCount[0]++;
                if (channelCount[0] == 1) {
                    return new UpstreamChannel();
                }
                second[0] = new StallingChannel(stalled);
                return second[0];
            };
            Socket client = startRetryAtSecondEndpoint(fixture, first, stalling.endpoint());
            stalled.await();
            clock.advance(WINDOW_US);
            second[0].resume();
            assertEquals(502, HttpMessages.read(client.getInputStream()).status());
            ScriptedHttpServer.next(stalling.closedConnections);
            assertTrue(stalling.requests.isEmpty());
        }
    }
}
