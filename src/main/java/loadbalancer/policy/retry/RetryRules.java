package loadbalancer.policy.retry;

import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;

/** Decides which further attempts and final responses the idempotency of a request permits. */
public final class RetryRules {
    private final LoadBalancerSettings settings;

    /** Creates rules that follow the attempt limit of these settings. */
    public RetryRules(LoadBalancerSettings settings) {
        this.settings = settings;
    }

    /** Returns whether the request may have another attempt, regardless of the endpoint. */
    public boolean mayRetry(PendingRequest request, long nowUs) {
        if (request.attemptCount() >= settings.maxAttempts
                || nowUs >= request.deadlineAtUs()
                || request.isStreaming()) {
            return false;
        }
        Attempt possiblyExecuted = request.firstPossiblyExecutedAttempt();
        RequestClass requestClass = request.requestClass();
        return possiblyExecuted == null
                || switch (requestClass.idempotency()) {
                    case IDEMPOTENT -> true;
                    case IDEMPOTENCY_KEY ->
                        nowUs <= possiblyExecuted.startedAtUs() + requestClass.deduplicationWindowUs();
                    case NON_IDEMPOTENT -> false;
                };
    }

    /**
     * Returns whether an attempt at this endpoint is permitted, given that the request may have a further attempt. If a
     * request with an idempotency key may have been executed, only endpoints in the deduplication scope of that attempt
     * are permitted.
     */
    public boolean permitsAttemptAt(PendingRequest request, Endpoint endpoint) {
        if (request.requestClass().idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return true;
        }
        Attempt possiblyExecuted = request.firstPossiblyExecutedAttempt();
        return possiblyExecuted == null
                || switch (request.requestClass().deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> endpoint.zone() == possiblyExecuted.endpoint().zone();
                    case CELL -> endpoint.cell() == possiblyExecuted.endpoint().cell();
                };
    }

    /**
     * Returns whether the request may be rejected, which promises the client that it may safely retry; otherwise the
     * request fails.
     */
    public boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return request.firstPossiblyExecutedAttempt() == null
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }
}
