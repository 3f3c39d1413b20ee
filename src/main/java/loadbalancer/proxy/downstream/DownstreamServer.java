package loadbalancer.proxy.downstream;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;

import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.DescriptorBudget;
import loadbalancer.proxy.resources.HeapBuffers;
import loadbalancer.proxy.resources.HeapReadAllocator;
import loadbalancer.proxy.resources.MemoryBudget;

/** The HTTP server for clients. Accepts and tracks their connections, and closes them in a graceful shutdown. */
public final class DownstreamServer {
    /** The maximum number of reads from one connection before the event loop continues with other connections. */
    private static final int MAX_READS_PER_ITERATION = 16;

    /** The maximum number of requests that are begun to be served before the event loop reads further input. */
    private static final int MAX_REQUESTS_PER_ITERATION = 64;

    private final EventLoopGroup loop;
    private final Clock clock;
    private final ClientRequestParser parser;
    private final DescriptorBudget descriptors;
    private final ChannelFactory<ClientListener> listenerFactory;
    private final ClientRequestHandler handler;
    private final ClientConnectionRegistry connections;
    private final IterationBudget decodingBudget;
    private final IterationBudget servingBudget;
    private final MemoryBudget requestMemory;
    private final MemoryBudget responseMemory;

    private ClientListener listener;
    private ServerPhase phase = ServerPhase.SERVING;
    private Runnable whenClosed = () -> {};

    /**
     * Creates a server that does not listen yet.
     *
     * @param descriptors the budget in which the server counts client connections
     * @param requestMemory the budget for requests, from which the server reclaims memory by rejecting requests
     * @param responseMemory the budget for responses, from which the server reclaims memory by closing connections whose
     *     clients do not read them
     */
    public DownstreamServer(
            EventLoopGroup loop,
            Clock clock,
            ClientRequestParser parser,
            DescriptorBudget descriptors,
            MemoryBudget requestMemory,
            MemoryBudget responseMemory,
            ChannelFactory<ClientListener> listenerFactory,
            ClientRequestHandler handler) {
        this.loop = loop;
        this.clock = clock;
        this.parser = parser;
        this.descriptors = descriptors;
        this.listenerFactory = listenerFactory;
        this.handler = handler;
        this.requestMemory = requestMemory;
        this.responseMemory = responseMemory;
        connections = new ClientConnectionRegistry(descriptors);
        decodingBudget = new IterationBudget(loop, ClientRequestDecoder.MAX_ITERATION_COST);
        servingBudget = new IterationBudget(loop, MAX_REQUESTS_PER_ITERATION);
        requestMemory.setReclaimer(connections::rejectLargestInput);
        responseMemory.setReclaimer(connections::closeSlowestReader);
    }

    /** Opens the listener. The returned future fails if the address is in use or no descriptor is left. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture opening = new ServerBootstrap()
                .group(loop)
                .channelFactory(listenerFactory)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ClientListener.MAX_BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator()
                                .maxMessagesPerRead(ConnectionLimits.MAX_ACCEPTS_PER_ITERATION))
                // Reads until the socket is empty, so that a disconnect is detected before a request is served.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new HeapReadAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_ITERATION))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new AcceptErrorHandler())
                .childHandler(new ChannelInitializer<ClientChannel>() {
                    @Override
                    protected void initChannel(ClientChannel channel) {
                        onAccepted(channel);
                    }
                })
                .bind(address);
        // If no descriptor is left, the channel of the failed future has another type.
        if (opening.channel() instanceof ClientListener opened) {
            listener = opened;
        }
        return opening;
    }

    private void onAccepted(ClientChannel channel) {
        descriptors.onClientOpened();
        channel.closeFuture().addListener(done -> descriptors.onClientClosed());
        if (!descriptors.hasCapacityForClient() && !connections.evictOne()) {
            // No connection can be evicted, and the remaining descriptors are reserved for upstream connections.
            channel.close();
            return;
        }
        ClientConnection connection = new ClientConnection(this, clock, parser, handler, channel);
        connections.add(connection);
        connection.addHandlersTo(channel.pipeline());
    }

    /** Returns the budget for decoding the input of all connections. */
    IterationBudget decodingBudget() {
        return decodingBudget;
    }

    /** Returns the budget for serving requests, which counts them. */
    IterationBudget servingBudget() {
        return servingBudget;
    }

    /** Creates the reservations of a new connection. */
    ClientConnectionMemory newMemory(ClientRequestReader reader, RequestPipeline pipeline) {
        return new ClientConnectionMemory(
                reader, pipeline, requestMemory.newReservation(), responseMemory.newReservation());
    }

    /** Called by a connection that receives a request while it serves none. */
    void onRequest(ClientConnection connection) {
        connections.onRequest(connection);
    }

    /** Called by a connection when the responses to all its received requests have been written. */
    void onResponseWritten(ClientConnection connection) {
        connections.onResponseWritten(connection);
    }

    /** Called by a connection when it has closed. */
    void onClosed(ClientConnection connection) {
        connections.onClosed(connection);
        notifyIfClosed();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the connections whose clients have exceeded a timeout. */
    public void closeExpired() {
        connections.all().forEach(ClientConnection::closeIfTimedOut);
    }

    /** Returns whether a graceful shutdown has begun. */
    public boolean isDraining() {
        return phase != ServerPhase.SERVING;
    }

    /** Returns whether connections close with their next response. */
    boolean isClosing() {
        return phase == ServerPhase.CLOSING;
    }

    /**
     * Begins a graceful shutdown. For a short time, the server still accepts connections, because clients may still be
     * directed to it. Open connections are served normally until the serving time is over. Then connections without a
     * request close at once, and the other connections close with their next response.
     *
     * @param servingTimeUs the time from now during which connections are served normally, in microseconds
     * @param whenClosed called once no connection is open and no further connection will be accepted
     */
    public void drain(long servingTimeUs, Runnable whenClosed) {
        phase = phase.onShutdownRequested();
        this.whenClosed = whenClosed;
        if (listener == null || !listener.isOpen()) {
            // The server does not listen, so no connection has been accepted and none will be.
            phase = phase.onServingTimeOver();
            whenClosed.run();
            return;
        }
        loop.schedule(this::stopListening, ConnectionLimits.ACCEPT_AFTER_SHUTDOWN_MS, TimeUnit.MILLISECONDS);
        loop.schedule(this::beginClosing, servingTimeUs, TimeUnit.MICROSECONDS);
    }

    /** Accepts the connections of the backlog, then closes the listener. */
    private void stopListening() {
        if (listener.isOpen()) {
            listener.acceptBacklog();
            listener.close();
        }
    }

    /**
     * Closes the connections without a request. Requests that have arrived, even in part, are still served, and their
     * responses close the connections.
     */
    private void beginClosing() {
        stopListening();
        phase = phase.onServingTimeOver();
        connections.all().forEach(connection -> connection.closeIfUnused(CloseReason.GRACEFUL_SHUTDOWN));
        notifyIfClosed();
    }

    /** Closes the listener and all connections immediately. */
    public void close() {
        listener.close();
        connections.all().forEach(connection -> connection.close(CloseReason.SHUTDOWN));
    }

    private void notifyIfClosed() {
        if (isClosing() && connections.size() == 0) {
            whenClosed.run();
        }
    }
}
