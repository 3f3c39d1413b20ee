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
import loadbalancer.proxy.resources.DescriptorBudget;
import loadbalancer.proxy.resources.HeapBuffers;
import loadbalancer.proxy.resources.HeapReadAllocator;
import loadbalancer.proxy.resources.MemoryBudget;

/** The connections to endpoints, each with one exchange at a time; the most recently used idle one is reused first. */
public final class UpstreamConnectionPool {
    private static final byte[] NO_BODY = {};

    private final Bootstrap bootstrap;
    private final EventLoop eventLoop;
    private final DescriptorBudget descriptorBudget;
    private final MemoryBudget responseMemory;
    private final long idleTimeoutUs;
    private final long reuseDelayUs;
    private final Clock clock;
    private final Map<String, UpstreamEndpoint> endpointsById = new HashMap<>();
    /** The exchanges under way, each with its connection. */
    private final Map<UpstreamExchange, UpstreamConnection> connectionsByExchange = new HashMap<>();
    /** The time when the lease on the endpoint list expires; no request is sent from then on. */
    private long leaseExpiresAtUs = Long.MAX_VALUE;

    /**
     * Creates a pool without endpoints.
     *
     * @param responseMemory the budget for responses
     * @param idleTimeoutUs the time for which endpoints keep idle connections open
     * @param reuseDelayUs the time after a response for which a connection carries no new exchange
     * @param channels creates the channels; throws an exception if no file descriptor is available
     */
    public UpstreamConnectionPool(
            EventLoop eventLoop,
            DescriptorBudget descriptorBudget,
            MemoryBudget responseMemory,
            Clock clock,
            long connectTimeoutUs,
            long idleTimeoutUs,
            long reuseDelayUs,
            ChannelFactory<UpstreamChannel> channels) {
        this.eventLoop = eventLoop;
        this.descriptorBudget = descriptorBudget;
        this.responseMemory = responseMemory;
        this.clock = clock;
        this.idleTimeoutUs = idleTimeoutUs;
        this.reuseDelayUs = reuseDelayUs;
        bootstrap = new Bootstrap()
                .group(eventLoop)
                .channelFactory(channels)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReadAllocator())
                .option(ChannelOption.TCP_NODELAY, true)
                // Nothing is read before the connection that owns the channel is in its pipeline.
                .option(ChannelOption.AUTO_READ, false)
                // Tells a shutdown of the endpoint's output from a reset: only the former may complete a body.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new UpstreamResponseDecoder(), new HttpRequestEncoder());
                    }
                });
    }

    // ---------------------------------------------------------------- endpoint list and lease

    /** Applies an endpoint list. Draining and removed endpoints get no more requests, not even pending ones. */
    public void onEndpointList(EndpointList list) {
        Map<String, UpstreamEndpoint> missing = list.isComplete() ? new HashMap<>(endpointsById) : Map.of();
        for (EndpointList.AddressedEndpoint listedEndpoint : list.endpoints()) {
            String id = listedEndpoint.entry().id();
            if (list.isComplete()) {
                missing.remove(id);
            }
            if (listedEndpoint.entry().state() == EndpointState.REMOVED) {
                remove(id);
            } else {
                endpointsById
                        .computeIfAbsent(id, UpstreamEndpoint::new)
                        .update(listedEndpoint, listedEndpoint.entry().state() == EndpointState.READY);
            }
        }
        missing.keySet().forEach(this::remove);
        withdrawUnsent();
    }

    private void remove(String id) {
        UpstreamEndpoint upstream = endpointsById.remove(id);
        if (upstream != null) {
            upstream.remove();
        }
    }

    /** Completes as not sent all exchanges that must not be sent any more and have not written a byte. */
    private void withdrawUnsent() {
        List.copyOf(connectionsByExchange.values()).forEach(UpstreamConnection::withdrawUnsent);
    }

    /** Sets when the lease expires. If it has expired, completes all exchanges without a written byte as not sent. */
    public void setLeaseExpiry(long expiresAtUs) {
        leaseExpiresAtUs = expiresAtUs;
        if (!isLeaseHeld()) {
            endpointsById.values().forEach(UpstreamEndpoint::endPendingExchanges);
            withdrawUnsent();
        }
    }

    /** Returns whether the node holds a lease on the endpoint list, without which it sends no request. */
    public boolean isLeaseHeld() {
        return clock.nowUs() < leaseExpiresAtUs;
    }

    /** Returns whether an exchange may be sent to an endpoint that is ready. */
    boolean isSendAllowed(UpstreamExchange exchange) {
        return isLeaseHeld() && exchange.isActive() && exchange.isSendPermitted();
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange on an idle or a new connection. The exchange may complete before this method returns. */
    public void start(String endpointId, UpstreamExchange exchange) {
        UpstreamEndpoint upstream = endpointsById.get(endpointId);
        if (upstream == null || !upstream.isReady() || !isSendAllowed(exchange)) {
            exchange.onCompleted(AttemptResult.NOT_SENT, NO_BODY);
            return;
        }
        UpstreamConnection idleConnection;
        while ((idleConnection = upstream.idleConnections.peek()) != null) {
            if (idleConnection.isEmpty()) {
                idleConnection.send(exchange);
                return;
            }
            // Surplus input would be taken for the response to this request, and a connection that the endpoint has
            // closed would reset it.
            idleConnection.close();
        }
        if (!descriptorBudget.hasCapacityForUpstream() && !closeOldestIdle()) {
            exchange.onCompleted(AttemptResult.CONNECT_FAILED, NO_BODY);
            return;
        }
        upstream.pendingExchanges.add(exchange);
        connect(upstream);
    }

    /** Gives up an exchange without completing it. Returns whether its request was fully written and may have run. */
    public boolean abandon(String endpointId, UpstreamExchange exchange) {
        UpstreamEndpoint upstream = endpointsById.get(endpointId);
        if (upstream != null && upstream.pendingExchanges.remove(exchange)) {
            return false;
        }
        UpstreamConnection connection = connectionsByExchange.remove(exchange);
        if (connection == null) {
            return false;
        }
        boolean mayHaveRun = connection.isRequestFullyWritten();
        connection.abandon();
        return mayHaveRun;
    }

    /**
     * Gives up an exchange without completing it, unless its request is fully written. An endpoint does not start to
     * execute a request before its last byte.
     *
     * @return false if the request is fully written and the exchange continues
     */
    public boolean withdraw(String endpointId, UpstreamExchange exchange) {
        UpstreamConnection connection = connectionsByExchange.get(exchange);
        if (connection != null && connection.isRequestFullyWritten()) {
            return false;
        }
        abandon(endpointId, exchange);
        return true;
    }

    void onExchangeStarted(UpstreamConnection connection, UpstreamExchange exchange) {
        connectionsByExchange.put(exchange, connection);
    }

    void onExchangeEnded(UpstreamExchange exchange) {
        connectionsByExchange.remove(exchange);
    }

    private void connect(UpstreamEndpoint upstream) {
        upstream.connectsUnderWay++;
        descriptorBudget.onUpstreamOpened();
        int generation = upstream.generation();
        ChannelFuture connecting = bootstrap.connect(upstream.address());
        // A connect may fail at once; its result is handled in a later event loop task, never inside this call.
        connecting.addListener(done -> eventLoop.execute(() -> onConnectCompleted(upstream, generation, connecting)));
    }

    private void onConnectCompleted(UpstreamEndpoint upstream, int generation, ChannelFuture connected) {
        upstream.connectsUnderWay--;
        if (connected.isSuccess()) {
            connected.channel().closeFuture().addListener(closed -> descriptorBudget.onUpstreamClosed());
            UpstreamConnection connection =
                    new UpstreamConnection(this, upstream, generation, (UpstreamChannel) connected.channel());
            connected.channel().pipeline().addLast(connection);
            connected.channel().config().setAutoRead(true);
            connection.makeAvailable();
            return;
        }
        // Not in a listener of the channel's closure: without a descriptor no channel exists that could be closed.
        descriptorBudget.onUpstreamClosed();
        // Each pending exchange started one connect, but some of them may have taken a connection that became idle.
        upstream.failOneWithoutConnect();
    }

    // ---------------------------------------------------------------- counts and limits

    /** Returns the number of exchanges that are under way or wait for a connection. */
    public int exchangeCount() {
        return connectionsByExchange.size()
                + endpointsById.values().stream()
                        .mapToInt(upstream -> upstream.pendingExchanges.size())
                        .sum();
    }

    /** Returns the number of file descriptors that client and upstream connections hold. */
    public int openDescriptorCount() {
        return descriptorBudget.openSockets();
    }

    MemoryBudget.Reservation newResponseReservation() {
        return responseMemory.newReservation();
    }

    long nowUs() {
        return clock.nowUs();
    }

    long reuseDelayUs() {
        return reuseDelayUs;
    }

    // ---------------------------------------------------------------- idle connections

    /** Closes all connections to an endpoint that carry no exchange; does nothing for an unknown endpoint. */
    public void closeIdleConnections(String endpointId) {
        UpstreamEndpoint upstream = endpointsById.get(endpointId);
        if (upstream != null) {
            upstream.closeUnused(true);
        }
    }

    /** Removes all endpoints. Exchanges that are under way continue; those that wait for a connection are not sent. */
    public void close() {
        List.copyOf(endpointsById.keySet()).forEach(this::remove);
    }

    /** Closes connections idle for half the time that endpoints allow: their close would reset a concurrent request. */
    public void closeExpired() {
        long idleLimitUs = clock.nowUs() - idleTimeoutUs / 2;
        for (UpstreamEndpoint upstream : endpointsById.values()) {
            while (!upstream.idleConnections.isEmpty()
                    && upstream.idleConnections.peekLast().idleSinceUs() < idleLimitUs) {
                upstream.idleConnections.peekLast().close();
            }
        }
    }

    private boolean closeOldestIdle() {
        UpstreamConnection oldest = null;
        for (UpstreamEndpoint upstream : endpointsById.values()) {
            UpstreamConnection last = upstream.idleConnections.peekLast();
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
