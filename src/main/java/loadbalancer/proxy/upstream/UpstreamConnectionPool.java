package loadbalancer.proxy.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.EndpointState;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.DescriptorBudget;
import loadbalancer.proxy.resources.HeapBuffers;

/** The connections to servers: one exchange at a time on each, the most recently used first. */
public final class UpstreamConnectionPool {
    private static final byte[] NO_BODY = {};

    private final Bootstrap dialer;
    private final EventLoop loop;
    private final DescriptorBudget sockets;
    private final long idleTimeoutUs;
    private final long reuseDelayUs;
    private final Clock clock;
    private final Map<String, UpstreamEndpoint> upstreams = new HashMap<>();
    /** The connections that carry an exchange. */
    private final Map<UpstreamExchange, UpstreamConnection> carriers = new HashMap<>();
    /** From then on no request may leave, as nothing vouches for the list. */
    private long routeUntilUs = Long.MAX_VALUE;
    /** How much of responses has come that have not ended yet. */
    private int responseBytes;

    /**
     * Connections carry nothing for {@code restUs} after a response. The factory throws where there is no
     * descriptor for another channel.
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            DescriptorBudget sockets,
            Clock clock,
            long connectTimeoutUs,
            long connIdleUs,
            long restUs,
            ChannelFactory<UpstreamChannel> channels) {
        this.loop = loop;
        this.sockets = sockets;
        this.clock = clock;
        this.idleTimeoutUs = connIdleUs;
        this.reuseDelayUs = restUs;
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                // The end of what a server sends and a reset are two events, as only one of them ends a body.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new UpstreamResponseDecoder(), new HttpRequestEncoder());
                    }
                });
    }

    // ---------------------------------------------------------------- the list

    /** Follows the list. Word of a drain takes effect at once, also for what awaits a connection. */
    public void onEndpointList(EndpointList list) {
        Map<String, UpstreamEndpoint> missing = list.isComplete() ? new HashMap<>(upstreams) : Map.of();
        for (EndpointList.AddressedEndpoint host : list.endpoints()) {
            String id = host.entry().id();
            if (list.isComplete()) {
                missing.remove(id);
            }
            if (host.entry().state() == EndpointState.REMOVED) {
                remove(id);
            } else {
                upstreams
                        .computeIfAbsent(id, UpstreamEndpoint::new)
                        .follow(host, host.entry().state() == EndpointState.READY);
            }
        }
        missing.keySet().forEach(this::remove);
        withdrawUnsent();
    }

    private void remove(String id) {
        UpstreamEndpoint upstream = upstreams.remove(id);
        if (upstream != null) {
            upstream.remove();
        }
    }

    /** Ends what is carried, may not leave any more, and has not begun to. */
    private void withdrawUnsent() {
        List.copyOf(carriers.values()).forEach(UpstreamConnection::withdrawUnsent);
    }

    /** The list may be used until a time. Once that is past, what has not left for a server never does. */
    public void setLeaseEnd(long untilUs) {
        routeUntilUs = untilUs;
        if (!isLeaseHeld()) {
            upstreams.values().forEach(UpstreamEndpoint::turnAwayAll);
            withdrawUnsent();
        }
    }

    /** Whether a request may leave now. */
    public boolean isLeaseHeld() {
        return clock.nowUs() < routeUntilUs;
    }

