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

/** Which response is whole, and which request it answers. */
@Timeout(60)
class UpstreamResponseTest {
    private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String SHORT_BODY = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart of it";
    private static final String OPEN_CHUNKS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n";
    private static final String CUT_CHUNK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwhole";

    @ParameterizedTest
    @ValueSource(strings = {"", "how long is this"})
    void aResponseWithoutALengthIsWholeAsItsServerEndsSending(String body) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    peer.write(NO_LENGTH + body);
                    peer.socket().shutdownOutput();
                });
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            for (int i = 0; i < 2; i++) {
                HttpMessages.Message response = site.ask(HttpMessages.order("t" + i, "4000m"));
                assertEquals(200, response.status());
                assertEquals(body, response.body());
            }
            assertEquals(2, server.connections.get(), "what has ended carries nothing more");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200",
                NO_LENGTH,
                NO_LENGTH + "some bytes, or all of them",
                SHORT_BODY,
                OPEN_CHUNKS,
                CUT_CHUNK
            })
    void aResetIsNoEndOfAResponse(String begun) throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    peer.write(begun);
                    ScriptedHttpServer.await(read);
                    peer.reset();
                });
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            Socket client = site.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "20000m"));
            ScriptedHttpServer.next(server.requests);
            // What has been written is read before the reset: a reset drops what waits unread.
            site.awaitPriorInputRead();
            read.countDown();
            assertEquals(502, HttpMessages.read(client.getInputStream()).status());
            assertTrue(server.requests.isEmpty(), "an order is sent once");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200", SHORT_BODY, OPEN_CHUNKS, CUT_CHUNK})
    void theEndOfSendingDoesNotMakeACutResponseWhole(String begun) throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    peer.write(begun);
                    peer.socket().shutdownOutput();
                });
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(502, site.ask(HttpMessages.order("t", "20000m")).status());
            assertEquals(1, server.requests.size(), "an order is sent once");
        }
    }

    @Test
    void whatTheNodeGivesUpIsNotWholeByItsOwnClose() throws Exception {
        try (ScriptedHttpServer server =
                        new ScriptedHttpServer((request, peer) -> peer.write(NO_LENGTH + "some bytes"));
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(502, site.ask(HttpMessages.order("t", "300m")).status());
        }
    }

    /** A response that crosses the end of its attempt must answer neither that request nor a later one. */
    @Test
    void aResponseThatCrossesATimeOutAnswersNoOtherRequest() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        CountDownLatch timedOut = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    if (asked.getAndIncrement() == 0) {
                        ScriptedHttpServer.await(timedOut);
                    }
                    peer.write(HttpMessages.ok(request.headers().get("x-txn")));
                });
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            Socket client = site.connect();
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
    void aResponseThatCrossesItsClientsLeavingAnswersNoOtherRequest() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        CountDownLatch left = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    if (asked.getAndIncrement() == 0) {
                        ScriptedHttpServer.await(left);
                    }
                    peer.write(HttpMessages.ok(request.headers().get("x-txn")));
                });
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            Socket leaves = site.connect();
            ProxyFixture.write(leaves, HttpMessages.order("first", "20000m"));
            ScriptedHttpServer.next(server.requests);
            leaves.close();
            site.awaitPriorInputRead();
            left.countDown();
            assertEquals(
                    "second", site.ask(HttpMessages.order("second", "20000m")).body());
        }
    }

    /** A server that answers as soon as a request has begun; it takes one connection. */
    private static ServerSocket answeringAtTheFirstByte(String response) throws IOException {
        ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread server = new Thread(() -> {
            try (Socket socket = listening.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                // Until the node closes: it never sends the rest.
                socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                // The node has reset it.
            }
        });
        server.setDaemon(true);
        server.start();
        return listening;
    }

    /** It is no answer to that request, which the server never begins without its last byte. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "500 Error", "503 Busy\r\nX-Turned-Away: 1"})
    void aResponseBeforeItsRequestIsWrittenWholeIsNotServed(String status) throws Exception {
        try (ServerSocket early = answeringAtTheFirstByte(HttpMessages.answer(status, "", "x"));
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.settings.maxAttempts = 1;
            site.upstreamChannels = () -> new StallingChannel(new CountDownLatch(1));
            site.startWithCachedList(ProxyFixture.list(1, true, "s0=127.0.0.1:" + early.getLocalPort() + "=Ready"));
            assertEquals(503, site.ask(HttpMessages.order("t", "20000m")).status(), "known never to have run");
        }
    }

    /** A request that its client has left must not become whole at a server, with or without leave to cancel. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestThatIsWrittenInPartIsBrokenOffAsItsClientLeaves(boolean cancel) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.settings.cancellationEnabled = cancel;
            site.upstreamChannels = () -> new StallingChannel(stalled);
            site.start(server);
            Socket leaves = site.connect();
            ProxyFixture.write(leaves, HttpMessages.order("t", "3600000m"));
            stalled.await();
            leaves.close();
            ScriptedHttpServer.next(server.ended);
            assertTrue(server.requests.isEmpty());
        }
    }
}
