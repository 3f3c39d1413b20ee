package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Guards against responses whose end the proxy and another peer find at different places: the rest of one response would
 * be taken for the response to another request.
 */
@Timeout(60)
class ResponseFramingTest {
    private static final String CHUNKED_BODY = "1\r\nx\r\n0\r\n\r\n";

    /** Such a response must not be served. The order may have been executed, so it is not sent again. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked|Content-Length: 11",
                "HTTP/1.1 200 OK|Content-Length: 11|Transfer-Encoding: chunked",
                "HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked",
                "HTTP/1.1 200 OK|Transfer-Encoding: gzip|Transfer-Encoding: chunked",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked|Transfer-Encoding: chunked",
                "HTTP/1.1 200 OK|Transfer-Encoding: identity|Content-Length: 11",
                "HTTP/1.1 200 OK|Transfer-Encoding: gzip|Content-Length: 11",
                "HTTP/1.0 200 OK|Connection: keep-alive|Transfer-Encoding: chunked",
                "HTTP/1.1 200 OK|Content-Length: 11|Content-Length: 11",
                "HTTP/1.1 200 OK|Content-Length: 11|Content-Length: 12",
                "HTTP/1.1 200 OK|Content-Length: +11",
                "HTTP/1.1 200 OK|Content-Length: 11, 11",
                "HTTP/1.1 200 OK|Content-Length : 11",
                "HTTP/1.1 200 OK|Content-Length: 11\nX-Other: a",
            })
    void ambiguousResponseIsNotServed(String head) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer(
                        (request, peer) -> peer.write(head.replace("|", "\r\n") + "\r\n\r\n" + CHUNKED_BODY));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(
                    502, proxyFixture.ask(HttpMessages.order("t", "20000m")).status());
            assertEquals(1, server.requests.size(), "the order must not be sent again");
        }
    }

    /** The body of an informational or empty response must not be taken for the response to the next request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\nContent-Length: 38\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
            })
    void informationalResponseHasNoBody(String informationalResponse) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> peer.write(informationalResponse
                        + HttpMessages.ok(request.headers().get("x-txn"))));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            for (int i = 0; i < 3; i++) {
                String id = "t" + i;
                assertEquals(
                        id, proxyFixture.ask(HttpMessages.order(id, "20000m")).body());
            }
        }
    }

    /** Bytes behind a response that has no body must end the connection, not answer the next request. */
    @Test
    void bytesBehindAResponseWithoutBodyAreNotUsedForAnotherRequest() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    String id = request.headers().get("x-txn");
                    String emptyResponse = "HTTP/1.1 204 No Content\r\nContent-Length: 40\r\n\r\n";
                    peer.write(id.equals("empty") ? emptyResponse + HttpMessages.ok("foreign") : HttpMessages.ok(id));
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            assertTrue(proxyFixture.ask(HttpMessages.order("empty", "20000m")).status() >= 500);
            for (int i = 0; i < 3; i++) {
                String id = "t" + i;
                assertEquals(
                        id, proxyFixture.ask(HttpMessages.order(id, "20000m")).body());
            }
        }
    }

    /** The protocol does not limit how many fields a response has, and the proxy keeps none of these. */
    @ParameterizedTest
    @ValueSource(ints = {100, 1_500})
    void responseWithManyShortHeaderFieldsIsForwarded(int fields) throws Exception {
        String response = HttpMessages.response("200 OK", "a:1\r\n".repeat(fields), "body");
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> peer.write(response));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            HttpMessages.Message forwarded = proxyFixture.ask(HttpMessages.order("t", "20000m"));
            assertEquals(200, forwarded.status());
            assertEquals("body", forwarded.body());
        }
    }
}
