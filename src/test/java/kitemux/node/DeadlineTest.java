package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Deadlines: from when they count, what is passed on, and what is no longer sent. */
@Timeout(60)
class DeadlineTest {
    private static final long SECOND_US = 1_000_000;

    private static long remainingUs(Http.Message request) {
        String text = request.headers().get("x-remaining");
        return Long.parseLong(text.substring(0, text.length() - 1));
    }

    @Test
    void aPipelinedRequestHasItsTimeFromItsLastByteAndNotFromItsTurn() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        try (FarServer server = FarServer.servingFrom(first, "x");
                Site site = Site.quiet()) {
            site.clock = clock;
            site.start(server);
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "first", "100000m") + Http.page("/api/p", "second", "30000m"));
            FarServer.next(server.requests);
            site.awaitRead();
            clock.advance(20 * SECOND_US);
            FarServer.next(site.discovery.peers).write(Site.chunk("\n"));
            site.awaitLease();
            first.countDown();
            assertEquals(200, Http.read(client.getInputStream()).status());
            assertEquals(200, Http.read(client.getInputStream()).status());
            long remaining = remainingUs(FarServer.next(server.requests));
            assertTrue(remaining <= 10 * SECOND_US, "30 s, of which 20 have passed, but " + remaining + " us");
        }
    }

    @Test
    void aPipelinedRequestWhoseTimeIsOverAtItsTurnIsNotSent() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        try (FarServer server = FarServer.servingFrom(first, "x");
                Site site = Site.quiet()) {
            site.clock = clock;
            site.start(server);
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "first", "100000m") + Http.order("second", "10000m"));
            FarServer.next(server.requests);
            site.awaitRead();
            clock.advance(20 * SECOND_US);
            first.countDown();
            assertEquals(200, Http.read(client.getInputStream()).status());
            assertEquals(503, Http.read(client.getInputStream()).status());
            assertTrue(server.requests.isEmpty());
        }
    }
}
