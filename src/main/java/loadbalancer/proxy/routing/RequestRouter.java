package loadbalancer.proxy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;

import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.Request;
import loadbalancer.policy.retry.ExecutedTransactions;
import loadbalancer.proxy.downstream.BadRequestException;
import loadbalancer.proxy.downstream.ClientConnection;
import loadbalancer.proxy.downstream.ClientPresence;
import loadbalancer.proxy.downstream.ClientRequest;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;
import loadbalancer.proxy.protocol.HttpProtocol;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * The requests in flight. Notifies the decision module of requests, disconnects and attempt outcomes, and executes its
 * actions on requests and attempts. Each request gets one final response.
 */
public final class RequestRouter {
    private static final byte[] NO_BODY = {};

    private final EventLoop loop;
    private final Clock clock;
    private final LoadBalancerSettings settings;
    private final UpstreamConnectionPool pool;
    private final PolicyEventQueue events;
    /** Set once, before the first request. */
    private LoadBalancer loadBalancer;

    private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
    /**
     * The requests without a final response, by transaction id. A second request with the id of an open one is refused,
     * because its effect could occur twice.
     */
    private final Map<String, InFlightRequest> openRequests = new HashMap<>();
    /** The ids of earlier requests that must not be executed again. */
    private final ExecutedTransactions executedTransactions;

    private final Attempt.Listener attemptListener = new AttemptListener();
    private long lastRequestId;
    /**
     * The time by which every request must have its response in a graceful shutdown, after which the process is
     * killed; unlimited before the shutdown.
     */
    private long responseDeadlineUs = Long.MAX_VALUE;

