package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

import com.fasterxml.jackson.databind.ObjectMapper;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Promise;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.AttemptResult;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.config.EndpointListDecoder;
import loadbalancer.proxy.downstream.HangingListener;
import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.lifecycle.ProxyNode;
import loadbalancer.proxy.resources.DescriptorBudget;
import loadbalancer.proxy.resources.MemoryBudget;
import loadbalancer.proxy.resources.SystemClock;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Tests the results of attempts and the reuse of connections. An order is not idempotent, so it may be retried only if it
 * was certainly not executed.
 */
class UpstreamConnectionPoolTest {
    private static final int REQUEST_COUNT = 12;

    /** Sends orders, about half of which are first sent to the first endpoint, and asserts that all are served. */
    private static void assertAllServed(ProxyFixture proxyFixture) throws IOException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertEquals(
                    200, proxyFixture.ask(HttpMessages.order("t" + i, "4000m")).status());
        }
    }

    @Test
    void orderIsRetriedAfterARefusedConnection() throws Exception {
        try (ScriptedHttpServer stoppedServer = ScriptedHttpServer.serving("x");
                ScriptedHttpServer healthyServer = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            stoppedServer.stop();
            proxyFixture.start(stoppedServer, healthyServer);
            assertAllServed(proxyFixture);
            assertEquals(REQUEST_COUNT, healthyServer.requests.size());
        }
    }

    @Test
    void orderIsRetriedAfterARejection() throws Exception {
        try (ScriptedHttpServer rejectingServer = new ScriptedHttpServer(
                        (request, peer) -> peer.write(HttpMessages.response("504 Over", "X-Turned-Away: 1\r\n", "")));
                ScriptedHttpServer healthyServer = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(rejectingServer, healthyServer)) {
            assertAllServed(proxyFixture);
            assertEquals(REQUEST_COUNT, healthyServer.requests.size());
            assertTrue(rejectingServer.requests.size() > 0);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Error\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "",
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly part of it",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
                "what is this\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon in here\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
                "HTTP/1.1 +200 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nxyz",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n0\r\n\r\n",
            })
    void orderFailsWithoutRetryAfterAnInvalidResponse(String response) throws Exception {
        try (ScriptedHttpServer failingServer = new ScriptedHttpServer((request, peer) -> {
                    peer.write(response);
                    peer.socket().close();
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(failingServer)) {
            assertEquals(502, proxyFixture.ask(HttpMessages.order("t", "4000m")).status());
            assertEquals(1, failingServer.requests.size(), "the order must not be sent again");
        }
    }

    @Test
    void safeRequestIsRetriedAfterAReset() throws Exception {
        try (ScriptedHttpServer failingServer = new ScriptedHttpServer((request, peer) -> peer.reset());
                ScriptedHttpServer healthyServer = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(failingServer, healthyServer)) {
            for (int i = 0; i < REQUEST_COUNT; i++) {
                assertEquals(
                        200,
                        proxyFixture
                                .ask(HttpMessages.page("/api/p", "t" + i, "4000m"))
                                .status());
            }
            assertTrue(failingServer.requests.size() > 0);
        }
    }

    @Test
    void requestFailsAtOnceIfTheContentLengthExceedsTheLimit() throws Exception {
        try (ScriptedHttpServer failingServer = new ScriptedHttpServer(
                        (request, peer) -> peer.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(failingServer)) {
            assertEquals(
                    502, proxyFixture.ask(HttpMessages.order("t", "3600000m")).status());
            ScriptedHttpServer.next(failingServer.closedConnections);
        }
    }

    @Test
    void responseLargerThanTheRequestLimitIsForwardedCompletely() throws Exception {
        String large = "photo".repeat(70_000);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving(large);
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(
                    large, proxyFixture.ask(HttpMessages.order("t", "4000m")).body());
            assertEquals(
                    large, proxyFixture.ask(HttpMessages.order("u", "4000m")).body());
            assertEquals(1, server.acceptedCount.get());
        }
    }

    @Test
    void responseIsForwardedDespiteAMalformedLoadReport() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) ->
                        peer.write(HttpMessages.response("200 OK", "X-Pressure: TEXT %%=;{\"\r\n", "good")));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(
                    "good", proxyFixture.ask(HttpMessages.order("t", "4000m")).body());
        }
    }

    @Test
    @Timeout(20)
    void hasNoUnreadInputIsFalseAfterInputOrTheEndOfTheConnection() throws Exception {
        EventLoop loop = ProxyNode.newLoop();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Without automatic reads the input stays unread, as if the event loop has not processed it yet.
            UpstreamChannel channel = (UpstreamChannel) new Bootstrap()
                    .group(loop)
                    .channelFactory(UpstreamChannel::new)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(listener.getLocalSocketAddress())
                    .sync()
                    .channel();
            Socket server = listener.accept();
            assertTrue(channel.hasNoUnreadInput());
            server.getOutputStream().write('x');
            while (channel.hasNoUnreadInput()) {
                Thread.onSpinWait();
            }
            assertTrue(channel.hasNoUnreadInput(), "the previous call has consumed the byte");
            server.close();
            while (channel.hasNoUnreadInput()) {
                Thread.onSpinWait();
            }
            assertFalse(channel.hasNoUnreadInput(), "the end of the connection is still reported");
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    @Test
    void connectWithoutADescriptorFailsAndReleasesItsReservation() throws Exception {
        EventLoop loop = ProxyNode.newLoop();
        try {
            DescriptorBudget sockets = new DescriptorBudget(256);
            UpstreamConnectionPool pool = new UpstreamConnectionPool(
                    loop, sockets, new MemoryBudget(1 << 20), new SystemClock(), 1_000_000, 1_000_000, 0, () -> {
                        throw new ChannelException("Too many open files");
                    });
            EndpointList list = new EndpointListDecoder(List.of())
                    .decode(new ObjectMapper().readTree(ProxyFixture.list(1, true, "s0=127.0.0.1:9=Ready")));
            BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
            loop.execute(() -> pool.onEndpointList(list));
            // More connects than the descriptor budget allows at the same time.
            for (int i = 0; i < 300; i++) {
                loop.execute(() -> pool.start("s0", new RecordingExchange(results, "t")));
                assertEquals(AttemptResult.CONNECT_FAILED, ScriptedHttpServer.next(results));
            }
            assertTrue(loop.submit(sockets::hasCapacityForUpstream).get());
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    /** Runs a task in nested listeners, so deep that Netty notifies further listeners in a later event loop task. */
    private static void runWhereListenersAreDeferred(EventLoop loop, int depth, Runnable task) {
        if (depth == 0) {
            task.run();
            return;
        }
        Promise<Void> promise = loop.newPromise();
        promise.addListener(done -> runWhereListenersAreDeferred(loop, depth - 1, task));
        promise.setSuccess(null);
    }

    @Test
    @Timeout(60)
    void abandonReportsAFullyWrittenRequestBeforeWriteListenersAreNotified() throws Exception {
        EventLoop loop = ProxyNode.newLoop();
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x")) {
            UpstreamConnectionPool pool = new UpstreamConnectionPool(
                    loop,
                    new DescriptorBudget(256),
                    new MemoryBudget(1 << 20),
                    new SystemClock(),
                    1_000_000,
                    60_000_000,
                    0,
                    UpstreamChannel::new);
            EndpointList list = new EndpointListDecoder(List.of())
                    .decode(new ObjectMapper()
                            .readTree(ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready")));
            BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
            loop.execute(() -> pool.onEndpointList(list));
            loop.execute(() -> pool.start("s0", new RecordingExchange(results, "first")));
            assertEquals(AttemptResult.OK, ScriptedHttpServer.next(results));
            BlockingQueue<Boolean> mayHaveRun = new LinkedBlockingQueue<>();
            loop.execute(() -> runWhereListenersAreDeferred(loop, 8, () -> {
                UpstreamExchange second = new RecordingExchange(results, "second");
                pool.start("s0", second);
                mayHaveRun.add(pool.abandon("s0", second));
            }));
            assertTrue(ScriptedHttpServer.next(mayHaveRun));
            assertEquals(
                    "first", ScriptedHttpServer.next(server.requests).headers().get("x-txn"));
            assertEquals(
                    "second",
                    ScriptedHttpServer.next(server.requests).headers().get("x-txn"),
                    "the endpoint has received the abandoned request");
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    /** An exchange that only records its result. */
    private record RecordingExchange(BlockingQueue<AttemptResult> results, String txn) implements UpstreamExchange {
        @Override
        public boolean isSendPermitted() {
            return true;
        }

        @Override
        public boolean isActive() {
            return true;
        }

        @Override
        public FullHttpRequest createRequest() {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/p");
            message.headers().set("X-Txn", txn);
            return message;
        }

        @Override
        public void onCompleted(AttemptResult result, byte[] body) {
            results.add(result);
        }
    }

    @Test
    void informationalResponsesAreIgnored() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> peer.write(
                        "HTTP/1.1 102 Processing\r\n\r\n" + "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
                                + HttpMessages.ok("final")));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals("final", proxyFixture.ask(HttpMessages.page("t")).body());
        }
    }

    @Test
    void surplusResponseIsNotUsedForTheNextRequest() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) ->
                        peer.write(HttpMessages.ok(request.headers().get("x-txn")) + HttpMessages.ok("stray")));
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(server)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        "t" + i,
                        proxyFixture
                                .ask(HttpMessages.page("/api/p", "t" + i, "4000m"))
                                .body());
            }
        }
    }

    @Test
    void lateSurplusResponseIsNotUsedForTheNextRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    if (request.headers().get("x-txn").equals("second")) {
                        ScriptedHttpServer.await(release);
                    }
                    peer.write(HttpMessages.ok(request.headers().get("x-txn")));
                });
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.connectionReuseDelayUs = 3_600_000_000L;
            proxyFixture.start(server);
            assertEquals(
                    "first",
                    proxyFixture.ask(HttpMessages.order("first", "4000m")).body());
            ScriptedHttpServer.Peer first = ScriptedHttpServer.next(server.peers);
            ScriptedHttpServer.next(server.requests);
            Socket client = proxyFixture.connect();
            ProxyFixture.write(client, HttpMessages.order("second", "20000m"));
            ScriptedHttpServer.next(server.requests);
            first.write(HttpMessages.ok("stray"));
            assertEquals(
                    first,
                    ScriptedHttpServer.next(server.closedConnections),
                    "the surplus response closes its connection");
            release.countDown();
            assertEquals("second", HttpMessages.read(client.getInputStream()).body());
        }
    }

    @Test
    void connectionIsReusedAfterTheReuseDelay() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.connectionReuseDelayUs = 1;
            proxyFixture.start(server);
            int requestCount = 0;
            // The reuse delay may not be over when the next request arrives, but it must be over for one of the
            // requests.
            do {
                assertEquals(
                        200,
                        proxyFixture
                                .ask(HttpMessages.page("/api/p", "t" + requestCount++, "4000m"))
                                .status());
            } while (server.acceptedCount.get() == requestCount && requestCount < 1_000);
            assertTrue(requestCount < 1_000, "no connection was reused");
        }
    }

    @Test
    void drainClosesConnectionsDuringTheirReuseDelay() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.connectionReuseDelayUs = 3_600_000_000L;
            proxyFixture.start(server);
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(proxyFixture.discovery.peers);
            assertEquals(200, proxyFixture.ask(HttpMessages.page("t")).status());
            watch.write(ProxyFixture.chunk(ProxyFixture.list(2, false, "s0=" + server.endpoint() + "=Terminating")));
            assertEquals(ScriptedHttpServer.next(server.peers), ScriptedHttpServer.next(server.closedConnections));
        }
    }

    @Test
    void timedOutAttemptClosesItsConnection() throws Exception {
        try (ScriptedHttpServer silentServer = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(silentServer)) {
            assertEquals(502, proxyFixture.ask(HttpMessages.order("t", "100m")).status());
            ScriptedHttpServer.next(silentServer.closedConnections);
        }
    }

    @Test
    void idleConnectionIsReusedAndClosedBeforeItsIdleTimeout() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.upstreamIdleTimeoutUs = 200_000;
            proxyFixture.start(server);
            assertEquals(200, proxyFixture.ask(HttpMessages.page("a")).status());
            assertEquals(200, proxyFixture.ask(HttpMessages.page("b")).status());
            ScriptedHttpServer.Peer first = ScriptedHttpServer.next(server.peers);
            assertEquals(first, ScriptedHttpServer.next(server.peers), "the connection is reused");
            assertEquals(
                    first,
                    ScriptedHttpServer.next(server.closedConnections),
                    "the proxy closes the idle connection before the endpoint does");
            assertEquals(200, proxyFixture.ask(HttpMessages.page("c")).status());
            assertNotEquals(first, ScriptedHttpServer.next(server.peers));
        }
    }

    @Test
    void drainMovesAPendingRequestToAnotherEndpoint() throws Exception {
        try (HangingListener hanging = new HangingListener();
                ScriptedHttpServer healthyServer = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            String hangingEndpoint = "s0=" + hanging.endpoint();
            proxyFixture.startWithCachedList(ProxyFixture.list(1, true, hangingEndpoint + "=Ready"));
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(proxyFixture.discovery.peers);
            Socket client = proxyFixture.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "5000m"));
            // The proxy has read the order by now, and the order waits for a connection.
            proxyFixture.awaitPriorInputRead();
            watch.write(ProxyFixture.chunk(ProxyFixture.list(
                            2, false, hangingEndpoint + "=Terminating", "s1=" + healthyServer.endpoint() + "=Ready")
                    + "\n"));
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
        }
    }

    @Test
    void changedAddressIsUsedForNewConnections() throws Exception {
        try (ScriptedHttpServer oldServer = ScriptedHttpServer.serving("old");
                ScriptedHttpServer newServer = ScriptedHttpServer.serving("new");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat().start(oldServer)) {
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(proxyFixture.discovery.peers);
            assertEquals("old", proxyFixture.ask(HttpMessages.page("a")).body());
            watch.write(
                    ProxyFixture.chunk(ProxyFixture.list(2, false, "s0=" + newServer.endpoint() + "=Ready") + "\n"));
            ScriptedHttpServer.next(oldServer.closedConnections);
            assertEquals("new", proxyFixture.ask(HttpMessages.page("b")).body());
        }
    }
}
