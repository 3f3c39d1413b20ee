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
 * One request, one fault at a named point of its way, and the same with the node being shut down, reconfigured or
 * without discovery. What must hold is the same in each case: one whole correct response in time or none to a
 * client that has left, nothing sent for who has left, nothing new to a server that drains or is gone, nothing
 * unsafe run twice, and nothing counted for good.
 */
@Timeout(60)
class FaultMatrixTest {
    /** How far the request has come as the fault happens. */
    private enum Point {
        BEFORE_ACCEPT,
        ACCEPTED,
        HALF_READ,
        READ,
        DISPATCHED,
        HALF_WRITTEN,
        WRITTEN,
        RESPONSE_HEAD,
        RESPONSE_BODY,
        ANSWERED;

        boolean isBefore(Point other) {
            return compareTo(other) < 0;
        }
    }

    private enum Fault {
        NONE,
        CLIENT_CLOSES,
        CLIENT_RESETS,
        SERVER_ENDS,
        SERVER_RESETS,
        SERVER_DRAINS,
        SERVER_GOES,
        SERVER_MOVES;

        boolean isOfClient() {
            return this == CLIENT_CLOSES || this == CLIENT_RESETS;
        }

        boolean isOfServer() {
            return this == SERVER_ENDS || this == SERVER_RESETS;
        }

        boolean isOfList() {
            return compareTo(SERVER_DRAINS) >= 0;
        }
    }

    private enum Meanwhile {
        NOTHING,
        SHUTDOWN,
        RECONFIGURATION,
        OUTAGE_OF_DISCOVERY
    }

