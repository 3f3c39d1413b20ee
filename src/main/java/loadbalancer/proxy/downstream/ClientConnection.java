package loadbalancer.proxy.downstream;

import java.io.IOException;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;

import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.resources.Clock;

/**
 * A connection of a client. It serves one request at a time, and pipelined requests in order. After an invalid
 * request, the proxy responds, discards all further bytes and closes the connection.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final byte[] EMPTY_BODY = {};

    private final DownstreamServer server;
    private final ClientRequestHandler handler;
    private final ClientChannel channel;
    private final ClientConnectionLog log;
    private final ClientTimeouts timeouts;
    private final ClientRequestReader reader;
    private final RequestPipeline pipeline = new RequestPipeline();
    private final UnansweredInput unanswered;
    private final ClientConnectionMemory memory;
    private final ClientPresence presence;
    private ClientConnectionPhase phase = ClientConnectionPhase.IDLE;
    /** The request that the handler has accepted and not yet responded to, or null. */
    private ClientRequest openRequest;
    /** Whether the connection closes with the next response behind which nothing else awaits one. */
    private boolean closesWhenUnused;

    ClientConnection(
            DownstreamServer server,
            Clock clock,
            ClientRequestParser parser,
            ClientRequestHandler handler,
            ClientChannel channel) {
        this.server = server;
        this.handler = handler;
        this.channel = channel;
        timeouts = new ClientTimeouts(clock);
        reader = new ClientRequestReader(this, channel, parser, clock, server.decodingBudget());
        unanswered = new UnansweredInput(channel, reader, pipeline);
        memory = server.newMemory(reader, pipeline);
        presence = new ClientPresence(channel, reader.readAhead());
        log = new ClientConnectionLog(presence.address());
    }

    /**
     * Adds the handlers of this connection. They replace Netty's HttpServerCodec, which would close a connection with
     * 128 pipelined requests.
     */
    void addHandlersTo(ChannelPipeline handlers) {
        handlers.addLast(reader.inputFilter(), reader.decoder(), new HttpResponseEncoder(), this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            reader.read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Sends 100 Continue for a request whose head has arrived, if the request would be served immediately. */
    void onContinueExpected() {
        if (!phase.isServing() && pipeline.isEmpty()) {
            channel.writeAndFlush(ClientResponses.continueResponse());
        }
    }

    /** Queues a request to be served, and pauses decoding while too many are queued. */
    void onRequestReceived(ReceivedRequest request) {
        boolean isFirst = pipeline.isEmpty();
        pipeline.add(request);
        if (!phase.isServing() && isFirst) {
            server.onRequest(this);
            // Requests are served only after the event loop has read all connections. Otherwise, the proxy would
            // serve clients that have already disconnected. Each of these requests would take upstream capacity,
            // and an overloaded proxy would not recover.
            server.servingBudget().execute(this::serveNext);
            return;
        }
        if (pipeline.isOverLimit()) {
            reader.pause();
        }
    }

    private void serveNext() {
        if (phase != ClientConnectionPhase.IDLE || !channel.isActive()) {
            return;
        }
        ReceivedRequest next = pipeline.poll();
        if (next == null) {
            return;
        }
        phase = phase.onRequest();
        server.servingBudget().spend(1);
        if (!pipeline.isOverLimit()) {
            reader.resume();
        }
        if (!next.isKeepAlive()) {
            phase = phase.withoutFurtherRequests();
        }
        if (next.rejection() == null && reader.readAhead().isFull()) {
            // The request would not be forwarded, because the client may have disconnected behind what is not read yet.
            log.refused(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much unread input");
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, EMPTY_BODY, 0);
        } else if (next.rejection() == null) {
            serve(next);
        } else {
            reject(next.rejection());
        }
        onInputMemoryChanged();
    }

    private void serve(ReceivedRequest next) {
        ClientRequest request = next.request();
        try {
            if (request == null) {
                respondToReadinessCheck();
            } else {
                handler.onRequest(this, request, next.arrivedAtUs());
                openRequest = request;
            }
        } catch (BadRequestException e) {
            log.refused(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            // The request is complete, so that those behind it can be served.
            respond(HttpResponseStatus.BAD_REQUEST, ClientResponses.reasonOf(e, request.method()), 0);
        } catch (RuntimeException e) {
            // An unexpected exception must not leave the client without a response.
            EventLog.error("failed to serve request " + (request == null ? "" : request.uri()), e);
            if (openRequest == null) {
                respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, EMPTY_BODY, 0);
            }
        }
    }

    /** Responds to a readiness check. While draining, the connection need not stay open for a second check. */
    private void respondToReadinessCheck() {
        closesWhenUnused |= server.isDraining();
        boolean isReady = handler.isReady() && !server.isDraining();
        respond(isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, EMPTY_BODY, 0);
    }

    /** Responds to a request that is not served, and closes the connection if the rejection says so. */
    private void reject(RequestRejection rejection) {
        log.refused(rejection.status(), rejection.cause());
        if (rejection.closesConnection()) {
            phase = phase.withoutFurtherRequests();
            pipeline.clear();
            reader.close();
        }
        respond(rejection.status(), rejection.reason(), 0);
    }

    /**
     * Sends the final response to the request that is being served. Must be called once for each request.
     *
     * @param content the body, which may be empty
     * @param retryAfterUs the time for the Retry-After header in microseconds, or 0 to omit the header
     */
    public void respond(HttpResponseStatus status, byte[] content, long retryAfterUs) {
        openRequest = null;
        timeouts.restart();
        onInputMemoryChanged();
        memory.reserveResponse(content.length);
        FullHttpResponse response = ClientResponses.finalResponse(status, content, retryAfterUs);
        closesWhenUnused |= server.isClosing();
        if (closesWhenUnused) {
            channel.readNow();
        }
        // Requests that have arrived before the connection closes get a response; the last response closes it.
        if (!phase.isKeepAlive() || (closesWhenUnused && !unanswered.isRead())) {
            phase = phase.withoutFurtherRequests();
            // Reading stops before the response is written, because a request read meanwhile would need a response.
            reader.detectCloseOnly();
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(response).addListener(written -> onResponseWritten(written.isSuccess()));
    }

    /**
     * Serves the next pipelined request or closes the connection. The next request is served only after the response
     * has been written, because a client may send requests and never read a response.
     */
    private void onResponseWritten(boolean isSuccess) {
        memory.releaseResponse();
        phase = phase.onResponseWritten();
        timeouts.restart();
        if (pipeline.isEmpty()) {
            server.onResponseWritten(this);
        }
        if (!isSuccess) {
            close(CloseReason.WRITE_FAILED);
        } else if (!phase.isKeepAlive()) {
            closeGracefully(CloseReason.LAST_RESPONSE_WRITTEN);
            return;
        }
        reader.rejectIfTimedOut();
        if (!pipeline.isEmpty()) {
            server.servingBudget().execute(this::serveNext);
        }
    }

    /** Rejects an overdue partial request. Closes the connection if the client has exceeded another timeout. */
    void closeIfTimedOut() {
        reader.rejectIfTimedOut();
        boolean hasReceivedRequest = reader.hasReceivedRequest();
        if (phase.isServing() && openRequest == null && timeouts.isWriteTimeoutExceeded()) {
            close(CloseReason.WRITE_TIMEOUT);
        } else if (!reader.isClosed() && timeouts.isIdleTimeoutExceeded(hasReceivedRequest)) {
            closeIfUnused(hasReceivedRequest ? CloseReason.KEEP_ALIVE_TIMEOUT : CloseReason.READ_TIMEOUT);
        }
    }

    /** Called after the reader has read or rejected bytes, which changes how much memory they take up. */
    void onInputMemoryChanged() {
        memory.update(channel.isActive(), openRequest);
    }

    ClientConnectionMemory memory() {
        return memory;
    }

    ClientTimeouts timeouts() {
        return timeouts;
    }

    /** Returns whether a request has arrived in part, and only further input of the client can complete it. */
    boolean hasStalledRequest() {
        return unanswered.isStalled();
    }

    /** Closes the connection unless anything that has arrived still awaits its response. Returns whether it is closed. */
    boolean closeIfUnused(CloseReason reason) {
        if (phase.isServing() || unanswered.hasArrived()) {
            return false;
        }
        if (reason == CloseReason.KEEP_ALIVE_TIMEOUT || reason == CloseReason.GRACEFUL_SHUTDOWN) {
            closeGracefully(reason);
        } else {
            close(reason);
        }
        return true;
    }

    /** Further bytes are left unread, so that the client knows that they had no effect, or discarded after an error. */
    private void closeGracefully(CloseReason reason) {
        log.closed(reason.toString(), openRequest);
        phase = phase.withoutFurtherRequests();
        reader.detectCloseOnly();
        reader.close();
        channel.closeGracefully();
    }

    void close(CloseReason reason) {
        log.closed(reason.toString(), openRequest);
        channel.close();
    }

    /** Returns whether the client is connected, in an object that does not keep this connection in memory. */
    public ClientPresence presence() {
        return presence;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        log.closed(CloseReason.CLIENT_DISCONNECTED.toString(), openRequest);
        phase = phase.withoutFurtherRequests();
        reader.close();
        pipeline.clear();
        presence.onClosed();
        onInputMemoryChanged();
        server.onClosed(this);
        if (openRequest != null) {
            handler.onClientDisconnected(this, openRequest);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            EventLog.error("unexpected error on a client connection", cause);
        }
        log.closed(CloseReason.CONNECTION_FAILED + ": " + cause.getMessage(), openRequest);
        channel.close();
    }
}
