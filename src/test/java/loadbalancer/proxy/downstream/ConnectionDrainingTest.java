package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.lifecycle.ProxyNode;
import loadbalancer.proxy.lifecycle.ShutdownSchedule;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Client connections in a graceful shutdown. */
class ConnectionDrainingTest {
    /** A short time in which requests are accepted, and a long time for their responses. */
    private static final ShutdownSchedule SHORT_REQUEST_TIME = new ShutdownSchedule(600_000, 20_000_000);

    @Test
    void drainingProxyIsNotReadyAndCompletesOpenRequests() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "late");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            assertEquals(200, proxy.ask(HttpMessages.READINESS_REQUEST).status());
            Socket client = proxy.connect();
            Socket idle = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/x", "t", "5000m"));
            ScriptedHttpServer.next(upstream.requests);
            CountDownLatch closed = new CountDownLatch(1);
            proxy.node.beginGracefulShutdown(new ShutdownSchedule(600_000, 20_000_000), closed::countDown);
            HttpMessages.Message up = proxy.ask(HttpMessages.READINESS_REQUEST);
            assertEquals(503, up.status());
            assertEquals("close", up.headers().get("connection"));
            // The proxy closes idle connections once it accepts no new ones. Open requests are still served.
            assertEquals(-1, idle.getInputStream().read());
            proxy.awaitConnectionsRefused();
            assertEquals(1, closed.getCount());
            respond.countDown();
            HttpMessages.Message last = HttpMessages.read(client.getInputStream());
            assertEquals("late", last.body());
            assertEquals("close", last.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            assertTrue(closed.await(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void drainingProxyKeepsServingOpenConnections() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            assertEquals(
                    200, ProxyFixture.ask(client, HttpMessages.page("before")).status());
            proxy.node.beginGracefulShutdown(new ShutdownSchedule(20_000_000, 21_000_000), () -> {});
            proxy.awaitConnectionsRefused();
            for (int i = 0; i < 3; i++) {
                HttpMessages.Message response = ProxyFixture.ask(client, HttpMessages.page("t" + i));
                assertEquals(200, response.status());
                assertEquals(null, response.headers().get("connection"));
            }
        }
    }

    @Test
    @Timeout(60)
    void partialRequestIsServedInAGracefulShutdown() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket partialRequestClient = proxy.connect();
            String order = HttpMessages.order("t", "5000m");
            ProxyFixture.write(partialRequestClient, order.substring(0, order.length() - 1));
            Socket idle = proxy.connect();
            assertEquals(
                    200, ProxyFixture.ask(idle, HttpMessages.page("before")).status());
            proxy.node.beginGracefulShutdown(SHORT_REQUEST_TIME, () -> {});
            assertEquals(-1, idle.getInputStream().read(), "idle connections are closed");
            ProxyFixture.write(partialRequestClient, order.substring(order.length() - 1));
            HttpMessages.Message response = HttpMessages.read(partialRequestClient.getInputStream());
            assertEquals(200, response.status());
            assertEquals("close", response.headers().get("connection"));
            assertEquals(-1, partialRequestClient.getInputStream().read());
        }
    }

    @Test
    @Timeout(60)
    void pipelinedRequestsAreServedInAGracefulShutdown() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(
                    client, HttpMessages.page("/api/p", "a", "20000m") + HttpMessages.page("/api/p", "b", "20000m"));
            ScriptedHttpServer.next(upstream.requests);
            Socket idle = proxy.connect();
            CountDownLatch closed = new CountDownLatch(1);
            proxy.node.beginGracefulShutdown(SHORT_REQUEST_TIME, closed::countDown);
            assertEquals(-1, idle.getInputStream().read(), "idle connections are closed");
            respond.countDown();
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            HttpMessages.Message last = HttpMessages.read(client.getInputStream());
            assertEquals(200, last.status());
            assertEquals("close", last.headers().get("connection"));
            assertTrue(closed.await(20, TimeUnit.SECONDS));
        }
    }

    @Test
    @Timeout(60)
    void openRequestGets504BeforeTheProcessEnds() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "3600000m"));
            ScriptedHttpServer.next(upstream.requests);
            CountDownLatch closed = new CountDownLatch(1);
            proxy.node.beginGracefulShutdown(new ShutdownSchedule(600_000, 700_000), closed::countDown);
            assertEquals(504, HttpMessages.read(client.getInputStream()).status());
            ScriptedHttpServer.next(upstream.closedConnections);
            assertTrue(closed.await(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void requestOfADrainingProxyGetsAResponseBeforeTheProcessEnds() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            proxy.node.beginGracefulShutdown(new ShutdownSchedule(20_000_000, 400_000), () -> {});
            // The deadline of the request is later than the read timeout of the client.
            assertTrue(
                    ProxyFixture.ask(client, HttpMessages.order("t", "60000m")).status() >= 500);
        }
    }

    @Test
    @Timeout(60)
    void shutdownBeforeListeningCompletesAndPreventsListening() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            ProxyNode node = new ProxyNode(proxy.config(ProxyFixture.list(1, true)), proxy.loop, proxy.dependencies());
            CountDownLatch closed = new CountDownLatch(1);
            node.beginGracefulShutdown(SHORT_REQUEST_TIME, closed::countDown);
            assertTrue(closed.await(20, TimeUnit.SECONDS));
            assertFalse(node.start().await().isSuccess());
        }
    }
}
