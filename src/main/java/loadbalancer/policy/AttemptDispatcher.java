package loadbalancer.policy;

import java.util.HashMap;
import java.util.Map;

import loadbalancer.policy.admission.ConcurrencyLimiter;
import loadbalancer.policy.admission.RequestQueue;
import loadbalancer.policy.discovery.LeaseStatus;
import loadbalancer.policy.health.UnresponsiveAttemptDetector;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.retry.HedgingBudget;
import loadbalancer.policy.retry.RetryRules;
import loadbalancer.policy.statistics.ServiceRate;

/** The pending requests, and the logic that starts their attempts and hedged requests and ends them with a response. */
final class AttemptDispatcher implements RequestQueue.Dispatcher {
    private final LoadBalancerSettings settings;
    private final LoadBalancerActions actions;
    private final LeaseStatus lease;
    private final RetryRules retryRules;
    private final EndpointSelector selector;
    private final ConcurrencyLimiter limiter;
    private final ServiceRate serviceRate;
    private final UnresponsiveAttemptDetector unresponsiveAttempts;
    private final HedgingBudget hedgingBudget = new HedgingBudget();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

    AttemptDispatcher(
            LoadBalancerSettings settings,
            LoadBalancerActions actions,
            LeaseStatus lease,
            RetryRules retryRules,
            EndpointSelector selector,
            ConcurrencyLimiter limiter,
            ServiceRate serviceRate,
            UnresponsiveAttemptDetector unresponsiveAttempts) {
        this.settings = settings;
        this.actions = actions;
        this.lease = lease;
        this.retryRules = retryRules;
        this.selector = selector;
        this.limiter = limiter;
        this.serviceRate = serviceRate;
        this.unresponsiveAttempts = unresponsiveAttempts;
    }

    /** Returns the pending request with this id, or null if there is none. */
    PendingRequest find(long id) {
        return pendingRequests.get(id);
    }

    /** Adds a request that has just arrived. */
    void add(PendingRequest request) {
        pendingRequests.put(request.id(), request);
    }

    @Override
    public boolean mayRetry(PendingRequest request, long nowUs) {
        return lease.isValid(nowUs) && retryRules.mayRetry(request, nowUs);
    }

    /** Returns whether an attempt that has started may still be sent. */
    boolean isSendPermitted(long requestId, int attemptNumber, long nowUs) {
        PendingRequest request = pendingRequests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(attemptNumber);
        return attempt != null && retryRules.isSendPermitted(request, attempt, nowUs);
    }

    @Override
    public Endpoint selectEndpoint(PendingRequest request, long nowUs) {
        return selector.selectEndpoint(request, nowUs);
    }

    @Override
    public void startAttempt(PendingRequest request, Endpoint endpoint, long nowUs) {
        Attempt attempt = request.startAttempt(endpoint, nowUs);
        if (attempt.number() == 0) {
            hedgingBudget.onFirstAttempt();
        }
        unresponsiveAttempts.watch(request, attempt);
        limiter.onAttemptStarted(endpoint);
        serviceRate.onAttemptStarted(nowUs);
        endpoint.setLastAttemptAtUs(nowUs);
        actions.startAttempt(request.id(), endpoint.id(), request.deadlineAtUs());
    }

    /**
     * Handles a request whose attempts have all ended without a success: retries it, queues it if no endpoint may take
     * the retry now, or gives its final response if no retry is permitted.
     *
     * @param failed the endpoint of the attempt that ended last
     */
    void retryOrFinish(PendingRequest request, Endpoint failed, RequestQueue queue, long nowUs) {
        if (!mayRetry(request, nowUs)) {
            rejectOrFail(request);
            return;
        }
        Endpoint next = selector.selectRetryEndpoint(request, failed, nowUs);
        if (next == null) {
            queue.enqueue(request);
        } else {
            startAttempt(request, next, nowUs);
        }
    }

    /**
     * Starts a hedged request beside an unresponsive attempt if the settings, the hedging budget and the retry rules
     * allow one and an endpoint may take it.
     *
     * @param unresponsive the endpoint of the unresponsive attempt
     */
    void hedge(PendingRequest request, Endpoint unresponsive, long nowUs) {
        boolean mayHedge = settings.hedgingEnabled
                && !request.isQueued()
                && hedgingBudget.isAvailable()
                && mayRetry(request, nowUs)
                && request.inFlight() == 1;
        Endpoint next = mayHedge ? selector.selectRetryEndpoint(request, unresponsive, nowUs) : null;
        if (next != null) {
            hedgingBudget.spend();
            startAttempt(request, next, nowUs);
        }
    }

    /** Gives an unsuccessful request its final response: rejects it if the client may safely retry, else fails it. */
    @Override
    public void rejectOrFail(PendingRequest request) {
        if (retryRules.mayReject(request)) {
            actions.reject(request.id(), settings.maxRetryAfterUs);
        } else {
            actions.fail(request.id());
        }
        finish(request);
    }

    /** Marks a request as finished and, if the settings allow cancellation, cancels its attempts in flight. */
    void finish(PendingRequest request) {
        request.finish();
        if (settings.cancellationEnabled) {
            for (int i = 0; i < request.attemptCount(); i++) {
                if (request.attempt(i).isInFlight()) {
                    actions.cancelAttempt(request.id(), i);
                }
            }
        }
        removeIfPossible(request);
    }

    /** Removes a request that is finished and has no attempt in flight. */
    void removeIfPossible(PendingRequest request) {
        if (request.canBeRemoved()) {
            pendingRequests.remove(request.id());
        }
    }
}