    private static final String TXN = "subject";
    private static final int LATER_REQUESTS = 4;

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (boolean unsafe : new boolean[] {true, false}) {
            for (Point point : Point.values()) {
                for (Fault fault : Fault.values()) {
                    for (Meanwhile meanwhile : Meanwhile.values()) {
                        if (makesSense(point, fault, meanwhile)) {
                            cases.add(Arguments.of(unsafe, point, fault, meanwhile));
                        }
                    }
                }
            }
        }
        return cases.stream();
    }

    private static boolean makesSense(Point point, Fault fault, Meanwhile meanwhile) {
        if (fault.isOfServer() && point.isBefore(Point.HALF_WRITTEN)) {
            return false;
        }
        // Without discovery no change of the list is notified.
        return !fault.isOfList() || meanwhile != Meanwhile.OUTAGE_OF_DISCOVERY;
    }

    @ParameterizedTest
    @MethodSource("cases")
    void theInvariantsHold(boolean unsafe, Point point, Fault fault, Meanwhile meanwhile) throws Exception {
        try (Play play = new Play(unsafe, point, fault, meanwhile)) {
            play.run();
        }
    }

    /** One case: a node, a server that gets the request, another that is ready behind it, and the client. */
    private static final class Play implements AutoCloseable {
        private final boolean unsafe;
        private final Point point;
        private final Fault fault;
        private final Meanwhile meanwhile;

        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch release = new CountDownLatch(1);
        private final BlockingQueue<StallingChannel> stalling = new LinkedBlockingQueue<>();
        /** The numbers of servers in each list that the module was notified of. */
        private final BlockingQueue<Integer> lists = new LinkedBlockingQueue<>();

        private final BlockingQueue<ScriptedHttpServer.Peer> carriers = new LinkedBlockingQueue<>();
        private final ScriptedHttpServer first = new ScriptedHttpServer(this::answerInSteps);
        private final ScriptedHttpServer second = new ScriptedHttpServer((request, peer) ->
                peer.write(HttpMessages.ok("second " + request.headers().get("x-txn"))));
        private final ScriptedHttpServer elsewhere =
                new ScriptedHttpServer((request, peer) -> peer.write(ProxyFixture.watchResponseHead()
                        + ProxyFixture.chunk(
                                list(100, "s0=" + first.endpoint() + "=Ready", "s1=" + second.endpoint() + "=Ready"))));
        private final ProxyFixture site = ProxyFixture.withHeartbeat();
        private ScriptedHttpServer.Peer watch;
        private Socket client;

        Play(boolean unsafe, Point point, Fault fault, Meanwhile meanwhile) throws IOException {
            this.unsafe = unsafe;
            this.point = point;
            this.fault = fault;
            this.meanwhile = meanwhile;
        }

        private static String list(int version, String... entries) {
            return ProxyFixture.list(version, true, entries) + "\n";
        }

        private String request() {
            return unsafe ? HttpMessages.order(TXN, "30000m") : HttpMessages.page("/api/p", TXN, "30000m");
        }

        // ------------------------------------------------------------ the way to the point

        private void answerInSteps(HttpMessages.Message request, ScriptedHttpServer.Peer peer) throws IOException {
            String body = "first " + request.headers().get("x-txn");
            if (!request.headers().get("x-txn").equals(TXN)) {
                peer.write(HttpMessages.ok(body));
                return;
            }
            carriers.add(peer);
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

        private LoadBalancer watched(LoadBalancer module) {
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(), new Class<?>[] {LoadBalancer.class}, (proxy, method, args) -> {
                        boolean isRequest = method.getName().equals("onRequest");
                        if (isRequest && point == Point.READ) {
                            holdUp();
                        }
                        try {
                            return method.invoke(module, args);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        } finally {
                            if (isRequest && point == Point.DISPATCHED) {
                                holdUp();
                            }
                            if (method.getName().equals("onEndpointList")) {
                                lists.add(((List<?>) args[2]).size());
                            }
                        }
                    });
        }

        /** The loop stands still until the fault has happened. */
        private void holdUp() throws InterruptedException {
            reached.countDown();
            release.await();
        }

        private boolean isHeldUp() {
            return point == Point.READ || point == Point.DISPATCHED;
        }

        private void start() throws Exception {
            site.loadBalancers = actions -> watched(new ServiceQLoadBalancer(site.settings, 7, actions));
            if (point == Point.HALF_WRITTEN) {
                site.upstreamChannels = this::stallingFirst;
            }
            // The second is ready only once the request is on its way to the first.
            site.startWithCachedList(
                    list(1, "s0=" + first.endpoint() + "=Ready", "s1=" + second.endpoint() + "=Terminating"));
            ScriptedHttpServer.next(lists);
            watch = ScriptedHttpServer.next(site.discovery.peers);
        }

        /** Only the first connection takes its request in part. */
        private UpstreamChannel stallingFirst() {
            if (reached.getCount() == 0) {
                return new UpstreamChannel();
            }
            StallingChannel channel = new StallingChannel(reached);
            stalling.add(channel);
            return channel;
        }

        private void goToThePoint() throws Exception {
            CountDownLatch heldUp = point == Point.BEFORE_ACCEPT ? BacklogTest.blockEventLoop(site.loop) : null;
            client = site.connect();
            switch (point) {
                case BEFORE_ACCEPT -> {
                    ProxyFixture.write(client, request());
                    injectIfOfClient();
                    heldUp.countDown();
                }
                case ACCEPTED -> site.awaitPriorInputRead();
                case HALF_READ -> {
                    ProxyFixture.write(client, request().substring(0, 40));
                    site.awaitPriorInputRead();
                }
                case ANSWERED -> {
                    ProxyFixture.write(client, request());
                    ScriptedHttpServer.next(first.peers);
                }
                default -> {
                    ProxyFixture.write(client, request());
                    reached.await();
                }
            }
        }

        private void goOn() throws Exception {
            release.countDown();
            StallingChannel channel = stalling.poll();
            if (channel != null) {
                channel.resume();
            }
            if (!fault.isOfClient()) {
                if (point == Point.ACCEPTED) {
                    ProxyFixture.write(client, request());
                } else if (point == Point.HALF_READ) {
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

        private void injectIfOfClient() throws Exception {
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
                case SERVER_ENDS ->
                    ScriptedHttpServer.next(carriersOf()).socket().shutdownOutput();
                case SERVER_RESETS -> resetCarrier();
                case CLIENT_CLOSES, CLIENT_RESETS -> injectIfOfClient();
                default -> injectIfOfList();
            }
            if (!isHeldUp()) {
                awaitNoticed();
            }
            begin();
        }

        private void resetCarrier() throws Exception {
            ScriptedHttpServer.next(carriersOf()).reset();
            boolean isBeingRead = point == Point.HALF_WRITTEN || point == Point.ANSWERED;
            if (isBeingRead) {
                // A thread that is blocked in a read keeps the socket open until it has returned: only then is the
                // reset sent.
                ScriptedHttpServer.next(first.ended);
            }
        }

        private void awaitNoticed() throws Exception {
            if (fault.isOfClient()) {
                site.awaitCounts(counts -> counts.clients() == 0);
            } else if (fault.isOfServer()) {
                site.awaitPriorInputRead();
            }
        }

        private void injectIfOfList() throws Exception {
            switch (fault) {
                case SERVER_DRAINS -> notifyList(3, "Terminating", first);
                case SERVER_GOES -> notifyList(3, "", first);
                case SERVER_MOVES -> notifyList(3, "Ready", second);
                default -> {
                    return;
                }
            }
            awaitList();
        }

        private void awaitList() throws InterruptedException {
            if (!isHeldUp()) {
                ScriptedHttpServer.next(lists);
            }
        }

        private void begin() throws Exception {
            switch (meanwhile) {
                case SHUTDOWN -> site.node.beginGracefulShutdown(new ShutdownSchedule(1, 25_000_000), () -> {});
                case RECONFIGURATION ->
                    site.node.reload(
                            new ProxyConfiguration(
                                    site.address(),
                                    ProxyConfiguration.parseAddress("discovery", elsewhere.endpoint()),
                                    7,
                                    site.maxDescriptors,
                                    site.upstreamIdleTimeoutUs,
                                    null,
                                    site.settings),
                            site.node.nowUs());
                case OUTAGE_OF_DISCOVERY -> site.discovery.stop();
                default -> {}
            }
        }

        /** The connection that carries the request; one that has come in part has not been noted yet. */
        private BlockingQueue<ScriptedHttpServer.Peer> carriersOf() {
            return point == Point.HALF_WRITTEN ? first.accepted : carriers;
        }

        // ------------------------------------------------------------ what must hold

        void run() throws Exception {
            start();
            goToThePoint();
            inject();
            goOn();
            if (fault.isOfClient()) {
                nothingIsSentForWhoHasLeft();
            } else {
                oneCorrectResponse();
            }
            nothingNewToWhoLeft();
            client.close();
            site.assertAllResourcesReleased();
            assertTrue(!unsafe || timesRun() <= 1, "ran " + timesRun() + " times");
        }

        private long timesRun() {
            return Stream.of(first, second)
                    .flatMap(server -> server.requests.stream())
                    .filter(request -> TXN.equals(request.headers().get("x-txn")))
                    .count();
        }

        private void oneCorrectResponse() throws Exception {
            HttpMessages.Message response;
            try {
                response = HttpMessages.read(client.getInputStream());
            } catch (IOException e) {
                // The connection was closed before any of the request had been read.
                assertTrue(point == Point.ACCEPTED && meanwhile == Meanwhile.SHUTDOWN, e.toString());
                assertEquals(0, timesRun());
                return;
            }
            if (mayHaveRunWithNoAnswer()) {
                assertEquals(502, response.status());
            } else {
                assertEquals(200, response.status());
                assertTrue(response.body().endsWith(" " + TXN), response.body());
            }
            if (meanwhile != Meanwhile.SHUTDOWN) {
                // A second response, or anything behind the first, would be taken for the answer to this one.
                HttpMessages.Message next = ProxyFixture.ask(client, HttpMessages.page("/api/p", "next", "20000m"));
                assertTrue(next.body().endsWith(" next"), next.body());
            }
        }

        /** An order that reached the server whole, and whose response did not come whole. */
        private boolean mayHaveRunWithNoAnswer() {
            return unsafe && fault.isOfServer() && !point.isBefore(Point.WRITTEN) && point.isBefore(Point.ANSWERED);
        }

        private void nothingIsSentForWhoHasLeft() throws Exception {
            if (meanwhile != Meanwhile.SHUTDOWN) {
                assertEquals(
                        200,
                        site.ask(HttpMessages.page("/api/p", "later", "20000m")).status());
            }
            if (point.isBefore(Point.WRITTEN)) {
                assertEquals(0, timesRun());
            }
        }

        private void nothingNewToWhoLeft() throws Exception {
            boolean hasLeft = fault == Fault.SERVER_DRAINS || fault == Fault.SERVER_GOES;
            if (!hasLeft || meanwhile != Meanwhile.NOTHING) {
                return;
            }
            if (isHeldUp()) {
                ScriptedHttpServer.next(lists);
                ScriptedHttpServer.next(lists);
            }
            int before = first.requests.size();
            for (int i = 0; i < LATER_REQUESTS; i++) {
                assertEquals(
                        "second later",
                        site.ask(HttpMessages.page("/api/p", "later", "20000m")).body());
            }
            assertEquals(before, first.requests.size());
        }

        @Override
        public void close() throws IOException {
            release.countDown();
            site.close();
            first.close();
            second.close();
            elsewhere.close();
        }
    }
}
