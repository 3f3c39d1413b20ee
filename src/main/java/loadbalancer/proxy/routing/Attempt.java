package loadbalancer.proxy.routing;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.proxy.downstream.ClientRequest;
import loadbalancer.proxy.protocol.HttpProtocol;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import loadbalancer.proxy.upstream.UpstreamExchange;

/** An attempt: a request sent to one endpoint. */
public final class Attempt implements UpstreamExchange {
    private static final byte[] NO_BODY = {};

    /** Receives the result of an attempt, and decides whether it may be sent. */
    public interface Listener {
        /** Returns whether the attempt may be sent now, although it may have waited since its start. */
        boolean isSendPermitted(Attempt attempt);

        /**
         * Handles the end of an attempt. Called once for each attempt.
         *
         * @param body the body of the endpoint's response if the result is OK, otherwise empty
         */
        void onAttemptEnded(Attempt attempt, AttemptResult result, byte[] body);
    }

    private final InFlightRequest request;
    private final int number;
    private final String endpointId;
    private final long deadlineUs;
    private final long startedAtUs;
    private final LoadBalancerSettings settings;
    private final UpstreamConnectionPool pool;
    private final Clock clock;
    private final Listener listener;
    private Future<?> expiry;
    private boolean isCompleted;

    /**
     * Creates an attempt that {@link #start} sends. Its number is the number of earlier attempts of the request.
     *
     * @param deadlineUs the time at which the attempt times out, no later than the deadline of the request
     */
    public Attempt(
            InFlightRequest request,
            String endpointId,
            long deadlineUs,
            LoadBalancerSettings settings,
            UpstreamConnectionPool pool,
            Clock clock,
            Listener listener) {
        this.request = request;
        this.number = request.attempts.size();
        this.endpointId = endpointId;
        this.deadlineUs = deadlineUs;
        this.settings = settings;
        this.pool = pool;
        this.clock = clock;
        this.listener = listener;
        startedAtUs = clock.nowUs();
    }

    public InFlightRequest request() {
        return request;
    }

    public int number() {
        return number;
    }

    public String endpointId() {
        return endpointId;
    }

    public long startedAtUs() {
        return startedAtUs;
    }

    @Override
    public FullHttpRequest createRequest() {
        ClientRequest clientRequest = request.request;
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                clientRequest.method(),
                clientRequest.uri(),
                Unpooled.wrappedBuffer(clientRequest.body()));
        message.headers()
                .set(HttpHeaderNames.HOST, "backend.local")
                .set(HttpProtocol.TRANSACTION_ID_HEADER, clientRequest.transactionId())
                .set(
                        HttpProtocol.REQUEST_CLASS_HEADER,
                        settings.classes.get(clientRequest.classIndex()).name())
                .set(
                        HttpProtocol.REMAINING_TIME_HEADER,
                        Math.max(1, deadlineUs - clock.nowUs()) + HttpProtocol.REMAINING_TIME_MICROSECONDS_UNIT);
        if (clientRequest.idempotencyKey() != null) {
            message.headers().set(HttpProtocol.IDEMPOTENCY_KEY_HEADER, clientRequest.idempotencyKey());
        }
        // A body without its length would be a further request to the endpoint.
        if (clientRequest.body().length > 0 || !clientRequest.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, clientRequest.body().length);
        }
        return message;
    }

    /**
     * {@inheritDoc} Returns false once the request has its response, or unless its client is certainly connected, even
     * if the decision module has not been notified of that yet.
     */
    @Override
    public boolean isActive() {
        return !request.isEnded
                && clock.nowUs() < deadlineUs
                && request.client.presence().isConnected();
    }

    @Override
    public boolean isSendPermitted() {
        return listener.isSendPermitted(this);
    }

    /** Sends the attempt, unless its deadline has passed or the request has reached its maximum number of attempts. */
    public void start(EventLoop loop) {
        request.outstandingAttempts++;
        if (deadlineUs <= startedAtUs || number >= settings.maxAttempts) {
            onCompleted(AttemptResult.NOT_SENT, NO_BODY);
            return;
        }
        expiry = loop.schedule(this::expire, deadlineUs - startedAtUs, TimeUnit.MICROSECONDS);
        pool.start(endpointId, this);
    }

    private void expire() {
        // An attempt that was not sent for lack of a connection was certainly not executed.
        onCompleted(pool.abandon(endpointId, this) ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, NO_BODY);
    }

    /** Returns whether the attempt has been started and has not ended. */
    public boolean isInFlight() {
        return !isCompleted;
    }

    /** Cancels the attempt because its request has ended, unless its message has been written completely. */
    public void cancelIfNotSent() {
        if (!isCompleted && pool.withdraw(endpointId, this)) {
            onCompleted(AttemptResult.NOT_SENT, NO_BODY);
        }
    }

    /** Cancels the attempt, unless it has completed. */
    public void cancel() {
        if (!isCompleted) {
            pool.abandon(endpointId, this);
            onCompleted(AttemptResult.CANCELLED, NO_BODY);
        }
    }

    @Override
    public void onCompleted(AttemptResult result, byte[] body) {
        if (isCompleted) {
            return;
        }
        isCompleted = true;
        if (expiry != null) {
            expiry.cancel(false);
        }
        listener.onAttemptEnded(this, result, body);
    }
}