    /** Whether an exchange may leave for a server that is ready. */
    boolean maySend(UpstreamExchange exchange) {
        return isLeaseHeld() && exchange.isActive();
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange; the connection that carries it tells its end. */
    public void start(String serverId, UpstreamExchange exchange) {
        UpstreamEndpoint upstream = upstreams.get(serverId);
        if (upstream == null || !upstream.isReady() || !maySend(exchange)) {
            exchange.onCompleted(AttemptResult.NOT_SENT, NO_BODY);
            return;
        }
        UpstreamConnection free;
        while ((free = upstream.idle.peek()) != null) {
            if (free.isQuiet()) {
                free.carry(exchange);
                return;
            }
            // What has come behind the last response, or the end of the connection, waits to be read: it would
            // pass for the response to this request, or reset it.
            free.close();
        }
        if (!sockets.hasCapacityForUpstream() && !closeOldestIdle()) {
            exchange.onCompleted(AttemptResult.CONNECT_FAILED, NO_BODY);
            return;
        }
        upstream.awaiting.add(exchange);
        dial(upstream);
    }

    /** Gives an exchange up without telling its end. True if its request may have been written whole. */
    public boolean abandon(String serverId, UpstreamExchange exchange) {
        UpstreamEndpoint upstream = upstreams.get(serverId);
        if (upstream != null && upstream.awaiting.remove(exchange)) {
            return false;
        }
        UpstreamConnection connection = carriers.remove(exchange);
        if (connection == null) {
            return false;
        }
        boolean mayHaveRun = connection.mayHaveSentWhole();
        connection.abandon();
        return mayHaveRun;
    }

    /**
     * Gives an exchange up, without telling its end, if its request is not written whole: a server that never
     * gets its last byte never begins it.
     *
     * @return false if it is written whole
     */
    public boolean withdraw(String serverId, UpstreamExchange exchange) {
        UpstreamConnection connection = carriers.get(exchange);
        if (connection != null && connection.mayHaveSentWhole()) {
            return false;
        }
        abandon(serverId, exchange);
        return true;
    }

    void onExchangeStarted(UpstreamConnection connection, UpstreamExchange exchange) {
        carriers.put(exchange, connection);
    }

    void onExchangeEnded(UpstreamExchange exchange) {
        carriers.remove(exchange);
    }

    private void dial(UpstreamEndpoint upstream) {
        upstream.dialing++;
        sockets.onUpstreamOpened();
        int generation = upstream.generation();
        ChannelFuture opening = dialer.connect(upstream.endpoint());
        // Also a dial that fails on the spot is heard of from the loop, never from inside this call.
        opening.addListener(done -> loop.execute(() -> dialed(upstream, generation, opening)));
    }

    private void dialed(UpstreamEndpoint upstream, int generation, ChannelFuture opening) {
        upstream.dialing--;
        if (opening.isSuccess()) {
            opening.channel().closeFuture().addListener(closed -> sockets.onUpstreamClosed());
            UpstreamConnection connection =
                    new UpstreamConnection(this, upstream, generation, (UpstreamChannel) opening.channel());
            opening.channel().pipeline().addLast(connection);
            connection.offer();
            return;
        }
        // Not by the end of its channel: where no descriptor could be had there is none that could end.
        sockets.onUpstreamClosed();
        // One dial was made for each that waits; some may have found a connection that came free.
        upstream.failOneWithoutDial();
    }

    // ---------------------------------------------------------------- counts and bounds

    /** How many exchanges are carried or await a connection. */
    public int exchanges() {
        return carriers.size()
                + upstreams.values().stream()
                        .mapToInt(upstream -> upstream.awaiting.size())
                        .sum();
    }

    /** How many descriptors clients and servers hold. */
    public int descriptors() {
        return sockets.openSockets();
    }

    /** False if responses under way would take more memory than they may together. */
    boolean reserveResponseBytes(int bytes) {
        if (responseBytes + bytes > ConnectionLimits.MAX_BUFFERED_RESPONSE_BYTES) {
            return false;
        }
        responseBytes += bytes;
        return true;
    }

    void releaseResponseBytes(int bytes) {
        responseBytes -= bytes;
    }

    long nowUs() {
        return clock.nowUs();
    }

    long reuseDelayUs() {
        return reuseDelayUs;
    }

    // ---------------------------------------------------------------- idle connections

    public void closeIdleConnections(String serverId) {
        UpstreamEndpoint upstream = upstreams.get(serverId);
        if (upstream != null) {
            upstream.closeUnused(true);
        }
    }

    public void close() {
        List.copyOf(upstreams.keySet()).forEach(this::remove);
    }

    /** Closes what has been idle for half of what servers allow: a request that met their close resets. */
    public void closeExpired() {
        long before = clock.nowUs() - idleTimeoutUs / 2;
        for (UpstreamEndpoint upstream : upstreams.values()) {
            while (!upstream.idle.isEmpty() && upstream.idle.peekLast().idleSinceUs() < before) {
                upstream.idle.peekLast().close();
            }
        }
    }

    private boolean closeOldestIdle() {
        UpstreamConnection oldest = null;
        for (UpstreamEndpoint upstream : upstreams.values()) {
            UpstreamConnection last = upstream.idle.peekLast();
            if (last != null && (oldest == null || last.idleSinceUs() < oldest.idleSinceUs())) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }
}
