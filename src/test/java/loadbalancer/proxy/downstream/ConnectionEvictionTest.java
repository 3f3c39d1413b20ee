package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Client connections that are evicted to free their descriptors for others. */
class ConnectionEvictionTest {
    @Test
    void longestIdleConnectionIsEvictedForANewOne() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.maxDescriptors = 64;
            proxy.start(upstream);
            Socket first = proxy.connect();
            assertEquals(
                    200, ProxyFixture.ask(first, HttpMessages.page("first")).status());
            for (int i = 0; i < 20; i++) {
                assertEquals(200, proxy.ask(HttpMessages.page("t" + i)).status());
            }
            assertEquals(-1, first.getInputStream().read(), "the longest idle connection is evicted");
        }
    }

    @Test
    void numberOfIdleConnectionsIsLimited() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket activeClient = proxy.connect();
            Socket first = proxy.connect();
            assertEquals(
                    200, ProxyFixture.ask(first, HttpMessages.page("first")).status());
            // Exceeds the limit on idle connections with far fewer connections than the descriptors allow.
            for (int i = 0; i < proxy.maxDescriptors / 6; i++) {
                assertEquals(
                        200,
                        ProxyFixture.ask(activeClient, HttpMessages.page("u" + i))
                                .status());
                assertEquals(200, proxy.ask(HttpMessages.page("t" + i)).status());
            }
            first.setSoTimeout(2_000);
            assertEquals(-1, first.getInputStream().read(), "evicted long before the keep-alive timeout");
            assertEquals(
                    200,
                    ProxyFixture.ask(activeClient, HttpMessages.page("last")).status());
        }
    }

    private static boolean isClosed(Socket client) {
        try {
            return client.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    @Timeout(4)
    void numberOfIdleConnectionsIsLimitedAfterABurst() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            int maxIdle = proxy.maxDescriptors / 6;
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 2 * maxIdle; i++) {
                Socket client = proxy.connect();
                ProxyFixture.write(client, HttpMessages.page("/api/p", "t" + i, "5000m"));
                clients.add(client);
            }
            proxy.awaitPriorInputRead();
            respond.countDown();
            for (Socket client : clients) {
                HttpMessages.read(client.getInputStream());
                client.setSoTimeout(1);
            }
            // The order of the responses decides which connections are evicted.
            while (clients.size() > maxIdle) {
                clients.removeIf(ConnectionEvictionTest::isClosed);
            }
            assertEquals(
                    200,
                    ProxyFixture.ask(proxy.connect(), HttpMessages.page("next")).status());
        }
    }

    @Test
    void unusedConnectionsAreEvictedBeforeIdleOnes() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.maxDescriptors = 64;
            proxy.start(upstream);
            Socket activeClient = proxy.connect();
            assertEquals(
                    200, ProxyFixture.ask(activeClient, HttpMessages.page("a")).status());
            Socket unused = proxy.connect();
            for (int i = 0; i < 100; i++) {
                proxy.connect();
            }
            assertEquals(-1, unused.getInputStream().read());
            assertEquals(
                    200, ProxyFixture.ask(activeClient, HttpMessages.page("b")).status());
        }
    }
}
