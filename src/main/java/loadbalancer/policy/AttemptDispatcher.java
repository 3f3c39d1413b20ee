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
import loadbalancer.policy.retry.RetryBudget;
import loadbalancer.policy.retry.RetryRules;
import loadbalancer.policy.statistics.ServiceRate;

/** The table of pending requests: starts their attempts, retries and hedged requests, and gives their final response. */
final class AttemptDispatcher implements RequestQueue.Dispatcher {
    private final LoadBalancerSettings settings;
    private final LoadBalancerActions actions;
    private final LeaseStatus lease;
    private final RetryRules retryRules;
    private final EndpointSelector selector;
    private final ConcurrencyLimiter limiter;
    private final ServiceRate serviceRate;
    private final UnresponsiveAttemptDetector unresponsiveAttempts;
    private final RetryBudget hedgingBudget = new RetryBudget();
    private final Map<Long, PendingRequest> requests = new HashMap<>();

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

    /** The pending request of an id, or null. */
    PendingRequest find(long id) {
        return requests.get(id);
    }

    /** Adds a request that has just arrived. */
    void add(PendingRequest request) {
        requests.put(request.id(), request);
    }

    @Override
    public boolean mayRetry(PendingRequest request, long nowUs) {
        return lease.isHeld(nowUs) && retryRules.mayRetry(request, nowUs);
    }

    @Override
    public Endpoint selectEndpoint(PendingRequest request, long nowUs) {
        return selector.selectFirstEndpoint(request, nowUs);
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

    /** Retries a request whose attempts have all ended, has it wait for an endpoint, or gives its final response. */
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

    /** Sends a hedged request beside an unresponsive attempt, if settings and budget allow one. */
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

    /** Gives the final response without a success: a rejection wherever that is known to be safe. */
    @Override
    public void rejectOrFail(PendingRequest request) {
        if (retryRules.mayReject(request)) {
            actions.reject(request.id(), settings.maxRetryAfterUs);
        } else {
            actions.fail(request.id());
        }
        finish(request);
    }

    /** Nothing more is to be done for a request: cancels its attempts in flight. */
    void finish(PendingRequest request) {
        request.finish();
        if (settings.cancellationEnabled) {
            for (int i = 0; i < request.attemptCount(); i++) {
                if (request.attempt(i).isInFlight()) {
                    actions.cancelAttempt(request.id(), i);
                }
            }
        }
        forgetIfDone(request);
    }

    /** Forgets a request that is finished and has no attempt in flight. */
    void forgetIfDone(PendingRequest request) {
        if (request.isDone()) {
            requests.remove(request.id());
        }
    }
}
