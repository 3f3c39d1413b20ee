package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Guards against request smuggling: the proxy and a peer that find the end of a message at different places, so that the
 * rest of one message is taken for another message.
 */
@Timeout(60)
class RequestFramingTest {
    private static final String HIDDEN_REQUEST = HttpMessages.page("hidden");

    /** Sends the text on a new connection, and returns everything that the proxy sends until it closes the connection. */
    private static String exchangeUntilClose(ProxyFixture proxy, String text) throws Exception {
        Socket client = proxy.connect();
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static String withHeaders(String request, String headers) {
        return request.replace("\r\n\r\n", "\r\n" + headers.replace("|", "\r\n") + "\r\n\r\n");
    }

    private static void assertOnlyRegularRequestsAreForwarded(String invalidRequest) throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) ->
                        peer.write(HttpMessages.ok(request.headers().get("x-txn"))));
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            String responses = exchangeUntilClose(proxy, invalidRequest);
            assertTrue(responses.startsWith("HTTP/1.1 400 "), responses);
            assertEquals(1, responses.split("HTTP/1.1 ", -1).length - 1, "one response: " + responses);
            for (int i = 0; i < 2; i++) {
                String id = "regular" + i;
                assertEquals(id, proxy.ask(HttpMessages.page(id)).body(), "the response to this request");
                assertEquals(
                        id, ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
            }
            assertTrue(upstream.requests.isEmpty(), "the endpoint must get no other request");
        }
    }

    /** The body of a GET was forwarded without a length, so that the endpoint read it as a further request. */
    @Test
    void bodyOfAGetDoesNotBecomeARequestAtTheEndpoint() throws Exception {
        String length = "Content-Length: " + HIDDEN_REQUEST.length();
        assertOnlyRegularRequestsAreForwarded(withHeaders(HttpMessages.page("t"), length) + HIDDEN_REQUEST);
    }

    /** A chunked body of a GET was forwarded without a length, so that the endpoint read it as a further request. */
    @Test
    void chunkedBodyOfAGetDoesNotBecomeARequestAtTheEndpoint() throws Exception {
        assertOnlyRegularRequestsAreForwarded(withHeaders(HttpMessages.page("t"), "Transfer-Encoding: chunked")
                + ProxyFixture.chunk(HIDDEN_REQUEST) + "0\r\n\r\n");
    }

    /** A GET with an empty body has the same end for all peers, so it is served. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 0", "Transfer-Encoding: chunked"})
    void getWithAnEmptyBodyIsServed(String framing) throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            String end = framing.startsWith("Transfer") ? "0\r\n\r\n" : "";
            Socket client = proxy.connect();
            for (int i = 0; i < 2; i++) {
                String request = withHeaders(HttpMessages.page("t" + i), framing) + end;
                assertEquals(200, ProxyFixture.ask(client, request).status());
            }
        }
    }

    /** Netty assumes a body of eight bytes, which are part of the next request, if these headers are present. */
    @Test
    void headersOfAnOldWebSocketDraftAddNoBody() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            String headers = "Sec-WebSocket-Key1: 1|Sec-WebSocket-Key2: 2";
            ProxyFixture.write(client, withHeaders(HttpMessages.page("t"), headers) + HttpMessages.page("u"));
            for (int i = 0; i < 2; i++) {
                assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            }
        }
    }

    /** Chunk framing that peers read differently must not be interpreted leniently. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "2\nab\r\n0\r\n\r\n",
                "2\r\nab\n0\r\n\r\n",
                "2\r\nabcd\r\n0\r\n\r\n",
                "2;a=\nb\r\nab\r\n0\r\n\r\n",
                "0x2\r\nab\r\n0\r\n\r\n",
                "+2\r\nab\r\n0\r\n\r\n",
                "-2\r\nab\r\n0\r\n\r\n",
                "2 2\r\nab\r\n0\r\n\r\n",
                "2,2\r\nab\r\n0\r\n\r\n",
                " 2\r\nab\r\n0\r\n\r\n",
                "2\u000b\r\nab\r\n0\r\n\r\n",
                "2\0\r\nab\r\n0\r\n\r\n",
                ";a\r\nab\r\n0\r\n\r\n",
                "\r\nab\r\n0\r\n\r\n",
                "100000002\r\nab\r\n0\r\n\r\n",
                "2\r\nab\r\n0\r\nno colon\r\n\r\n",
            })
    void malformedChunksGet400(String chunks) throws Exception {
        assertOnlyRegularRequestsAreForwarded(
                HttpMessages.order("t", "4000m", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                        + chunks
                        + HIDDEN_REQUEST);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "2\r\nab\r\n0\r\n\r\n",
                "2;ext=1\r\nab\r\n00\r\nTrailer: 1\r\n\r\n",
                "0000000002 ;e\r\nab\r\n0\r\n\r\n"
            })
    void wellFormedChunksAreForwarded(String chunks) throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            String request =
                    HttpMessages.order("t", "4000m", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                            + chunks;
            assertEquals(200, proxy.ask(request).status());
            assertEquals("ab", ScriptedHttpServer.next(upstream.requests).body());
        }
    }

    /** Heads whose end, framing or target peers read differently must not be interpreted leniently. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /api/x HTTP/1.0|Transfer-Encoding: chunked",
                "POST /api/x HTTP/1.1|Transfer-Encoding: chunked;q=1",
                "POST /api/x HTTP/1.1|Transfer-Encoding: \u000bchunked",
                "POST /api/x HTTP/1.1|Transfer-Encoding:",
                "POST /api/x HTTP/1.1|Transfer-Encoding: chunked|Content-Length: 0",
                "POST /api/x HTTP/1.1|Content-Length: 2, 2",
                "POST /api/x HTTP/1.1|Content-Length:",
                "POST /api/x HTTP/1.1|Content-Length: 2 2",
                "POST /api/x HTTP/1.1|Content-Length: \u000b2",
                "POST /api/x HTTP/1.1| Content-Length: 2",
                "POST /api/x HTTP/1.1|X-Other: a\nContent-Length: 0",
                "POST /api/x HTTP/1.1|X-Other: a\rContent-Length: 0",
                "POST /api/x HTTP/9.9|X-Other: a",
                "POST /api/x HTTP/2.0|X-Other: a",
                "POST /api/x\u00e9 HTTP/1.1|X-Other: a",
                "POST /api/x\0 HTTP/1.1|X-Other: a",
                "POST /api/x\u007f HTTP/1.1|X-Other: a",
                "POST\t/api/x\tHTTP/1.1|X-Other: a",
                "POST  /api/x HTTP/1.1|X-Other: a",
                "PUT /api/x HTTP/1.1|X-Other: a",
            })
    void ambiguousHeadGets400(String lines) throws Exception {
        String[] parts = lines.split("\\|", 2);
        String request = HttpMessages.order("t", "4000m", "")
                .replace("POST /api/order HTTP/1.1", parts[0])
                .replace("Content-Length: 0", parts[1].replace("|", "\r\n"));
        assertOnlyRegularRequestsAreForwarded(request + "ab" + HIDDEN_REQUEST);
    }

    /** A response to HEAD has no body: its bytes would be taken for the response to the next request. */
    @ParameterizedTest
    @ValueSource(strings = {"/api/x", "/up", "/nothing"})
    void responseToHeadHasNoBody(String path) throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            String request =
                    withHeaders(HttpMessages.page(path, "t", "400m").replace("GET ", "HEAD "), "Connection: close");
            String response = exchangeUntilClose(proxy, request);
            assertEquals("", response.substring(response.indexOf("\r\n\r\n") + 4));
            assertEquals(0, upstream.acceptedCount.get());
        }
    }

    /** A successful response to CONNECT would begin a tunnel: the peer would not expect another response. */
    @ParameterizedTest
    @ValueSource(strings = {"CONNECT", "POST", "OPTIONS", "up"})
    void readinessCheckOfAnotherMethodGets405(String method) throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withHeartbeat().start()) {
            String request = HttpMessages.READINESS_REQUEST.replace("GET", method);
            assertEquals(405, proxy.ask(request).status());
        }
    }
}
