package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.ChannelOutboundBuffer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a node does while nothing vouches for its server list, and as that begins and ends. */
@Timeout(60)
class LeaseTest {
    private static final long PAST_LEASE_US = 20_000_000;

    /** A discovery whose calls have no answer until a latch opens. */
    private static Site answeredFrom(CountDownLatch start) throws Exception {
        return new Site(new FarServer((request, peer) -> {
            peer.write(Site.watchHead());
            FarServer.await(start);
            peer.write(Site.chunk("\n"));
        }));
    }

    @Test
    void aNodeIsNotReadyAndSendsNothingUntilDiscoveryHasSpoken() throws Exception {
        CountDownLatch start = new CountDownLatch(1);
        try (FarServer server = FarServer.serving("x");
                Site site = answeredFrom(start)) {
            site.startUnconfirmed(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            assertEquals(503, site.ask(Http.UP).status());
            Http.Message refusal = site.ask(Http.order("early", "5000m"));
            assertEquals(503, refusal.status());
            assertEquals("0.25", refusal.headers().get("retry-after"));
            start.countDown();
            site.awaitLease();
            assertEquals(200, site.ask(Http.UP).status());
            assertEquals(200, site.ask(Http.order("late", "5000m")).status());
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void onceItsLeaseIsOverANodeRefusesAndStaysReadyAndWhatIsOutIsAnswered() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        try (FarServer server = FarServer.servingFrom(answered, "x");
                Site site = Site.quiet()) {
            site.clock = clock;
            site.start(server);
            Socket out = site.connect();
            Site.write(out, Http.order("out", "50000m"));
            FarServer.next(server.requests);
            clock.advance(PAST_LEASE_US);
            assertEquals(503, site.ask(Http.page("/api/p", "new", "5000m")).status());
            assertEquals(200, site.ask(Http.UP).status());
            answered.countDown();
            assertEquals(200, Http.read(out.getInputStream()).status());
            assertTrue(server.requests.isEmpty());
            FarServer.next(site.discovery.peers).write(Site.chunk("\n"));
            site.awaitLease();
            assertEquals(200, site.ask(Http.page("/api/p", "again", "5000m")).status());
        }
    }

    @Test
    void aRetryIsNotSentOnceTheLeaseIsOver() throws Exception {
        CountDownLatch failed = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        FarServer.Script failing = (request, peer) -> {
            FarServer.await(failed);
            peer.write(Http.answer("500 No", "", ""));
        };
        try (FarServer one = new FarServer(failing);
                FarServer two = new FarServer(failing);
                Site site = Site.quiet()) {
            site.clock = clock;
            site.start(one, two);
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "t", "50000m"));
            while (one.requests.isEmpty() && two.requests.isEmpty()) {
                Thread.onSpinWait();
            }
            clock.advance(PAST_LEASE_US);
            failed.countDown();
            assertEquals(503, Http.read(client.getInputStream()).status());
            assertEquals(1, one.requests.size() + two.requests.size());
        }
    }

    @Test
    void whatAwaitsAConnectionAsTheLeaseEndsIsRefusedAndNotSentOnceItIsUp() throws Exception {
        SteppedClock clock = new SteppedClock();
        try (HangingListener hanging = new HangingListener();
                Site site = Site.quiet()) {
            site.clock = clock;
            site.settings.connectTimeoutUs = 20_000_000;
            site.startKnowing(Site.list(1, true, "s0=" + hanging.endpoint() + "=Ready"));
            Socket client = site.connect();
            Site.write(client, Http.order("t", "50000m"));
            site.awaitCounts(counts -> counts.exchanges() == 1);
            clock.advance(PAST_LEASE_US);
            hanging.makeRoom();
            try (Socket dialed = hanging.accept()) {
                assertEquals(503, Http.read(client.getInputStream()).status());
                site.closeClients();
                site.loop.submit(site.node::close).get();
                assertEquals(-1, dialed.getInputStream().read());
            }
        }
    }

    /** Takes nothing of the first message until it is told to go on, as with a full buffer. */
    private static final class FullChannel extends ServerChannel {
        private final CountDownLatch whenFull;
        private volatile boolean resumed;

        FullChannel(CountDownLatch whenFull) {
            this.whenFull = whenFull;
        }

        @Override
        protected void writeOut(ChannelOutboundBuffer pending) throws Exception {
            if (resumed) {
                super.writeOut(pending);
            } else {
                whenFull.countDown();
            }
        }

        void resume() {
            resumed = true;
            eventLoop().execute(() -> unsafe().flush());
        }
    }

    @Test
    void aRequestOfWhichNothingHasLeftIsNotSentToAServerThatBeginsToDrain() throws Exception {
        CountDownLatch full = new CountDownLatch(1);
        FullChannel[] first = new FullChannel[1];
        try (FarServer drains = FarServer.serving("drains");
                FarServer stays = FarServer.serving("stays");
                Site site = Site.quiet()) {
            site.serverChannels = () -> {
                if (first[0] == null) {
                    first[0] = new FullChannel(full);
                    return first[0];
                }
                return new ServerChannel();
            };
            site.start(drains);
            Socket client = site.connect();
            Site.write(client, Http.order("t", "20000m"));
            full.await();
            FarServer.next(site.discovery.peers)
                    .write(Site.chunk(Site.list(
                                    2,
                                    false,
                                    "s0=" + drains.endpoint() + "=Terminating",
                                    "s1=" + stays.endpoint() + "=Ready")
                            + "\n"));
            assertEquals("stays", Http.read(client.getInputStream()).body());
            first[0].resume();
            FarServer.next(drains.ended);
            assertTrue(drains.requests.isEmpty());
        }
    }
}
