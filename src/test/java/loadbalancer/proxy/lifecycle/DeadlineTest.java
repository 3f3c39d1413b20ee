package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;
import loadbalancer.testsupport.SteppedClock;

/** Deadlines of pipelined requests, which count from the arrival of the request. */
@Timeout(60)
class DeadlineTest {
    private static final long SECOND_US = 1_000_000;

    private static long remainingUs(HttpMessages.Message request) {
        String text = request.headers().get("x-remaining");
        return Long.parseLong(text.substring(0, text.length() - 1));
    }

    @Test
    void deadlineOfAPipelinedRequestCountsFromItsLastByte() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        try (ScriptedHttpServer server = ScriptedHttpServer.servingFrom(first, "x");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.clock = clock;
            fixture.start(server);
            Socket client = fixture.connect();
            ProxyFixture.write(
                    client,
                    HttpMessages.page("/api/p", "first", "100000m") + HttpMessages.page("/api/p", "second", "30000m"));
            ScriptedHttpServer.next(server.requests);
            fixture.awaitPriorInputRead();
            clock.advance(20 * SECOND_US);
            ScriptedHttpServer.next(fixture.discovery.peers).write(ProxyFixture.chunk("\n"));
            fixture.awaitLease();
            first.countDown();
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            long remaining = remainingUs(ScriptedHttpServer.next(server.requests));
            assertTrue(
                    remaining <= 10 * SECOND_US,
                    "at most 10 s of 30 s must remain after 20 s, but " + remaining + " us remain");
        }
    }

    @Test
    void pipelinedRequestIsNotSentAfterItsDeadline() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        try (ScriptedHttpServer server = ScriptedHttpServer.servingFrom(first, "x");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.clock = clock;
            fixture.start(server);
            Socket client = fixture.connect();
            ProxyFixture.write(
                    client, HttpMessages.page("/api/p", "first", "100000m") + HttpMessages.order("second", "10000m"));
            ScriptedHttpServer.next(server.requests);
            fixture.awaitPriorInputRead();
            clock.advance(20 * SECOND_US);
            first.countDown();
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            assertEquals(503, HttpMessages.read(client.getInputStream()).status());
            assertTrue(server.requests.isEmpty());
        }
    }
}
