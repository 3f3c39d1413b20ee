package kitemux.node;

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

import kitemux.Balancer.Result;
import kitemux.Balancer.ServerState;

/** The connections to servers: one exchange at a time on each, the most recently used first. */
final class ServerPool {
    private static final byte[] NO_BODY = {};

    private final Bootstrap dialer;
    private final EventLoop loop;
    private final Sockets sockets;
    private final long connIdleUs;
    private final long restUs;
    private final Clock clock;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    /** The connections that carry an exchange. */
    private final Map<Exchange, ServerConnection> carriers = new HashMap<>();
    /** From then on no request may leave, as nothing vouches for the list. */
    private long routeUntilUs = Long.MAX_VALUE;
    /** How much of responses has come that have not ended yet. */
    private int responseBytes;

    /**
     * Connections carry nothing for {@code restUs} after a response. The factory throws where there is no
     * descriptor for another channel.
     */
    ServerPool(
            EventLoop loop,
            Sockets sockets,
            Clock clock,
            long connectTimeoutUs,
            long connIdleUs,
            long restUs,
            ChannelFactory<ServerChannel> channels) {
        this.loop = loop;
        this.sockets = sockets;
        this.clock = clock;
        this.connIdleUs = connIdleUs;
        this.restUs = restUs;
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.ALLOCATOR, Node.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                // The end of what a server sends and a reset are two events, as only one of them ends a body.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new AnswerDecoder(), new HttpRequestEncoder());
                    }
                });
    }

    // ---------------------------------------------------------------- the list

    /** Follows the list. Word of a drain takes effect at once, also for what awaits a connection. */
    void update(HostList list) {
        Map<String, Upstream> missing = list.all() ? new HashMap<>(upstreams) : Map.of();
        for (HostList.Host host : list.hosts()) {
            String id = host.entry().id();
            if (list.all()) {
                missing.remove(id);
            }
            if (host.entry().state() == ServerState.GONE) {
                remove(id);
            } else {
                upstreams
                        .computeIfAbsent(id, Upstream::new)
                        .follow(host, host.entry().state() == ServerState.READY);
            }
        }
        missing.keySet().forEach(this::remove);
        withdrawUnsent();
    }

    private void remove(String id) {
        Upstream upstream = upstreams.remove(id);
        if (upstream != null) {
            upstream.remove();
        }
    }

    /** Ends what is carried, may not leave any more, and has not begun to. */
    private void withdrawUnsent() {
        List.copyOf(carriers.values()).forEach(ServerConnection::withdrawUnsent);
    }

    /** The list may be used until a time. Once that is past, what has not left for a server never does. */
    void routeUntil(long untilUs) {
        routeUntilUs = untilUs;
        if (!mayRoute()) {
            upstreams.values().forEach(Upstream::turnAwayAll);
            withdrawUnsent();
        }
    }

    /** Whether a request may leave now. */
    boolean mayRoute() {
        return clock.nowUs() < routeUntilUs;
    }

    /** Whether an exchange may leave for a server that is ready. */
    boolean mayLeave(Exchange exchange) {
        return mayRoute() && exchange.isWanted();
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange; the connection that carries it tells its end. */
    void start(String serverId, Exchange exchange) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream == null || !upstream.isReady() || !mayLeave(exchange)) {
            exchange.ended(Result.MOOT, NO_BODY);
            return;
        }
        ServerConnection free;
        while ((free = upstream.idle.peek()) != null) {
            if (free.isQuiet()) {
                free.carry(exchange);
                return;
            }
            // What has come behind the last response, or the end of the connection, waits to be read: it would
            // pass for the response to this request, or reset it.
            free.close();
        }
        if (!sockets.hasRoomForServer() && !closeOldestIdle()) {
            exchange.ended(Result.CONNECT_FAILED, NO_BODY);
            return;
        }
        upstream.awaiting.add(exchange);
        dial(upstream);
    }

    /** Gives an exchange up without telling its end. True if its request may have been written whole. */
    boolean giveUp(String serverId, Exchange exchange) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream != null && upstream.awaiting.remove(exchange)) {
            return false;
        }
        ServerConnection connection = carriers.remove(exchange);
        if (connection == null) {
            return false;
        }
        boolean mayHaveRun = connection.mayHaveSentWhole();
        connection.giveUp();
        return mayHaveRun;
    }

    /**
     * Gives an exchange up, without telling its end, if its request is not written whole: a server that never
     * gets its last byte never begins it.
     *
     * @return false if it is written whole
     */
    boolean withdraw(String serverId, Exchange exchange) {
        ServerConnection connection = carriers.get(exchange);
        if (connection != null && connection.mayHaveSentWhole()) {
            return false;
        }
        giveUp(serverId, exchange);
        return true;
    }

    void carries(ServerConnection connection, Exchange exchange) {
        carriers.put(exchange, connection);
    }

    void isOver(Exchange exchange) {
        carriers.remove(exchange);
    }

    private void dial(Upstream upstream) {
        upstream.dialing++;
        sockets.opened();
        int generation = upstream.generation();
        ChannelFuture opening = dialer.connect(upstream.endpoint());
        // Also a dial that fails on the spot is heard of from the loop, never from inside this call.
        opening.addListener(done -> loop.execute(() -> dialed(upstream, generation, opening)));
    }

    private void dialed(Upstream upstream, int generation, ChannelFuture opening) {
        upstream.dialing--;
        if (opening.isSuccess()) {
            opening.channel().closeFuture().addListener(closed -> sockets.closed());
            ServerConnection connection =
                    new ServerConnection(this, upstream, generation, (ServerChannel) opening.channel());
            opening.channel().pipeline().addLast(connection);
            connection.offer();
            return;
        }
        // Not by the end of its channel: where no descriptor could be had there is none that could end.
        sockets.closed();
        // One dial was made for each that waits; some may have found a connection that came free.
        upstream.failOneWithoutDial();
    }

    // ---------------------------------------------------------------- counts and bounds

    /** How many exchanges are carried or await a connection. */
    int exchanges() {
        return carriers.size()
                + upstreams.values().stream()
                        .mapToInt(upstream -> upstream.awaiting.size())
                        .sum();
    }

    /** How many descriptors clients and servers hold. */
    int descriptors() {
        return sockets.open();
    }

    /** False if responses under way would take more memory than they may together. */
    boolean reserveResponseBytes(int bytes) {
        if (responseBytes + bytes > Limits.MOST_ANSWERS) {
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

    long restUs() {
        return restUs;
    }

    // ---------------------------------------------------------------- idle connections

    void closeIdle(String serverId) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream != null) {
            upstream.closeUnused(true);
        }
    }

    void close() {
        List.copyOf(upstreams.keySet()).forEach(this::remove);
    }

    /** Closes what has been idle for half of what servers allow: a request that met their close resets. */
    void closeOld() {
        long before = clock.nowUs() - connIdleUs / 2;
        for (Upstream upstream : upstreams.values()) {
            while (!upstream.idle.isEmpty() && upstream.idle.peekLast().idleSinceUs() < before) {
                upstream.idle.peekLast().close();
            }
        }
    }

    private boolean closeOldestIdle() {
        ServerConnection oldest = null;
        for (Upstream upstream : upstreams.values()) {
            ServerConnection last = upstream.idle.peekLast();
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