    /** Creates a router without requests. {@link #setLoadBalancer} completes it. */
    public RequestRouter(EventLoop loop, Clock clock, LoadBalancerSettings settings, UpstreamConnectionPool pool) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.pool = pool;
        executedTransactions = new ExecutedTransactions(settings);
        events = new PolicyEventQueue(loop, request -> abandon(request, HttpResponseStatus.INTERNAL_SERVER_ERROR));
    }

    /** Sets the decision module that decides on the requests. */
    public void setLoadBalancer(LoadBalancer newLoadBalancer) {
        loadBalancer = newLoadBalancer;
    }

    /** Returns the queue of the events for the decision module. */
    public PolicyEventQueue events() {
        return events;
    }

    /** Returns the number of requests that are open or have attempts whose end the module does not know yet. */
    public int requestCount() {
        return inFlight.size();
    }

    // ---------------------------------------------------------------- requests

    /**
     * Accepts a request, and notifies the decision module of it.
     *
     * @param arrivedAtUs when the last byte of the request was read
     * @throws BadRequestException if its id is that of a request that is open or must not be executed again
     */
    public void accept(ClientConnection client, ClientRequest request, long arrivedAtUs) throws BadRequestException {
        requireForwardable(client, request.transactionId());
        // The deadline counts from the arrival of the request, not from the responses to earlier requests on the same
        // connection.
        long deadlineUs = Math.min(arrivedAtUs + request.remainingUs(), responseDeadlineUs);
        InFlightRequest accepted = new InFlightRequest(++lastRequestId, request, client, deadlineUs);
        openRequests.put(request.transactionId(), accepted);
        inFlight.put(accepted.id, accepted);
        events.add(
                accepted,
                () -> loadBalancer.onRequest(
                        clock.nowUs(),
                        new Request(
                                accepted.id,
                                request.classIndex(),
                                request.tenantIndex(),
                                Math.max(0, accepted.deadlineUs - clock.nowUs()),
                                request.estimatedWorkUs(),
                                request.isRetry(),
                                request.affinityKey())));
    }

    /** Checks that no request with this id is open, and that none may have been executed that must not be repeated. */
    private void requireForwardable(ClientConnection client, String transactionId) throws BadRequestException {
        InFlightRequest open = openRequests.get(transactionId);
        if (open != null && !open.client.presence().hasDisconnected()) {
            throw new BadRequestException(
                    HttpProtocol.TRANSACTION_ID_HEADER, transactionId, "is that of an open request");
        }
        if (open != null) {
            // The event that reports the disconnect is still to come.
            onClientDisconnected(open.client, open.request);
        }
        if (!executedTransactions.mayForward(transactionId, client.presence(), clock.nowUs())) {
            throw new BadRequestException(
                    HttpProtocol.TRANSACTION_ID_HEADER,
                    transactionId,
                    "is that of a request that may have been executed");
        }
    }

    /**
     * Has the id of a request that may have been executed refused from now on.
     *
     * @param respondedTo the client that gets the response, or null if it has left
     */
    private void rememberExecution(InFlightRequest request, ClientPresence respondedTo) {
        if (request.mayHaveBeenExecuted) {
            executedTransactions.record(
                    request.request.transactionId(), request.request.classIndex(), respondedTo, clock.nowUs());
        }
    }

    /** Ends a request whose client has disconnected before the response. */
    public void onClientDisconnected(ClientConnection client, ClientRequest request) {
        InFlightRequest disconnected = openRequests.get(request.transactionId());
        if (disconnected == null || !disconnected.client.equals(client)) {
            // It has ended already, and its id may have come again.
            return;
        }
        endRequest(disconnected);
        rememberExecution(disconnected, null);
        events.add(disconnected, () -> {
            loadBalancer.onClientDisconnected(clock.nowUs(), disconnected.id);
            removeIfCompleted(disconnected);
        });
    }

    /** Forgets the ids that need not be refused any more. */
    public void forgetExpired() {
        executedTransactions.forgetOldest(clock.nowUs());
    }

    /** Sets the time by which every request must have its response, including those that are still to come. */
    public void setResponseDeadline(long newResponseDeadlineUs) {
        responseDeadlineUs = newResponseDeadlineUs;
    }

    /** Fails the requests that still have no final response shortly before the process is killed. */
    public void failInFlight() {
        for (InFlightRequest request : List.copyOf(inFlight.values())) {
            if (!request.isEnded) {
                abandon(request, HttpResponseStatus.GATEWAY_TIMEOUT);
            }
        }
    }

    /** Responds without a decision of the module, and notifies the module that the request has ended. */
    private void abandon(InFlightRequest request, HttpResponseStatus status) {
        respond(request, status, NO_BODY, 0);
        events.add(null, () -> loadBalancer.onClientDisconnected(clock.nowUs(), request.id));
    }

    // ---------------------------------------------------------------- attempts

    private final class AttemptListener implements Attempt.Listener {
        @Override
        public boolean isSendPermitted(Attempt attempt) {
            return loadBalancer.isSendPermitted(clock.nowUs(), attempt.request().id, attempt.number());
        }

        @Override
        public void onAttemptEnded(Attempt attempt, AttemptResult result, byte[] body) {
            RequestRouter.this.onAttemptEnded(attempt, result, body);
        }
    }

    private void onAttemptEnded(Attempt attempt, AttemptResult result, byte[] body) {
        InFlightRequest request = attempt.request();
        EventLog.requestEvent(() -> LogEvent.named("attempt_ended")
                .with("request", request.request.transactionId())
                .with("attempt", attempt.number())
                .with("endpoint", attempt.endpointId())
                .with("result", result)
                .with("after_us", clock.nowUs() - attempt.startedAtUs()));
        request.mayHaveBeenExecuted |= !result.knownNotExecuted;
        if (result == AttemptResult.OK && !request.isEnded) {
            respond(request, HttpResponseStatus.OK, body, 0);
        }
        events.add(request, () -> {
            request.outstandingAttempts--;
            removeIfCompleted(request);
            loadBalancer.onAttemptOutcome(
                    clock.nowUs(),
                    new AttemptOutcome(
                            request.id,
                            attempt.number(),
                            result,
                            clock.nowUs() - attempt.startedAtUs(),
                            request.isEnded,
                            null));
        });
    }

    private void removeIfCompleted(InFlightRequest request) {
        if (request.isEnded && request.outstandingAttempts == 0) {
            inFlight.remove(request.id);
        }
    }

    private void endRequest(InFlightRequest request) {
        request.isEnded = true;
        openRequests.remove(request.request.transactionId());
        request.attempts.forEach(Attempt::cancelIfNotSent);
        request.mayHaveBeenExecuted |= request.attempts.stream().anyMatch(Attempt::isInFlight);
    }

    /** Sends the final response, unless the request has ended. No attempt of the request is sent afterwards. */
    private void respond(InFlightRequest request, HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (request.isEnded) {
            return;
        }
        EventLog.requestEvent(() -> LogEvent.named("response")
                .with("request", request.request.transactionId())
                .with("client", request.client.presence().address())
                .with("status", status.code())
                .with("attempts", request.attempts.size())
                .with("remaining_us", request.deadlineUs - clock.nowUs())
                .with("retry_after_us", retryAfterUs));
        endRequest(request);
        rememberExecution(request, request.client.presence());
        request.client.respond(status, body, retryAfterUs);
        removeIfCompleted(request);
    }

    // ---------------------------------------------------------------- actions of the module

    /** Starts an attempt, as {@link loadbalancer.policy.LoadBalancerActions#startAttempt} says. */
    public void startAttempt(long requestId, String endpointId, long deadlineUs) {
        InFlightRequest request = inFlight.get(requestId);
        // The deadline of the request applies if the module sets none.
        long attemptDeadlineUs = deadlineUs == 0 ? request.deadlineUs : Math.min(deadlineUs, request.deadlineUs);
        Attempt attempt = new Attempt(request, endpointId, attemptDeadlineUs, settings, pool, clock, attemptListener);
        request.attempts.add(attempt);
        EventLog.requestEvent(() -> LogEvent.named("attempt_started")
                .with("request", request.request.transactionId())
                .with("client", request.client.presence().address())
                .with("attempt", attempt.number())
                .with("endpoint", endpointId)
                .with("remaining_us", attemptDeadlineUs - attempt.startedAtUs()));
        attempt.start(loop);
    }

    /** Cancels an attempt, as {@link loadbalancer.policy.LoadBalancerActions#cancelAttempt} says. */
    public void cancelAttempt(long requestId, int attemptNumber) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            request.attempts.get(attemptNumber).cancel();
        }
    }

    /** Rejects a request, as {@link loadbalancer.policy.LoadBalancerActions#reject} says. */
    public void reject(long requestId, long retryAfterUs) {
        finish(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs);
    }

    /** Fails a request, as {@link loadbalancer.policy.LoadBalancerActions#fail} says. */
    public void fail(long requestId) {
        finish(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void finish(long requestId, HttpResponseStatus status, long retryAfterUs) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            respond(request, status, NO_BODY, retryAfterUs);
        }
    }
}
