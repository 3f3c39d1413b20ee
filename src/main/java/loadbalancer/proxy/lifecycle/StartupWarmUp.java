package loadbalancer.proxy.lifecycle;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

import loadbalancer.policy.EndpointListEntry;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.HeapBuffers;

/**
 * Warms a starting process before it listens: a node apart serves requests between a client and a server of
 * its own, on the address that it may listen on. Cold code under full load stood still for up to 90 ms at a
 * time in the first second, and requests ran out of time unanswered.
 */
final class StartupWarmUp {
    /** Past the compiler's threshold of 200 calls, so that what serves a request is compiled and not only
     * loaded. A node that begins cold under full load uses up its share of the core: its turns last 100 ms
     * and more, and clients that give up and ask again make it more work. With half as many a node alone was
     * ready half a second sooner and lost more than that by it. */
    static final int MAX_REQUESTS = 250;
    /** What comes to a node in this time is enough: where few requests come, cold code may meet them. Nodes
     * that were killed together are missed for as long as this takes them. */
    private static final double SECONDS_OF_EXPECTED_TRAFFIC = 1;
    /** Each class of requests some times, so that all code for them is loaded at least. */
    private static final int MIN_REQUESTS = 40;

    private static final int CLIENT_CONNECTIONS = 4;
    /** A start must not wait for longer, however little CPU there is. On half a core that another node shares
     * 500 ms were over after 60 requests. Harm: a restart takes so much longer. */
    private static final long MAX_DURATION_MS = 2_000;

    private final EventLoop loop;
    private final List<RequestClass> classes;
    private final int requestCount;
    private final CountDownLatch remainingRequests;

    private long sentRequests;
    private volatile boolean isRequestRefused;

    private StartupWarmUp(EventLoop loop, LoadBalancerSettings settings) {
        this.loop = loop;
        classes = settings.classes;
        requestCount = requestCount(settings);
        remainingRequests = new CountDownLatch(requestCount);
    }

    /** How many to serve, by what tenants may ask of this node; the most where any may ask without limit. */
    static int requestCount(LoadBalancerSettings settings) {
        if (settings.tenants.stream().anyMatch(tenant -> tenant.quotaPerSecond() <= 0)) {
            return MAX_REQUESTS;
        }
        double perS =
                settings.tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum() / settings.instances;
        return (int) Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, SECONDS_OF_EXPECTED_TRAFFIC * perS));
    }

    /**
     * Plays until enough has been served or the time is up; it leaves nothing open.
     *
     * @return how many were served; 0 if any was turned down, as then it was something else that got warm
     */
    static long run(ProxyConfiguration config, EventLoop loop) {
        return new StartupWarmUp(loop, config.settings()).run(config);
    }

    private long run(ProxyConfiguration config) {
        Channel server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .childHandler(pipeline(true))
                .bind(new InetSocketAddress(config.listen().getAddress(), 0))
                .syncUninterruptibly()
                .channel();
        EndpointList.AddressedEndpoint host = new EndpointList.AddressedEndpoint(
                new EndpointListEntry("rehearsal", 0, 0, EndpointState.READY, 1, 0),
                (InetSocketAddress) server.localAddress());
        ProxyNode node = new ProxyNode(config.forStartUpWarmUp(new EndpointList(0, true, List.of(host))), loop);
        SocketAddress listening = node.start().syncUninterruptibly().getNow();
        Bootstrap client = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .handler(pipeline(false));
        for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
            client.connect(listening);
        }
        try {
            remainingRequests.await(MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        node.close();
        server.close();
        return isRequestRefused ? 0 : requestCount - remainingRequests.getCount();
    }

    private ChannelInitializer<SocketChannel> pipeline(boolean server) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ChannelHandler codec = server ? new HttpServerCodec() : new HttpClientCodec();
                channel.pipeline()
                        .addLast(
                                codec,
                                new HttpObjectAggregator(ConnectionLimits.MAX_REQUEST_BODY_BYTES),
                                server ? new WarmUpServer() : new WarmUpClient(),
                                new CloseOnExceptionHandler());
            }
        };
    }

    /** The node closes with requests under way: what resets of them reach the far sides is no fault. */
    static final class CloseOnExceptionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Answers all that it is asked. */
    private static final class WarmUpServer extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[64]));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 64);
            context.writeAndFlush(response);
        }
    }

    /** Asks for each class in turn, the next once the last is answered, until the node closes. */
    private final class WarmUpClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendRequest(context);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().code() != HttpResponseStatus.OK.code()) {
                isRequestRefused = true;
                return;
            }
            remainingRequests.countDown();
            if (remainingRequests.getCount() > 0) {
                sendRequest(context);
            }
        }

        private void sendRequest(ChannelHandlerContext context) {
            RequestClass next = classes.get((int) (remainingRequests.getCount() % classes.size()));
            boolean safe = next.idempotency() == Idempotency.IDEMPOTENT;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api/rehearsal",
                    Unpooled.wrappedBuffer(new byte[safe ? 0 : 64]));
            request.headers()
                    .set(HttpHeaderNames.HOST, "rehearsal")
                    .set("X-Txn", Long.toString(++sentRequests))
                    .set("X-Lane", next.name())
                    .set("X-Remaining", "1000m")
                    .set(HttpHeaderNames.CONTENT_LENGTH, safe ? 0 : 64);
            if (next.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                request.headers().set("Idempotency-Key", "rehearsal");
            }
            context.writeAndFlush(request);
        }
    }
}
