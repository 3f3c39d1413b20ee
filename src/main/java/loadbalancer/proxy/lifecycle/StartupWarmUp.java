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
 * The start-up warm-up of a node's process before it listens. A separate node, on the IP address of the listener,
 * serves requests from an internal client to an internal server, so that the JVM loads and compiles the code for
 * requests. Without the warm-up, a node under full load pauses for up to 90 ms at a time in the first second, and
 * requests exceed their deadlines without a response.
 */
final class StartupWarmUp {
    /**
     * The maximum number of warm-up requests. It exceeds the JIT compiler's threshold of 200 calls, so that the code
     * that serves a request is compiled and not only loaded. A node that starts cold under full load uses up its share
     * of the core: an iteration of the event loop takes 100 ms or more, and clients that time out and retry add to the
     * load. With half as many requests, a single node is ready 500 ms sooner but loses more than that in the load that
     * follows.
     */
    static final int MAX_REQUESTS = 250;
    /**
     * The number of warm-up requests is the number that tenants may send to a node in this time. A node with little
     * traffic may serve it with cold code, and nodes that were killed together are unavailable during their warm-up.
     */
    private static final double SECONDS_OF_EXPECTED_TRAFFIC = 1;
    /**
     * The minimum number of warm-up requests, so that requests of each class at least load all code that serves them.
     */
    private static final int MIN_REQUESTS = 40;

    private static final int CLIENT_CONNECTIONS = 4;
    /**
     * The maximum duration of the warm-up, which delays the start of the node by as much. With 500 ms, a node that
     * shares half a core with another node serves only 60 requests.
     */
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

    /** Returns the number of warm-up requests for the tenants' quotas, or the maximum if any tenant has no quota. */
    static int requestCount(LoadBalancerSettings settings) {
        if (settings.tenants.stream().anyMatch(tenant -> tenant.quotaPerSecond() <= 0)) {
            return MAX_REQUESTS;
        }
        double requestsPerSecond =
                settings.tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum() / settings.instances;
        return (int) Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, SECONDS_OF_EXPECTED_TRAFFIC * requestsPerSecond));
    }

    /**
     * Runs the warm-up until all requests are served or its time is over, and closes its node and server. Must not be
     * called on the event loop, because it blocks.
     *
     * @param loop the event loop of the node that starts
     * @return the number of served requests, or 0 if a request was refused, because a refused request warms up other
     * code than a served one
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
        EndpointList.AddressedEndpoint endpoint = new EndpointList.AddressedEndpoint(
                new EndpointListEntry("warm-up", 0, 0, EndpointState.READY, 1, 0),
                (InetSocketAddress) server.localAddress());
        ProxyNode node = new ProxyNode(config.forStartUpWarmUp(new EndpointList(0, true, List.of(endpoint))), loop);
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

    private ChannelInitializer<SocketChannel> pipeline(boolean isServer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ChannelHandler codec = isServer ? new HttpServerCodec() : new HttpClientCodec();
                channel.pipeline()
                        .addLast(
                                codec,
                                new HttpObjectAggregator(ConnectionLimits.MAX_REQUEST_BODY_BYTES),
                                isServer ? new WarmUpServer() : new WarmUpClient(),
                                new CloseOnExceptionHandler());
            }
        };
    }

    /**
     * Closes a connection on an exception without logging it. The node closes with requests in flight, so connections
     * of the internal client and server are reset.
     */
    static final class CloseOnExceptionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Responds to every request with 200 and a body of 64 bytes. */
    private static final class WarmUpServer extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[64]));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 64);
            context.writeAndFlush(response);
        }
    }

    /**
     * Sends requests of each class in turn, one at a time on its connection, until all warm-up requests are served or
     * one of its requests is refused.
     */
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
            RequestClass requestClass = classes.get((int) (remainingRequests.getCount() % classes.size()));
            boolean isIdempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    isIdempotent ? HttpMethod.GET : HttpMethod.POST,
                    "/api/warm-up",
                    Unpooled.wrappedBuffer(new byte[isIdempotent ? 0 : 64]));
            request.headers()
                    .set(HttpHeaderNames.HOST, "warm-up")
                    .set("X-Txn", Long.toString(++sentRequests))
                    .set("X-Lane", requestClass.name())
                    .set("X-Remaining", "1000m")
                    .set(HttpHeaderNames.CONTENT_LENGTH, isIdempotent ? 0 : 64);
            if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                request.headers().set("Idempotency-Key", "warm-up");
            }
            context.writeAndFlush(request);
        }
    }
}
