package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.ServiceQLoadBalancer;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.downstream.BacklogTest;
import loadbalancer.proxy.upstream.StallingChannel;
import loadbalancer.proxy.upstream.UpstreamChannel;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Injects one fault at a defined point of one request, also while the node shuts down, reloads its configuration or has
 * no discovery. Each case must meet the same invariants: a connected client gets one complete, correct response;
 * nothing is sent for a client that has disconnected, and nothing new to an endpoint that drains or is gone; a request
 * that is not idempotent is executed at most once; and no request, connection or descriptor leaks.
 */
@Timeout(60)
class FaultMatrixTest {
    /** The progress of the request when the fault is injected. */
    private enum Point {
        BEFORE_ACCEPT,
        ACCEPTED,
        PARTLY_READ,
        READ,
        DISPATCHED,
        PARTLY_WRITTEN,
        WRITTEN,
        RESPONSE_HEAD,
        RESPONSE_BODY,
        RESPONDED;

        boolean isBefore(Point other) {
            return compareTo(other) < 0;
        }
    }

    private enum Fault {
        NONE,
        CLIENT_CLOSES,
        CLIENT_RESETS,
        ENDPOINT_CLOSES,
        ENDPOINT_RESETS,
        ENDPOINT_DRAINS,
        ENDPOINT_REMOVED,
        ENDPOINT_ADDRESS_CHANGES;

        boolean isClientFault() {
            return this == CLIENT_CLOSES || this == CLIENT_RESETS;
        }

        boolean isEndpointFault() {
            return this == ENDPOINT_CLOSES || this == ENDPOINT_RESETS;
        }

        boolean isListChange() {
            return compareTo(ENDPOINT_DRAINS) >= 0;
        }
    }

    private enum ConcurrentEvent {
        NOTHING,
        SHUTDOWN,
        RELOAD,
        DISCOVERY_OUTAGE
    }

