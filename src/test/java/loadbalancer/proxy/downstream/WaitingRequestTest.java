package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.policy.ServiceQLoadBalancer;
import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.lifecycle.ShutdownSchedule;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;
import loadbalancer.testsupport.SteppedClock;

/**
 * Requests that have been read and wait for their turn, because the event loop is busy with those of other clients,
 * while something else would close their connections.
 */
@Timeout(60)
class WaitingRequestTest {
    /** More clients than requests that begin to be served in one iteration of the event loop. */
    private static final int EARLIER_CLIENTS = 80;

    private static final int REQUESTS_AT_ONCE = 10;

    /** Longer than the interval of the housekeeping, so that it is due when the event loop goes on. */
    private static final long BLOCKED_MS = 2 * ConnectionLimits.HOUSEKEEPING_INTERVAL_MS;

    /** As many clients with open requests that, with their upstream connections, most descriptors are in use. */
    private static final int BUSY_CLIENTS = 70;

    /** Requests that together exceed many times what is decoded in one iteration of the event loop. */
    private static final int CHUNKED_REQUESTS = 12;

    private static final int CHUNKS = 1_000;

    private static List<Socket> connectEarlierClients(ProxyFixture proxy) throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < EARLIER_CLIENTS; i++) {
            Socket client = proxy.connect();
            assertEquals(
                    200,
                    ProxyFixture.ask(client, HttpMessages.READINESS_REQUEST).status());
            clients.add(client);
        }
        return clients;
    }

    private static void writeToAll(List<Socket> clients) throws Exception {
        for (Socket client : clients) {
            ProxyFixture.write(client, HttpMessages.READINESS_REQUEST.repeat(REQUESTS_AT_ONCE));
        }
    }

    /**
     * Plays an event while the order of a client waits for its turn behind the requests of other clients. The order
     * arrives, and the event becomes due, after so many of them have been served that the rest is deferred.
     *
     * @return the response to the order
     */
    private static HttpMessages.Message askDuring(ProxyFixture proxy, Callable<?> event) throws Exception {
        CountDownLatch isBusy = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        AtomicBoolean isBlocking = new AtomicBoolean();
        proxy.loadBalancers = actions ->
                BacklogTest.withActionBeforeRequests(new ServiceQLoadBalancer(proxy.settings, 7, actions), () -> {
                    if (isBlocking.getAndSet(false)) {
                        isBusy.countDown();
                        proceed.await(20, TimeUnit.SECONDS);
                    }
                    return null;
                });
        proxy.maxDescriptors = 1_024;
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x")) {
            proxy.start(upstream);
            List<Socket> earlier = connectEarlierClients(proxy);
            Socket client = proxy.connect();
            assertEquals(
                    200, ProxyFixture.ask(client, HttpMessages.page("first")).status());
            Socket blocking = proxy.connect();
            CountDownLatch release = BacklogTest.blockEventLoop(proxy.loop);
            writeToAll(earlier);
            ProxyFixture.write(blocking, HttpMessages.page("blocking"));
            isBlocking.set(true);
            release.countDown();
            isBusy.await();
            ProxyFixture.write(client, HttpMessages.order("waiting", "20000m"));
            event.call();
            Thread.sleep(BLOCKED_MS);
            proceed.countDown();
            return HttpMessages.read(client.getInputStream());
        }
    }

    @Test
    void keepAliveTimeoutDoesNotCloseTheConnectionOfAWaitingRequest() throws Exception {
        SteppedClock clock = new SteppedClock();
        try (ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.clock = clock;
            HttpMessages.Message response = askDuring(proxy, () -> {
                clock.advance(TimeUnit.MILLISECONDS.toMicros(ConnectionLimits.KEEP_ALIVE_TIMEOUT_MS) + 1);
                return null;
            });
            assertEquals(200, response.status());
        }
    }

    @Test
    void gracefulShutdownDoesNotCloseTheConnectionOfAWaitingRequest() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            HttpMessages.Message response = askDuring(proxy, () -> {
                proxy.node.beginGracefulShutdown(new ShutdownSchedule(0, 20_000_000), () -> {});
                return null;
            });
            assertEquals(200, response.status());
            assertEquals("close", response.headers().get("connection"));
        }
    }

    /** A request that has been read and is not decoded yet is not stalled, although its connection has no other. */
    @Test
    void crowdDoesNotEvictTheConnectionOfARequestThatWaitsToBeDecoded() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            for (int i = 0; i < BUSY_CLIENTS; i++) {
                ProxyFixture.write(proxy.connect(), HttpMessages.page("/api/p", "busy" + i, "20000m"));
            }
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CHUNKED_REQUESTS; i++) {
                clients.add(proxy.connect());
            }
            Thread.sleep(2 * ConnectionLimits.NEW_CONNECTION_GRACE_MS);
            CountDownLatch release = BacklogTest.blockEventLoop(proxy.loop);
            for (int i = 0; i < CHUNKED_REQUESTS; i++) {
                ProxyFixture.write(clients.get(i), chunkedOrder("t" + i));
            }
            for (int i = 0; i < proxy.maxDescriptors / 2; i++) {
                // No connection of the crowd can be evicted, because each has input.
                ProxyFixture.write(proxy.connect(), "G");
            }
            release.countDown();
            respond.countDown();
            for (Socket client : clients) {
                int status = HttpMessages.read(client.getInputStream()).status();
                assertTrue(status == 200 || status == 503, "status " + status);
            }
        }
    }

    private static String chunkedOrder(String id) {
        return HttpMessages.order(id, "20000m", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                + "4\r\nbody\r\n".repeat(CHUNKS)
                + "0\r\n\r\n";
    }

    @Test
    void requestsBehindAReadinessCheckOfADrainingProxyAreServed() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            proxy.node.beginGracefulShutdown(new ShutdownSchedule(20_000_000, 21_000_000), () -> {});
            ProxyFixture.write(client, HttpMessages.READINESS_REQUEST + HttpMessages.order("behind", "20000m"));
            assertEquals(503, HttpMessages.read(client.getInputStream()).status());
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read(), "the connection closes once nothing awaits a response");
        }
    }
}
