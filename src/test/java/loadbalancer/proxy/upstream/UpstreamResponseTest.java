package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Tests when a response is complete and that it is used only for its own request. */
@Timeout(60)
class UpstreamResponseTest {
    private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String TRUNCATED_BODY = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of it";
    private static final String MISSING_LAST_CHUNK =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n";
    private static final String TRUNCATED_CHUNK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwhole";

    @ParameterizedTest
    @ValueSource(strings = {"", "how long is this"})
    void responseWithoutLengthIsCompleteWhenTheEndpointShutsDownItsOutput(String body) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    peer.write(HEAD_WITHOUT_LENGTH + body);
                    peer.socket().shutdownOutput();
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            for (int i = 0; i < 2; i++) {
                HttpMessages.Message response = proxyFixture.ask(HttpMessages.order("t" + i, "4000m"));
                assertEquals(200, response.status());
                assertEquals(body, response.body());
            }
            assertEquals(
                    2,
                    server.acceptedCount.get(),
                    "each request needs a new connection, because the endpoint has shut down its output");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200",
                HEAD_WITHOUT_LENGTH,
                HEAD_WITHOUT_LENGTH + "some bytes, or all of them",
                TRUNCATED_BODY,
                MISSING_LAST_CHUNK,
                TRUNCATED_CHUNK
            })
    void resetDoesNotCompleteAResponse(String partialResponse) throws Exception {
        CountDownLatch partialResponseRead = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    peer.write(partialResponse);
                    ScriptedHttpServer.await(partialResponseRead);
                    peer.reset();
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            Socket client = proxyFixture.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "20000m"));
            ScriptedHttpServer.next(server.requests);
            // The reset follows only after the proxy has read the partial response, because a reset discards unread
            // input.
            proxyFixture.awaitPriorInputRead();
            partialResponseRead.countDown();
            assertEquals(502, HttpMessages.read(client.getInputStream()).status());
            assertTrue(server.requests.isEmpty(), "the order must not be sent again");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200", TRUNCATED_BODY, MISSING_LAST_CHUNK, TRUNCATED_CHUNK})
    void outputShutdownDoesNotCompleteATruncatedResponse(String partialResponse) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    peer.write(partialResponse);
                    peer.socket().shutdownOutput();
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(
                    502, proxyFixture.ask(HttpMessages.order("t", "20000m")).status());
            assertEquals(1, server.requests.size(), "the order must not be sent again");
        }
    }

    @Test
    void closeByTheProxyDoesNotCompleteAResponse() throws Exception {
        try (ScriptedHttpServer server =
                        new ScriptedHttpServer((request, peer) -> peer.write(HEAD_WITHOUT_LENGTH + "some bytes"));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(502, proxyFixture.ask(HttpMessages.order("t", "300m")).status());
        }
    }

    /** A response that arrives after the timeout of its attempt must be used neither for that request nor for a later one. */
    @Test
    void lateResponseAfterATimeoutIsNotUsedForAnotherRequest() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        CountDownLatch timedOut = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    if (requestCount.getAndIncrement() == 0) {
                        ScriptedHttpServer.await(timedOut);
                    }
                    peer.write(HttpMessages.ok(request.headers().get("x-txn")));
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            Socket client = proxyFixture.connect();
            assertEquals(
                    502,
                    ProxyFixture.ask(client, HttpMessages.order("first", "200m"))
                            .status());
            timedOut.countDown();
            assertEquals(
                    "second",
                    ProxyFixture.ask(client, HttpMessages.order("second", "20000m"))
                            .body());
        }
    }

    @Test
    void lateResponseAfterAClientDisconnectIsNotUsedForAnotherRequest() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        CountDownLatch clientDisconnected = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    if (requestCount.getAndIncrement() == 0) {
                        ScriptedHttpServer.await(clientDisconnected);
                    }
                    peer.write(HttpMessages.ok(request.headers().get("x-txn")));
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            Socket leavingClient = proxyFixture.connect();
            ProxyFixture.write(leavingClient, HttpMessages.order("first", "20000m"));
            ScriptedHttpServer.next(server.requests);
            leavingClient.close();
            proxyFixture.awaitPriorInputRead();
            clientDisconnected.countDown();
            assertEquals(
                    "second",
                    proxyFixture.ask(HttpMessages.order("second", "20000m")).body());
        }
    }

    /** Starts a server that accepts one connection and responds as soon as it receives the first byte of a request. */
    private static ServerSocket startServerThatRespondsToTheFirstByte(String response) throws IOException {
        ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread server = new Thread(() -> {
            try (Socket socket = listening.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                // Reads until the proxy closes the connection; the proxy never sends the rest of the request.
                socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                // The proxy has reset the connection.
            }
        });
        server.setDaemon(true);
        server.start();
        return listening;
    }

    /**
     * A response that precedes the last byte of a request must not be served, because an endpoint does not start to execute
     * a request before its last byte.
     */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "500 Error", "503 Busy\r\nX-Turned-Away: 1"})
    void responseBeforeTheRequestIsFullyWrittenIsNotServed(String status) throws Exception {
        try (ServerSocket earlyServer = startServerThatRespondsToTheFirstByte(HttpMessages.response(status, "", "x"));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.settings.maxAttempts = 1;
            proxyFixture.upstreamChannels = () -> new StallingChannel(new CountDownLatch(1));
            proxyFixture.startWithCachedList(
                    ProxyFixture.list(1, true, "s0=127.0.0.1:" + earlyServer.getLocalPort() + "=Ready"));
            assertEquals(
                    503,
                    proxyFixture.ask(HttpMessages.order("t", "20000m")).status(),
                    "the order is rejected, as it was certainly not executed");
        }
    }

    /**
     * An endpoint must not receive the rest of a request whose client has disconnected, whether or not cancellation is
     * enabled.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void partlyWrittenRequestIsAbortedWhenItsClientDisconnects(boolean isCancellationEnabled) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.settings.cancellationEnabled = isCancellationEnabled;
            proxyFixture.upstreamChannels = () -> new StallingChannel(stalled);
            proxyFixture.start(server);
            Socket leavingClient = proxyFixture.connect();
            ProxyFixture.write(leavingClient, HttpMessages.order("t", "3600000m"));
            stalled.await();
            leavingClient.close();
            ScriptedHttpServer.next(server.closedConnections);
            assertTrue(server.requests.isEmpty());
        }
    }
}
