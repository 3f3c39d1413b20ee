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
import loadbalancer.proxy.resources.SystemClock;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** How attempts end, seen from outside: an order may go on to another server only if it never ran. */
class UpstreamConnectionPoolTest {
    private static final int ASKED = 12;

    /** Asks for a number of orders, of which about half meet the first server; all must be served. */
    private static void allServed(ProxyFixture site) throws IOException {
        for (int i = 0; i < ASKED; i++) {
            assertEquals(200, site.ask(HttpMessages.order("t" + i, "4000m")).status());
        }
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        try (ScriptedHttpServer dead = ScriptedHttpServer.serving("x");
                ScriptedHttpServer good = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            dead.stop();
            site.start(dead, good);
            allServed(site);
            assertEquals(ASKED, good.requests.size());
        }
    }

    @Test
    void aRequestTurnedAwayNeverRan() throws Exception {
        try (ScriptedHttpServer full = new ScriptedHttpServer(
                        (request, peer) -> peer.write(HttpMessages.answer("504 Over", "X-Turned-Away: 1\r\n", "")));
                ScriptedHttpServer good = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat().start(full, good)) {
            allServed(site);
            assertEquals(ASKED, good.requests.size());
            assertTrue(full.requests.size() > 0);
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
    void aBadAnswerMayHaveRunAndIsNeverServed(String answer) throws Exception {
        try (ScriptedHttpServer bad = new ScriptedHttpServer((request, peer) -> {
                    peer.write(answer);
                    peer.socket().close();
                });
                ProxyFixture site = ProxyFixture.withHeartbeat().start(bad)) {
            assertEquals(502, site.ask(HttpMessages.order("t", "4000m")).status());
            assertEquals(1, bad.requests.size(), "an order is sent once");
        }
    }

    @Test
    void aRepeatableRequestPassesOnAfterAReset() throws Exception {
        try (ScriptedHttpServer bad = new ScriptedHttpServer((request, peer) -> peer.reset());
                ScriptedHttpServer good = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat().start(bad, good)) {
            for (int i = 0; i < ASKED; i++) {
                assertEquals(
                        200,
                        site.ask(HttpMessages.page("/api/p", "t" + i, "4000m")).status());
            }
            assertTrue(bad.requests.size() > 0);
        }
    }

    @Test
    void anAnswerPastAllBoundsIsGivenUpAtOnce() throws Exception {
        try (ScriptedHttpServer bad = new ScriptedHttpServer(
                        (request, peer) -> peer.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"));
                ProxyFixture site = ProxyFixture.withHeartbeat().start(bad)) {
            assertEquals(502, site.ask(HttpMessages.order("t", "3600000m")).status());
            ScriptedHttpServer.next(bad.ended);
        }
    }

    @Test
    void anAnswerLargerThanRequestsMayBePassesOnWhole() throws Exception {
        String large = "photo".repeat(70_000);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving(large);
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals(large, site.ask(HttpMessages.order("t", "4000m")).body());
            assertEquals(large, site.ask(HttpMessages.order("u", "4000m")).body());
            assertEquals(1, server.connections.get());
        }
    }

    @Test
    void anUnreadableLoadReportSpoilsNoAnswer() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) ->
                        peer.write(HttpMessages.answer("200 OK", "X-Pressure: TEXT %%=;{\"\r\n", "good")));
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals("good", site.ask(HttpMessages.order("t", "4000m")).body());
        }
    }

    @Test
    @Timeout(20)
    void aConnectionOnWhichSomethingWaitsUnreadIsNotQuiet() throws Exception {
        EventLoop loop = ProxyNode.newLoop();
        try (ServerSocket far = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Nothing is read by itself, as when the loop has not come to it yet.
            UpstreamChannel channel = (UpstreamChannel) new Bootstrap()
                    .group(loop)
                    .channelFactory(UpstreamChannel::new)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(far.getLocalSocketAddress())
                    .sync()
                    .channel();
            Socket server = far.accept();
            assertTrue(channel.hasNoUnreadInput());
            server.getOutputStream().write('x');
            while (channel.hasNoUnreadInput()) {
                Thread.onSpinWait();
            }
            assertTrue(channel.hasNoUnreadInput(), "the byte is gone");
            server.close();
            while (channel.hasNoUnreadInput()) {
                Thread.onSpinWait();
            }
            assertFalse(channel.hasNoUnreadInput(), "the end stays");
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    @Test
    void aDialForWhichThereIsNoDescriptorEndsAndIsNotCountedAnyMore() throws Exception {
        EventLoop loop = ProxyNode.newLoop();
        try {
            DescriptorBudget sockets = new DescriptorBudget(256);
            UpstreamConnectionPool pool =
                    new UpstreamConnectionPool(loop, sockets, new SystemClock(), 1_000_000, 1_000_000, 0, () -> {
                        throw new ChannelException("Too many open files");
                    });
            EndpointList list = new EndpointListDecoder(List.of())
                    .decode(new ObjectMapper().readTree(ProxyFixture.list(1, true, "s0=127.0.0.1:9=Ready")));
            BlockingQueue<AttemptResult> ends = new LinkedBlockingQueue<>();
            loop.execute(() -> pool.onEndpointList(list));
            // More than the node may have open.
            for (int i = 0; i < 300; i++) {
                loop.execute(() -> pool.start("s0", new Collected(ends, "t")));
                assertEquals(AttemptResult.CONNECT_FAILED, ScriptedHttpServer.next(ends));
            }
            assertTrue(loop.submit(sockets::hasCapacityForUpstream).get());
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    /** Runs a task so deep in listeners of the loop that Netty tells further listeners in a later turn. */
    private static void whereListenersAreDeferred(EventLoop loop, int depth, Runnable task) {
        if (depth == 0) {
            task.run();
            return;
        }
        Promise<Void> promise = loop.newPromise();
        promise.addListener(done -> whereListenersAreDeferred(loop, depth - 1, task));
        promise.setSuccess(null);
    }

    @Test
    @Timeout(60)
    void whatWasSentWholeMayHaveRunAlsoBeforeListenersOfTheWriteAreTold() throws Exception {
        EventLoop loop = ProxyNode.newLoop();
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x")) {
            UpstreamConnectionPool pool = new UpstreamConnectionPool(
                    loop, new DescriptorBudget(256), new SystemClock(), 1_000_000, 60_000_000, 0, UpstreamChannel::new);
            EndpointList list = new EndpointListDecoder(List.of())
                    .decode(new ObjectMapper()
                            .readTree(ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready")));
            BlockingQueue<AttemptResult> ends = new LinkedBlockingQueue<>();
            loop.execute(() -> pool.onEndpointList(list));
            loop.execute(() -> pool.start("s0", new Collected(ends, "first")));
            assertEquals(AttemptResult.OK, ScriptedHttpServer.next(ends));
            BlockingQueue<Boolean> mayHaveRun = new LinkedBlockingQueue<>();
            loop.execute(() -> whereListenersAreDeferred(loop, 8, () -> {
                UpstreamExchange second = new Collected(ends, "second");
                pool.start("s0", second);
                mayHaveRun.add(pool.abandon("s0", second));
            }));
            assertTrue(ScriptedHttpServer.next(mayHaveRun));
            assertEquals(
                    "first", ScriptedHttpServer.next(server.requests).headers().get("x-txn"));
            assertEquals(
                    "second", ScriptedHttpServer.next(server.requests).headers().get("x-txn"), "it did run");
        } finally {
            loop.parent().shutdownGracefully();
        }
    }

    /** An exchange of which only the end is wanted. */
    private record Collected(BlockingQueue<AttemptResult> ends, String txn) implements UpstreamExchange {
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
            ends.add(result);
        }
    }

    @Test
    void interimAnswersArePassedOver() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> peer.write(
                        "HTTP/1.1 102 Processing\r\n\r\n" + "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
                                + HttpMessages.ok("final")));
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            assertEquals("final", site.ask(HttpMessages.page("t")).body());
        }
    }

    @Test
    void whatComesBehindAnAnswerDoesNotAnswerTheNext() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) ->
                        peer.write(HttpMessages.ok(request.headers().get("x-txn")) + HttpMessages.ok("stray")));
                ProxyFixture site = ProxyFixture.withHeartbeat().start(server)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        "t" + i,
                        site.ask(HttpMessages.page("/api/p", "t" + i, "4000m")).body());
            }
        }
    }

    @Test
    void aSecondAnswerSomeTimeBehindTheFirstDoesNotAnswerTheNext() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    if (request.headers().get("x-txn").equals("second")) {
                        ScriptedHttpServer.await(release);
                    }
                    peer.write(HttpMessages.ok(request.headers().get("x-txn")));
                });
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.connectionReuseDelayUs = 3_600_000_000L;
            site.start(server);
            assertEquals("first", site.ask(HttpMessages.order("first", "4000m")).body());
            ScriptedHttpServer.Peer first = ScriptedHttpServer.next(server.peers);
            ScriptedHttpServer.next(server.requests);
            Socket client = site.connect();
            ProxyFixture.write(client, HttpMessages.order("second", "20000m"));
            ScriptedHttpServer.next(server.requests);
            first.write(HttpMessages.ok("stray"));
            assertEquals(first, ScriptedHttpServer.next(server.ended), "nothing on it can be told apart any more");
            release.countDown();
            assertEquals("second", HttpMessages.read(client.getInputStream()).body());
        }
    }

    @Test
    void aConnectionIsUsedAgainOnceItHasRested() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.connectionReuseDelayUs = 1;
            site.start(server);
            int asked = 0;
            // A rest may not be over as the next request comes; that none ever were would be a defect.
            do {
                assertEquals(
                        200,
                        site.ask(HttpMessages.page("/api/p", "t" + asked++, "4000m"))
                                .status());
            } while (server.connections.get() == asked && asked < 1_000);
            assertTrue(asked < 1_000, "each request had a connection of its own");
        }
    }

    @Test
    void wordOfADrainClosesWhatRests() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.connectionReuseDelayUs = 3_600_000_000L;
            site.start(server);
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(site.discovery.peers);
            assertEquals(200, site.ask(HttpMessages.page("t")).status());
            watch.write(ProxyFixture.chunk(ProxyFixture.list(2, false, "s0=" + server.endpoint() + "=Terminating")));
            assertEquals(ScriptedHttpServer.next(server.peers), ScriptedHttpServer.next(server.ended));
        }
    }

    @Test
    void anAttemptOutOfTimeIsGivenUpByClosingItsConnection() throws Exception {
        try (ScriptedHttpServer silent = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture site = ProxyFixture.withHeartbeat().start(silent)) {
            assertEquals(502, site.ask(HttpMessages.order("t", "100m")).status());
            ScriptedHttpServer.next(silent.ended);
        }
    }

    @Test
    void theMostRecentlyUsedConnectionIsTakenAndOldOnesAreClosed() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.upstreamIdleTimeoutUs = 200_000;
            site.start(server);
            assertEquals(200, site.ask(HttpMessages.page("a")).status());
            assertEquals(200, site.ask(HttpMessages.page("b")).status());
            ScriptedHttpServer.Peer first = ScriptedHttpServer.next(server.peers);
            assertEquals(first, ScriptedHttpServer.next(server.peers), "used again");
            assertEquals(first, ScriptedHttpServer.next(server.ended), "closed by the node before the server does");
            assertEquals(200, site.ask(HttpMessages.page("c")).status());
            assertNotEquals(first, ScriptedHttpServer.next(server.peers));
        }
    }

    @Test
    void wordOfADrainFreesWhatAwaitsAConnection() throws Exception {
        try (HangingListener hanging = new HangingListener();
                ScriptedHttpServer good = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            String hangs = "s0=" + hanging.endpoint();
            site.startWithCachedList(ProxyFixture.list(1, true, hangs + "=Ready"));
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(site.discovery.peers);
            Socket client = site.connect();
            ProxyFixture.write(client, HttpMessages.order("t", "5000m"));
            // Once the answer to a later request is there, the order has been taken up and awaits its turn.
            site.awaitPriorInputRead();
            watch.write(ProxyFixture.chunk(
                    ProxyFixture.list(2, false, hangs + "=Terminating", "s1=" + good.endpoint() + "=Ready") + "\n"));
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
        }
    }

    @Test
    void aChangedEndpointMovesNewConnections() throws Exception {
        try (ScriptedHttpServer before = ScriptedHttpServer.serving("old");
                ScriptedHttpServer after = ScriptedHttpServer.serving("new");
                ProxyFixture site = ProxyFixture.withHeartbeat().start(before)) {
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(site.discovery.peers);
            assertEquals("old", site.ask(HttpMessages.page("a")).body());
            watch.write(ProxyFixture.chunk(ProxyFixture.list(2, false, "s0=" + after.endpoint() + "=Ready") + "\n"));
            ScriptedHttpServer.next(before.ended);
            assertEquals("new", site.ask(HttpMessages.page("b")).body());
        }
    }
}
