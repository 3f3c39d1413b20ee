package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.lifecycle.ShutdownSchedule;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Bytes and connections that arrive while a connection or the listener closes. Closing a socket with unread bytes would
 * reset the connection and could lose a response; closing the listener would reset the connections of the backlog.
 */
@Timeout(60)
class ConnectionCloseTest {
    private static final int CHUNK_BYTES = 64 << 10;
    private static final int MAX_CHUNKS = 1_000;

    /** Writes until the proxy reads no more: nothing can be written even after an iteration of its event loop. */
    static void assertProxyStopsReading(ProxyFixture proxy, SocketChannel client) throws IOException {
        ByteBuffer requests =
                ByteBuffer.wrap(HttpMessages.page("t").repeat(CHUNK_BYTES / 100).getBytes(StandardCharsets.US_ASCII));
        client.configureBlocking(false);
        for (int i = 0; i < MAX_CHUNKS; i++) {
            if (client.write(requests.rewind()) == 0) {
                proxy.awaitPriorInputRead();
                if (client.write(requests.rewind()) == 0) {
                    return;
                }
            }
        }
        throw new AssertionError("the proxy still reads after " + MAX_CHUNKS + " chunks");
    }

    @Test
    void bytesAfterTheLastResponseAreNotRead() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream);
                SocketChannel client = SocketChannel.open(proxy.address())) {
            HttpMessages.Message last = ProxyFixture.ask(
                    client.socket(), HttpMessages.page("t").replace("X-Org", "Connection: close\r\nX-Org"));
            assertEquals(200, last.status());
            assertEquals(-1, client.socket().getInputStream().read());
            assertProxyStopsReading(proxy, client);
            assertEquals(1, upstream.requests.size());
        }
    }

    @Test
    void requestsAfterTheLastResponseDoNotResetTheConnection() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            HttpMessages.Message last =
                    ProxyFixture.ask(client, HttpMessages.page("t").replace("X-Org", "Connection: close\r\nX-Org"));
            assertEquals(200, last.status());
            assertEquals(-1, client.getInputStream().read());
            // If the proxy had closed the socket, the first request would cause a reset and the next write would fail.
            for (String transactionId : new String[] {"u", "v"}) {
                proxy.awaitPriorInputRead();
                ProxyFixture.write(client, HttpMessages.page(transactionId));
            }
            proxy.awaitPriorInputRead();
            assertEquals(1, upstream.requests.size(), "no further request is served");
        }
    }

    @Test
    void bytesDuringTheLastResponseAreNotRead() throws Exception {
        String large = "a".repeat(ConnectionLimits.MAX_RESPONSE_BODY_BYTES);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving(large);
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream);
                SocketChannel client = SocketChannel.open()) {
            client.socket().setReceiveBufferSize(4_096);
            client.connect(proxy.address());
            ProxyFixture.write(client.socket(), HttpMessages.page("t").replace("X-Org", "Connection: close\r\nX-Org"));
            ScriptedHttpServer.next(upstream.peers);
            // The client reads only the first byte, so that the response stays partly unwritten.
            client.socket().getInputStream().read();
            assertProxyStopsReading(proxy, client);
        }
    }

    /** The backlog is larger than the number of connections that one iteration of the event loop accepts. */
    @Test
    void backlogIsServedWhenTheListenerCloses() throws Exception {
        int backlog = ConnectionLimits.MAX_ACCEPTS_PER_ITERATION + 36;
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.maxDescriptors = 1_024;
            proxy.start(upstream);
            CountDownLatch release = BacklogTest.blockEventLoop(proxy.loop);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < backlog; i++) {
                Socket client = proxy.connect();
                ProxyFixture.write(client, HttpMessages.page("/api/p", "t" + i, "20000m"));
                clients.add(client);
            }
            proxy.node.beginGracefulShutdown(new ShutdownSchedule(1, 20_000_000), () -> {});
            release.countDown();
            for (Socket client : clients) {
                assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            }
            proxy.awaitConnectionsRefused();
        }
    }

    /** A listener whose first accepts fail as if no descriptor were left. */
    private static final class FailingListener extends ClientListener {
        private final AtomicInteger remainingFailures;

        FailingListener(AtomicInteger remainingFailures) {
            this.remainingFailures = remainingFailures;
        }

        @Override
        protected SocketChannel acceptSocket() throws IOException {
            if (remainingFailures.getAndDecrement() > 0) {
                throw new IOException("Too many open files in system");
            }
            return super.acceptSocket();
        }
    }

    @Test
    void acceptingResumesSoonAfterAnError() throws Exception {
        AtomicInteger remainingFailures = new AtomicInteger(4);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.listeners = () -> new FailingListener(remainingFailures);
            proxy.start(upstream);
            Socket client = proxy.connect();
            // Shorter than the one second for which Netty's own handler stops accepting after a failure.
            client.setSoTimeout(900);
            assertEquals(200, ProxyFixture.ask(client, HttpMessages.page("t")).status());
            assertTrue(remainingFailures.get() < 0);
        }
    }
}
