package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Forwarding of client requests to endpoints and of responses to clients. */
class DownstreamServerTest {
    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("proof");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            String request = "POST /api/7f3a?x=1&y=%20 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b1f\r\nX-Lane: photo\r\n"
                    + "X-Org: org\r\nX-Remaining: 480m\r\nIdempotency-Key: 5c0f\r\n"
                    + "Content-Length: 4\r\n\r\nbody";
            HttpMessages.Message response = proxy.ask(request);
            assertEquals(200, response.status());
            assertEquals("proof", response.body());
            HttpMessages.Message sent = ScriptedHttpServer.next(upstream.requests);
            assertEquals("POST /api/7f3a?x=1&y=%20 HTTP/1.1", sent.startLine());
            assertEquals("9b1f", sent.headers().get("x-txn"));
            assertEquals("5c0f", sent.headers().get("idempotency-key"));
            assertEquals("body", sent.body());
            long remainingUs =
                    ClientRequestParser.parseRemainingUs(sent.headers().get("x-remaining"));
            assertTrue(remainingUs > 0 && remainingUs < 480_000, "remaining " + remainingUs);
        }
    }

    @Test
    void remainingTimeSentUpstreamExcludesTheTimeForTheResponse() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            assertEquals(
                    200, proxy.ask(HttpMessages.page("/api/p", "t", "3000m")).status());
            String sent = ScriptedHttpServer.next(upstream.requests).headers().get("x-remaining");
            assertTrue(Long.parseLong(sent.replace("u", "")) <= 2_850_000, "sent upstream: " + sent);
        }
    }

    @Test
    void connectionIsKeptAliveBetweenRequests() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        ProxyFixture.ask(client, HttpMessages.page("t" + i)).status());
            }
            assertEquals(1, upstream.acceptedCount.get(), "upstream connections");
        }
    }

    @Test
    void transactionIdOfAnOpenRequestIsRejected() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket first = proxy.connect();
            ProxyFixture.write(first, HttpMessages.order("same", "5000m"));
            ScriptedHttpServer.next(upstream.requests);
            assertEquals(400, proxy.ask(HttpMessages.order("same", "5000m")).status());
            respond.countDown();
            assertEquals(200, HttpMessages.read(first.getInputStream()).status());
            assertEquals(1, upstream.acceptedCount.get());
            assertEquals(
                    200, proxy.ask(HttpMessages.order("same", "5000m")).status(), "accepted again after the response");
        }
    }

    @Test
    void rejectionHasRetryAfterAndKeepsTheConnection() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer(
                        (request, peer) -> peer.write(HttpMessages.response("503 Busy", "X-Turned-Away: 1\r\n", "")));
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            HttpMessages.Message response = proxy.ask(HttpMessages.order("t", "300m"));
            assertEquals(503, response.status());
            assertEquals("0.25", response.headers().get("retry-after"));
            assertFalse(response.headers().containsKey("connection"));
        }
    }
}
