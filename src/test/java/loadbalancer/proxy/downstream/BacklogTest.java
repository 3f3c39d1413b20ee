package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoop;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.ServiceQLoadBalancer;
import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.lifecycle.ShutdownSchedule;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Behavior of the proxy after its event loop was blocked or busy while clients connected, sent requests and
 * disconnected. An overloaded proxy must not take upstream capacity for clients that have disconnected, and must not
 * lose requests that it has not read yet.
 */
public class BacklogTest {

    /**
     * Blocks the event loop until the returned latch is released, or for 20 seconds at most. Returns once the loop is
     * blocked.
     */
    public static CountDownLatch blockEventLoop(EventLoop loop) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            try {
                release.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        return release;
    }

    /** Wraps a decision module to run an action on the event loop before the module receives each request. */
    static LoadBalancer withActionBeforeRequests(LoadBalancer delegate, Callable<?> action) {
        return (LoadBalancer) Proxy.newProxyInstance(
                LoadBalancer.class.getClassLoader(), new Class<?>[] {LoadBalancer.class}, (instance, method, args) -> {
                    if (method.getName().equals("onRequest")) {
                        action.call();
                    }
                    try {
                        return method.invoke(delegate, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** An action on the socket of a client, which a test runs at a certain point. */
    private interface ClientAction {
        void run(Socket client) throws IOException;
    }

    /** Returns a callable that runs the action for the client in the reference, if any, and clears the reference. */
    private static Callable<?> oneTimeAction(AtomicReference<Socket> nextClient, ClientAction action) {
        return () -> {
            Socket client = nextClient.getAndSet(null);
            if (client != null) {
                action.run(client);
            }
            return null;
        };
    }

    @Test
    void requestOfADisconnectedClientIsNotForwarded() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket leaving = proxy.connect();
            assertEquals(
                    200, ProxyFixture.ask(leaving, HttpMessages.page("before")).status());
            CountDownLatch release = blockEventLoop(proxy.loop);
            ProxyFixture.write(leaving, HttpMessages.page("left"));
            leaving.close();
            Socket shortLived = proxy.connect();
            ProxyFixture.write(shortLived, HttpMessages.page("left too"));
            shortLived.close();
            Socket active = proxy.connect();
            ProxyFixture.write(active, HttpMessages.page("stays"));
            release.countDown();
            assertEquals(200, HttpMessages.read(active.getInputStream()).status());
            assertEquals(
                    "before",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
            assertEquals(
                    "stays",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
            assertEquals(200, proxy.ask(HttpMessages.page("after")).status());
            assertEquals(
                    "after",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
        }
    }

    @Test
    void requestIsNotForwardedIfItsClientDisconnectsDuringEarlierEvents() throws Exception {
        AtomicReference<Socket> nextToDisconnect = new AtomicReference<>();
        CountDownLatch bothRequests = new CountDownLatch(2);
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {
                    bothRequests.countDown();
                    ScriptedHttpServer.await(bothRequests);
                    peer.write(HttpMessages.ok("x"));
                });
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.loadBalancers = actions -> withActionBeforeRequests(
                    new ServiceQLoadBalancer(proxy.settings, 7, actions),
                    oneTimeAction(nextToDisconnect, Socket::close));
            proxy.start(upstream);
            // Opens an upstream connection for each request below. Otherwise, a request would wait for a connect, and
            // the proxy would detect the disconnect meanwhile.
            Socket active = proxy.connect();
            ProxyFixture.write(active, HttpMessages.page("before"));
            Socket leaving = proxy.connect();
            assertEquals(
                    200,
                    ProxyFixture.ask(leaving, HttpMessages.page("before too")).status());
            assertEquals(200, HttpMessages.read(active.getInputStream()).status());
            upstream.requests.clear();
            CountDownLatch release = blockEventLoop(proxy.loop);
            ProxyFixture.write(active, HttpMessages.page("stays"));
            ProxyFixture.write(leaving, HttpMessages.page("left"));
            nextToDisconnect.set(leaving);
            release.countDown();
            assertEquals(200, HttpMessages.read(active.getInputStream()).status());
            assertEquals(200, proxy.ask(HttpMessages.page("after")).status());
            assertEquals(
                    "stays",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
            assertEquals(
                    "after",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
        }
    }

    @Test
    void queuedRequestIsNotForwardedIfItsClientDisconnectsWhenCapacityIsReleased() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            // These requests reach the initial concurrency limit of the endpoint, so that the next request is queued.
            for (int i = 0; i < 4; i++) {
                ProxyFixture.write(proxy.connect(), HttpMessages.page("/api/p", "t" + i, "60000m"));
                ScriptedHttpServer.next(upstream.requests);
            }
            Socket leaving = proxy.connect();
            ProxyFixture.write(leaving, HttpMessages.page("/api/p", "left", "60000m"));
            proxy.awaitPriorInputRead();
            CountDownLatch release = blockEventLoop(proxy.loop);
            // The response is sent first, so that the proxy reads it before it detects the disconnect.
            ScriptedHttpServer.next(upstream.peers).write(HttpMessages.ok("x"));
            leaving.close();
            Socket active = proxy.connect();
            ProxyFixture.write(active, HttpMessages.page("/api/p", "stays", "60000m"));
            release.countDown();
            assertEquals(
                    "stays",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestIsNotForwardedIfItsClientDisconnectsDuringConnect(boolean cancellationEnabled) throws Exception {
        try (HangingListener hanging = new HangingListener();
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.settings.cancellationEnabled = cancellationEnabled;
            proxy.settings.connectTimeoutUs = 20_000_000;
            proxy.startWithCachedList(ProxyFixture.list(1, true, "s0=" + hanging.endpoint() + "=Ready"));
            Socket leaving = proxy.connect();
            ProxyFixture.write(leaving, HttpMessages.order("left", "60000m"));
            proxy.awaitPriorInputRead();
            leaving.close();
            Socket active = proxy.connect();
            ProxyFixture.write(active, HttpMessages.order("stays", "60000m"));
            proxy.awaitPriorInputRead();
            hanging.freeBacklog();
            // Two connects may be under way, and the order may be served on the connection that is accepted last.
            BlockingQueue<String> forwardedIds = hanging.serveAll();
            assertEquals("stays", ScriptedHttpServer.next(forwardedIds));
            assertEquals(200, HttpMessages.read(active.getInputStream()).status());
            assertEquals(List.of(), List.copyOf(forwardedIds), "nothing else is forwarded");
        }
    }

    @Test
    void unreadPipelinedRequestIsServedInAGracefulShutdown() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("first"));
            ScriptedHttpServer.next(upstream.requests);
            Socket idle = proxy.connect();
            proxy.node.beginGracefulShutdown(new ShutdownSchedule(600_000, 20_000_000), () -> {});
            assertEquals(-1, idle.getInputStream().read(), "idle connections are closed");
            CountDownLatch release = blockEventLoop(proxy.loop);
            // The response is sent first, so that the proxy forwards it before it reads the second request.
            ScriptedHttpServer.next(upstream.peers).write(HttpMessages.ok("x"));
            ProxyFixture.write(client, HttpMessages.page("second"));
            release.countDown();
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            assertEquals(
                    "second",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
            ScriptedHttpServer.next(upstream.peers).write(HttpMessages.ok("x"));
            HttpMessages.Message last = HttpMessages.read(client.getInputStream());
            assertEquals(200, last.status());
            assertEquals("close", last.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
        }
    }

    @Test
    void backlogIsAcceptedInOneIterationOfTheEventLoop() throws Exception {
        AtomicInteger iterations = new AtomicInteger();
        AtomicBoolean isIterationCounted = new AtomicBoolean();
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.loadBalancers =
                    actions -> withActionBeforeRequests(new ServiceQLoadBalancer(proxy.settings, 7, actions), () -> {
                        if (isIterationCounted.compareAndSet(false, true)) {
                            iterations.incrementAndGet();
                            // A scheduled task runs in a later iteration of the event loop.
                            proxy.loop.schedule(() -> isIterationCounted.set(false), 1, TimeUnit.NANOSECONDS);
                        }
                        return null;
                    });
            proxy.start(upstream);
            CountDownLatch release = blockEventLoop(proxy.loop);
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket client = proxy.connect();
                ProxyFixture.write(client, HttpMessages.page("/api/p", "t" + i, "5000m"));
                clients.add(client);
            }
            release.countDown();
            for (Socket client : clients) {
                assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            }
            assertEquals(1, iterations.get());
        }
    }

    @Test
    void connectionWithAnUnreadRequestIsNotEvicted() throws Exception {
        AtomicReference<Socket> nextToSend = new AtomicReference<>();
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.loadBalancers = actions -> withActionBeforeRequests(
                    new ServiceQLoadBalancer(proxy.settings, 7, actions),
                    oneTimeAction(nextToSend, client -> ProxyFixture.write(client, HttpMessages.page("unread"))));
            proxy.start(upstream);
            Socket idle = proxy.connect();
            assertEquals(200, ProxyFixture.ask(idle, HttpMessages.page("first")).status());
            // Reaches the limit on idle connections: one more evicts the longest idle connection.
            for (int i = 1; i < proxy.maxDescriptors / 6; i++) {
                assertEquals(200, proxy.ask(HttpMessages.page("t" + i)).status());
            }
            nextToSend.set(idle);
            // The deadline of this request has passed when it arrives, so that the proxy responds and evicts a
            // connection in the same iteration of the event loop.
            assertEquals(
                    503, proxy.ask(HttpMessages.page("/api/p", "late", "1m")).status());
            assertEquals(200, HttpMessages.read(idle.getInputStream()).status());
        }
    }
}
