package loadbalancer.proxy.upstream;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;

import loadbalancer.policy.AttemptResult;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;

/**
 * A connection to an endpoint. It carries one exchange at a time.
 *
 * <p>An exchange that is not abandoned always completes in {@link #completeExchange}. The connection enters the state
 * CLOSED before it closes its channel, and ignores all messages in that state. The decoder may emit the end of a
 * response when the channel closes, and this must not complete an exchange: a body without a length is complete only if
 * the endpoint has shut down its output.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** The states of a connection. */
    private enum State {
        /** Open and available for an exchange. */
        IDLE,
        /** Carries an exchange. */
        ACTIVE,
        /** The response is complete, but input that arrived with it may still be unread. */
        RESPONSE_RECEIVED,
        /** Waits for the reuse delay, so that a surplus response is not taken for the response to the next request. */
        REUSE_DELAYED,
        /** Closed, or about to be closed. */
        CLOSED
    }

    private static final byte[] NO_BODY = {};

    private final UpstreamConnectionPool pool;
    private final UpstreamEndpoint upstream;
    /** The endpoint's generation when the connect began. */
    private final int generation;

    private final UpstreamChannel channel;
    private final UpstreamResponseDecoder decoder;
    private final UpstreamResponseAssembler assembler;
    private State state = State.IDLE;
    private UpstreamExchange exchange;

    private long idleSinceUs;

    UpstreamConnection(
            UpstreamConnectionPool pool, UpstreamEndpoint upstream, int generation, UpstreamChannel channel) {
        this.pool = pool;
        this.upstream = upstream;
        this.generation = generation;
        this.channel = channel;
        decoder = channel.pipeline().get(UpstreamResponseDecoder.class);
        assembler = new UpstreamResponseAssembler(pool.newResponseReservation());
    }

    private void transitionTo(State next, State... from) {
        for (State allowed : from) {
            if (state == allowed) {
                state = next;
                return;
            }
        }
        throw new IllegalStateException(
                "illegal transition of connection to endpoint " + upstream.id + " from " + state + " to " + next);
    }

    /** Returns whether the connection is open, leads to the endpoint's current process, and the endpoint is ready. */
    boolean isUsable() {
        return channel.isActive() && upstream.isReady() && generation == upstream.generation();
    }

    /**
     * Returns whether the connection is open and nothing has arrived on it since the last response, so that what arrives
     * from now on belongs to the next exchange. Only allowed between two exchanges; if it returns false, the caller has
     * to close the connection.
     */
    boolean isEmpty() {
        return !decoder.hasSurplusInput() && channel.hasNoUnreadInput();
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    // ---------------------------------------------------------------- requests

    /**
     * Makes this connection available: starts the next pending exchange on it, or adds it to the idle connections.
     * Closes the connection if it cannot be used.
     */
    void makeAvailable() {
        if (!isUsable() || !isEmpty()) {
            close();
            // The exchange for which this connection was opened may still wait, for example because the endpoint's
            // address changed during the connect.
            if (upstream.isReady()) {
                upstream.failOneWithoutConnect();
            }
            return;
        }
        transitionTo(State.IDLE, State.IDLE, State.RESPONSE_RECEIVED, State.REUSE_DELAYED);
        idleSinceUs = pool.nowUs();
        upstream.idleConnections.push(this);
        UpstreamExchange next;
        while ((next = upstream.pendingExchanges.poll()) != null) {
            if (pool.isSendAllowed(next)) {
                send(next);
                return;
            }
            next.onCompleted(AttemptResult.NOT_SENT, NO_BODY);
        }
    }

    /** Starts an exchange on this idle connection and writes its request. */
    void send(UpstreamExchange next) {
        // The request is created first, so that an exception in its creation leaves the connection idle.
        FullHttpRequest message = next.createRequest();
        upstream.idleConnections.remove(this);
        transitionTo(State.ACTIVE, State.IDLE);
        exchange = next;
        assembler.start();
        pool.onExchangeStarted(this, next);
        decoder.expectResponse();
        channel.startMessage(() -> next.isActive() && next.isSendPermitted());
        channel.writeAndFlush(message).addListener(done -> {
            if (!done.isSuccess() && exchange == next) {
                onWriteFailed(done.cause());
            }
        });
    }

    private void onWriteFailed(Throwable cause) {
        if (cause instanceof WriteNotPermittedException) {
            // The endpoint does not execute a request whose last byte it has not received.
            close();
            completeExchange(AttemptResult.NOT_SENT, NO_BODY);
        } else {
            fail("write of the request failed");
        }
    }

    /** Returns whether the whole request is written, so that the endpoint may be executing it. */
    boolean isRequestFullyWritten() {
        return channel.isFullyWritten();
    }

    /**
     * Completes the exchange as not sent if the endpoint must not get requests any more and no byte of the request is
     * written yet, as happens with a full send buffer.
     */
    void withdrawUnsent() {
        boolean isSendAllowed = pool.isLeaseHeld() && upstream.isReady();
        if (!isSendAllowed && state == State.ACTIVE && !channel.isPartlyWritten()) {
            close();
            completeExchange(AttemptResult.NOT_SENT, NO_BODY);
        }
    }

    /** Closes the connection without completing its exchange, which the caller has given up. */
    void abandon() {
        exchange = null;
        close();
    }

    void close() {
        transitionTo(State.CLOSED, State.values());
        assembler.discard();
        upstream.idleConnections.remove(this);
        upstream.reuseDelayedConnections.remove(this);
        channel.close();
    }

    // ---------------------------------------------------------------- responses

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (state != State.CLOSED) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message instanceof HttpResponse head
                && !UpstreamResponse.isInformational(head)
                && !channel.isFullyWritten()) {
            // An endpoint starts to execute a request only after its last byte, which it does not get any more.
            close();
            completeExchange(
                    UpstreamResponse.isRejected(head) ? AttemptResult.REJECTED : AttemptResult.CONNECT_FAILED, NO_BODY);
            return;
        }
        try {
            if (assembler.add(message)) {
                onResponseComplete(assembler.response());
            }
        } catch (InvalidResponseException e) {
            fail(e.getMessage());
        }
    }

    private void onResponseComplete(UpstreamResponse response) {
        AttemptResult result = response.result();
        byte[] body = result == AttemptResult.OK ? response.body() : NO_BODY;
        if (response.allowsConnectionReuse()) {
            transitionTo(State.RESPONSE_RECEIVED, State.ACTIVE);
            assembler.discard();
        } else {
            close();
        }
        completeExchange(result, body);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        // The connection is reused only after all available input is read and the reuse delay is over, so that surplus
        // input after the response is not taken for the response to the next request.
        if (state != State.CLOSED && decoder.hasSurplusInput()) {
            fail("input that belongs to no exchange");
        } else if (state == State.RESPONSE_RECEIVED) {
            delayReuse();
        }
    }

    private void delayReuse() {
        if (pool.reuseDelayUs() == 0) {
            makeAvailable();
            return;
        }
        transitionTo(State.REUSE_DELAYED, State.RESPONSE_RECEIVED);
        upstream.reuseDelayedConnections.add(this);
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (upstream.reuseDelayedConnections.remove(this)) {
                                makeAvailable();
                            }
                        },
                        pool.reuseDelayUs(),
                        TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- completion and failures

    /**
     * Closes the connection and fails its exchange. The endpoint may have executed the request only if the request was
     * fully written.
     */
    private void fail(String reason) {
        EventLog.requestEvent(() -> LogEvent.named("upstream_connection_closed")
                .with("endpoint", upstream.id)
                .with("state", state)
                .with("reason", reason));
        AttemptResult result = channel.isFullyWritten() ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED;
        close();
        completeExchange(result, NO_BODY);
    }

    private void completeExchange(AttemptResult result, byte[] body) {
        UpstreamExchange ended = exchange;
        exchange = null;
        if (ended != null) {
            pool.onExchangeEnded(ended);
            ended.onCompleted(result, body);
        }
    }

    /**
     * Closes the connection when the endpoint has shut down its output. If this completes a body without a length, the
     * decoder has already emitted the end of the response.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && state != State.CLOSED) {
            fail("endpoint shut down its output");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (state != State.CLOSED) {
            fail("connection closed by the endpoint");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            EventLog.error("unexpected exception on the connection to endpoint " + upstream.id, cause);
        }
        if (state != State.CLOSED) {
            fail("connection failed: " + cause.getMessage());
        }
    }
}