    private static final String TRANSACTION_ID = "subject";
    private static final int LATER_REQUESTS = 4;

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (boolean isUnsafe : new boolean[] {true, false}) {
            for (Point point : Point.values()) {
                for (Fault fault : Fault.values()) {
                    for (ConcurrentEvent concurrentEvent : ConcurrentEvent.values()) {
                        if (isPossible(point, fault, concurrentEvent)) {
                            cases.add(Arguments.of(isUnsafe, point, fault, concurrentEvent));
                        }
                    }
                }
            }
        }
        return cases.stream();
    }

    private static boolean isPossible(Point point, Fault fault, ConcurrentEvent concurrentEvent) {
        if (fault.isEndpointFault() && point.isBefore(Point.PARTLY_WRITTEN)) {
            return false;
        }
        // Without discovery, the node receives no change of the endpoint list.
        return !fault.isListChange() || concurrentEvent != ConcurrentEvent.DISCOVERY_OUTAGE;
    }

    @ParameterizedTest
    @MethodSource("cases")
    void invariantsHoldUnderEachFault(boolean isUnsafe, Point point, Fault fault, ConcurrentEvent concurrentEvent)
            throws Exception {
        try (FaultCase faultCase = new FaultCase(isUnsafe, point, fault, concurrentEvent)) {
            faultCase.run();
        }
    }

    /**
     * One case: a node, an endpoint that receives the request, another endpoint that becomes ready later, and a client.
     */
    private static final class FaultCase implements AutoCloseable {
        private final boolean isUnsafe;
        private final Point point;
        private final Fault fault;
        private final ConcurrentEvent concurrentEvent;

        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch release = new CountDownLatch(1);
        private final BlockingQueue<StallingChannel> stallingChannels = new LinkedBlockingQueue<>();
        /** The number of endpoints in each endpoint list that the module was notified of. */
        private final BlockingQueue<Integer> lists = new LinkedBlockingQueue<>();

        private final BlockingQueue<ScriptedHttpServer.Peer> requestPeers = new LinkedBlockingQueue<>();
        private final ScriptedHttpServer first = new ScriptedHttpServer(this::respondInSteps);
        private final ScriptedHttpServer second = new ScriptedHttpServer((request, peer) ->
                peer.write(HttpMessages.ok("second " + request.headers().get("x-txn"))));
        private final ScriptedHttpServer newDiscovery =
                new ScriptedHttpServer((request, peer) -> peer.write(ProxyFixture.watchResponseHead()
                        + ProxyFixture.chunk(
                                list(100, "s0=" + first.endpoint() + "=Ready", "s1=" + second.endpoint() + "=Ready"))));
        private final ProxyFixture fixture = ProxyFixture.withHeartbeat();
        private ScriptedHttpServer.Peer watch;
        private Socket client;

        FaultCase(boolean isUnsafe, Point point, Fault fault, ConcurrentEvent concurrentEvent) throws IOException {
            this.isUnsafe = isUnsafe;
            this.point = point;
            this.fault = fault;
            this.concurrentEvent = concurrentEvent;
        }

        private static String list(int version, String... entries) {
            return ProxyFixture.list(version, true, entries) + "\n";
        }

        private String request() {
            return isUnsafe
                    ? HttpMessages.order(TRANSACTION_ID, "30000m")
                    : HttpMessages.page("/api/p", TRANSACTION_ID, "30000m");
        }

        // ------------------------------------------------------------ progress to the point

        private void respondInSteps(HttpMessages.Message request, ScriptedHttpServer.Peer peer) throws IOException {
            String body = "first " + request.headers().get("x-txn");
            if (!request.headers().get("x-txn").equals(TRANSACTION_ID)) {
                peer.write(HttpMessages.ok(body));
                return;
            }
            requestPeers.add(peer);
            String response = HttpMessages.ok(body);
            int head = response.indexOf(body);
            int sent =
                    switch (point) {
                        case WRITTEN -> 0;
                        case RESPONSE_HEAD -> head;
                        case RESPONSE_BODY -> head + body.length() / 2;
                        default -> response.length();
                    };
            peer.write(response.substring(0, sent));
            if (sent < response.length()) {
                reached.countDown();
                ScriptedHttpServer.await(release);
                peer.write(response.substring(sent));
            }
        }

        private LoadBalancer intercepting(LoadBalancer module) {
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(), new Class<?>[] {LoadBalancer.class}, (proxy, method, args) -> {
                        boolean isRequest = method.getName().equals("onRequest");
                        if (isRequest && point == Point.READ) {
                            blockUntilReleased();
                        }
                        try {
                            return method.invoke(module, args);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        } finally {
                            if (isRequest && point == Point.DISPATCHED) {
                                blockUntilReleased();
                            }
                            if (method.getName().equals("onEndpointList")) {
                                lists.add(((List<?>) args[2]).size());
                            }
                        }
                    });
        }

        /** Blocks the event loop until the fault has been injected. */
        private void blockUntilReleased() throws InterruptedException {
            reached.countDown();
            release.await();
        }

        private boolean isLoopBlocked() {
            return point == Point.READ || point == Point.DISPATCHED;
        }

        private void start() throws Exception {
            fixture.loadBalancers = actions -> intercepting(new ServiceQLoadBalancer(fixture.settings, 7, actions));
            if (point == Point.PARTLY_WRITTEN) {
                fixture.upstreamChannels = this::stallingFirst;
            }
            // The second endpoint becomes ready only after the request has been sent to the first one.
            fixture.startWithCachedList(
                    list(1, "s0=" + first.endpoint() + "=Ready", "s1=" + second.endpoint() + "=Terminating"));
            ScriptedHttpServer.next(lists);
            watch = ScriptedHttpServer.next(fixture.discovery.peers);
        }

        /** Returns a channel that stalls after a part of the request for the first connection, then normal channels. */
        private UpstreamChannel stallingFirst() {
            if (reached.getCount() == 0) {
                return new UpstreamChannel();
            }
            StallingChannel channel = new StallingChannel(reached);
            stallingChannels.add(channel);
            return channel;
        }

        private void advanceToPoint() throws Exception {
            CountDownLatch loopBlock = point == Point.BEFORE_ACCEPT ? BacklogTest.blockEventLoop(fixture.loop) : null;
            client = fixture.connect();
            switch (point) {
                case BEFORE_ACCEPT -> {
                    ProxyFixture.write(client, request());
                    injectClientFault();
                    loopBlock.countDown();
                }
                case ACCEPTED -> fixture.awaitPriorInputRead();
                case PARTLY_READ -> {
                    ProxyFixture.write(client, request().substring(0, 40));
                    fixture.awaitPriorInputRead();
                }
                case RESPONDED -> {
                    ProxyFixture.write(client, request());
                    ScriptedHttpServer.next(first.peers);
                }
                default -> {
                    ProxyFixture.write(client, request());
                    reached.await();
                }
            }
        }

        private void resume() throws Exception {
            release.countDown();
            StallingChannel channel = stallingChannels.poll();
            if (channel != null) {
                channel.resume();
            }
            if (!fault.isClientFault()) {
                if (point == Point.ACCEPTED) {
                    ProxyFixture.write(client, request());
                } else if (point == Point.PARTLY_READ) {
                    ProxyFixture.write(client, request().substring(40));
                }
            }
        }

        // ------------------------------------------------------------ faults

        private void notifyList(int version, String firstState, ScriptedHttpServer firstAt) throws Exception {
            String entry = "s0=" + firstAt.endpoint() + "=" + firstState;
            String other = "s1=" + second.endpoint() + "=Ready";
            watch.write(ProxyFixture.chunk(firstState.isEmpty() ? list(version, other) : list(version, entry, other)));
        }

        private void injectClientFault() throws Exception {
            if (client.isClosed()) {
                return;
            }
            if (fault == Fault.CLIENT_CLOSES) {
                client.close();
            } else if (fault == Fault.CLIENT_RESETS) {
                new ScriptedHttpServer.Peer(client).reset();
            }
        }

        private void inject() throws Exception {
            notifyList(2, "Ready", first);
            awaitList();
            switch (fault) {
                case ENDPOINT_CLOSES ->
                    ScriptedHttpServer.next(requestConnections()).socket().shutdownOutput();
                case ENDPOINT_RESETS -> resetRequestConnection();
                case CLIENT_CLOSES, CLIENT_RESETS -> injectClientFault();
                default -> injectListChange();
            }
            if (!isLoopBlocked()) {
                awaitFaultDetected();
            }
            startConcurrentEvent();
        }

        private void resetRequestConnection() throws Exception {
            ScriptedHttpServer.next(requestConnections()).reset();
            boolean isBeingRead = point == Point.PARTLY_WRITTEN || point == Point.RESPONDED;
            if (isBeingRead) {
                // A thread blocked in a read keeps the socket open until the read returns. Only then is the reset sent.
                ScriptedHttpServer.next(first.closedConnections);
            }
        }

        private void awaitFaultDetected() throws Exception {
            if (fault.isClientFault()) {
                fixture.awaitCounts(counts -> counts.clients() == 0);
            } else if (fault.isEndpointFault()) {
                fixture.awaitPriorInputRead();
            }
        }

        private void injectListChange() throws Exception {
            switch (fault) {
                case ENDPOINT_DRAINS -> notifyList(3, "Terminating", first);
                case ENDPOINT_REMOVED -> notifyList(3, "", first);
                case ENDPOINT_ADDRESS_CHANGES -> notifyList(3, "Ready", second);
                default -> {
                    return;
                }
            }
            awaitList();
        }

        private void awaitList() throws InterruptedException {
            if (!isLoopBlocked()) {
                ScriptedHttpServer.next(lists);
            }
        }

        private void startConcurrentEvent() throws Exception {
            switch (concurrentEvent) {
                case SHUTDOWN -> fixture.node.beginGracefulShutdown(new ShutdownSchedule(1, 25_000_000), () -> {});
                case RELOAD ->
                    fixture.node.reload(
                            new ProxyConfiguration(
                                    fixture.address(),
                                    ProxyConfiguration.parseAddress("discovery", newDiscovery.endpoint()),
                                    7,
                                    fixture.maxDescriptors,
                                    fixture.maxMemoryBytes,
                                    fixture.upstreamIdleTimeoutUs,
                                    null,
                                    fixture.settings),
                            fixture.node.nowUs());
                case DISCOVERY_OUTAGE -> fixture.discovery.stop();
                default -> {}
            }
        }

        /**
         * Returns the connections with the request. The scripted endpoint does not list one with a partial request yet.
         */
        private BlockingQueue<ScriptedHttpServer.Peer> requestConnections() {
            return point == Point.PARTLY_WRITTEN ? first.accepted : requestPeers;
        }

        // ------------------------------------------------------------ invariants

        void run() throws Exception {
            start();
            advanceToPoint();
            inject();
            resume();
            if (fault.isClientFault()) {
                assertNothingSentForDisconnectedClient();
            } else {
                assertOneCorrectResponse();
            }
            assertNothingNewSentToUnavailableEndpoint();
            client.close();
            fixture.assertAllResourcesReleased();
            assertTrue(
                    !isUnsafe || executionCount() <= 1,
                    "non-idempotent request was executed " + executionCount() + " times");
        }

        private long executionCount() {
            return Stream.of(first, second)
                    .flatMap(server -> server.requests.stream())
                    .filter(request -> TRANSACTION_ID.equals(request.headers().get("x-txn")))
                    .count();
        }

        private void assertOneCorrectResponse() throws Exception {
            HttpMessages.Message response;
            try {
                response = HttpMessages.read(client.getInputStream());
            } catch (IOException e) {
                // The node closed the connection before it read any byte of the request.
                assertTrue(point == Point.ACCEPTED && concurrentEvent == ConcurrentEvent.SHUTDOWN, e.toString());
                assertEquals(0, executionCount());
                return;
            }
            if (mayHaveRunWithoutResponse()) {
                assertEquals(502, response.status());
            } else {
                assertEquals(200, response.status());
                assertTrue(response.body().endsWith(" " + TRANSACTION_ID), response.body());
            }
            if (concurrentEvent != ConcurrentEvent.SHUTDOWN) {
                // A second response, or bytes after the first one, would be read as the response to this request.
                HttpMessages.Message next = ProxyFixture.ask(client, HttpMessages.page("/api/p", "next", "20000m"));
                assertTrue(next.body().endsWith(" next"), next.body());
            }
        }

        /**
         * Returns whether a non-idempotent request reached the endpoint completely, and its response did not complete.
         */
        private boolean mayHaveRunWithoutResponse() {
            return isUnsafe
                    && fault.isEndpointFault()
                    && !point.isBefore(Point.WRITTEN)
                    && point.isBefore(Point.RESPONDED);
        }

        private void assertNothingSentForDisconnectedClient() throws Exception {
            if (concurrentEvent != ConcurrentEvent.SHUTDOWN) {
                assertEquals(
                        200,
                        fixture.ask(HttpMessages.page("/api/p", "later", "20000m"))
                                .status());
            }
            if (point.isBefore(Point.WRITTEN)) {
                assertEquals(0, executionCount());
            }
        }

        private void assertNothingNewSentToUnavailableEndpoint() throws Exception {
            boolean isUnavailable = fault == Fault.ENDPOINT_DRAINS || fault == Fault.ENDPOINT_REMOVED;
            if (!isUnavailable || concurrentEvent != ConcurrentEvent.NOTHING) {
                return;
            }
            if (isLoopBlocked()) {
                ScriptedHttpServer.next(lists);
                ScriptedHttpServer.next(lists);
            }
            int before = first.requests.size();
            for (int i = 0; i < LATER_REQUESTS; i++) {
                assertEquals(
                        "second later",
                        fixture.ask(HttpMessages.page("/api/p", "later", "20000m"))
                                .body());
            }
            assertEquals(before, first.requests.size());
        }

        @Override
        public void close() throws IOException {
            release.countDown();
            fixture.close();
            first.close();
            second.close();
            newDiscovery.close();
        }
    }
}
