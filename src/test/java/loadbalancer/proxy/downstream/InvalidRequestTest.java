package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Requests that violate the protocol or its limits. They must not reach an endpoint, and the bytes after them must not
 * be treated as a further request.
 */
class InvalidRequestTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /api/x HTTP/1.1|X-Lane: page|X-Remaining: 400m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Txn: u|X-Lane: page|X-Remaining: 400m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: none|X-Remaining: 400m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 400",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: -4m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: NaNm",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 9999999999m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: photo|X-Remaining: 400m",
                "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 400m",
                "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: photo|X-Remaining: 400m",
                "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: order|X-Remaining: 400m|Idempotency-Key: k",
                "not http at all",
            })
    void invalidRequestGets400AndIsNotForwarded(String lines) throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            assertEquals(400, proxy.ask(lines.replace("|", "\r\n") + "\r\n\r\n").status());
            assertEquals(0, upstream.acceptedCount.get());
            assertEquals(200, proxy.ask(HttpMessages.page("next")).status(), "the proxy still serves requests");
        }
    }

    @Test
    void unknownPathGets404AndIsNotForwarded() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            assertEquals(
                    404, proxy.ask(HttpMessages.page("/apis/x", "t", "400m")).status());
            assertEquals(0, upstream.acceptedCount.get());
        }
    }

    @Test
    void bodyOver64KiBGets413AndBodyOfExactly64KiBIsForwarded() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            String order = HttpMessages.order("t", "4000m");
            String largest = HttpMessages.order("t", "4000m", "a".repeat(65_536));
            assertEquals(200, proxy.ask(largest).status());
            String larger = order.replace("Length: 2\r\n\r\nab", "Length: 65537\r\n\r\n");
            assertEquals(413, proxy.ask(larger).status());
            assertEquals(1, upstream.requests.size());
        }
    }

    @Test
    void responseToAnOversizedBodyIsDeliveredWhileTheBodyArrives() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "4000m", "a".repeat(8_000_000)));
            assertEquals(413, HttpMessages.read(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read());
            assertEquals(0, upstream.acceptedCount.get());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked|Content-Length: 4",
                "Content-Length: 4|Transfer-Encoding: chunked",
                "Transfer-Encoding: chunked|Transfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: identity",
                "Content-Length: 4|Content-Length: 4",
                "Content-Length: 4|Content-Length: 40",
                "Content-Length: +4",
                "Content-Length: -4",
                "Content-Length: 0x4",
                "Content-Length: 99999999999999999999",
                "Content-Length : 4",
                "no colon|Content-Length: 4",
            })
    void ambiguousFramingGets400AndClosesTheConnection(String framing) throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(
                    client,
                    HttpMessages.order("t", "4000m")
                            .replace("Content-Length: 2", framing.replace("|", "\r\n"))
                            .replace("ab", "0\r\n\r\n" + HttpMessages.page("hidden")));
            assertEquals(400, HttpMessages.read(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read());
            assertEquals(0, upstream.acceptedCount.get());
        }
    }

    @Test
    void noPipelinedRequestIsServedAfterAnInvalidOne() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/p", "t", "soon") + HttpMessages.page("u"));
            assertEquals(400, HttpMessages.read(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read());
            assertEquals(0, upstream.acceptedCount.get());
        }
    }

    @Test
    void oversizedPipelinedRequestDoesNotAffectTheOpenOne() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/p", "t", "5000m"));
            ScriptedHttpServer.next(upstream.requests);
            ProxyFixture.write(client, HttpMessages.order("u", "4000m").replace("Length: 2", "Length: 90000"));
            // Waits until the proxy has read the oversized request.
            proxy.awaitPriorInputRead();
            respond.countDown();
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            assertEquals(413, HttpMessages.read(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read());
        }
    }
}
