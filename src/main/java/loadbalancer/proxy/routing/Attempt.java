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
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import loadbalancer.proxy.upstream.UpstreamExchange;

/** One attempt of a request at one server. */
public final class Attempt implements UpstreamExchange {
    private static final byte[] NO_BODY = {};

    /** What becomes of an attempt. */
    public interface Listener {
        /** Its one end. */
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

    public Attempt(
            InFlightRequest of,
            String serverId,
            long untilUs,
            LoadBalancerSettings settings,
            UpstreamConnectionPool pool,
            Clock clock,
            Listener listener) {
        this.request = of;
        this.number = of.attempts.size();
        this.endpointId = serverId;
        this.deadlineUs = untilUs;
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
                .set("X-Txn", clientRequest.transactionId())
                .set("X-Lane", settings.classes.get(clientRequest.classIndex()).name())
                .set("X-Remaining", Math.max(1, deadlineUs - clock.nowUs()) + "u");
        if (clientRequest.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", clientRequest.idempotencyKey());
        }
        if (!clientRequest.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, clientRequest.body().length);
        }
        return message;
    }

    /** Not if it is answered or its client has left, whether the module has been notified of that or not. */
    @Override
    public boolean isActive() {
        return !request.isEnded && clock.nowUs() < deadlineUs && request.client.isConnected();
    }

    /** Sends it, unless it may not be sent at all. */
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
        // What never left for want of a connection is known not to have run.
        onCompleted(pool.abandon(endpointId, this) ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, NO_BODY);
    }

    /** The request is over: what has not been sent whole must not run any more. */
    public void cancelIfNotSent() {
        if (!isCompleted && pool.withdraw(endpointId, this)) {
            onCompleted(AttemptResult.NOT_SENT, NO_BODY);
        }
    }

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
