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
        return mayRepeat(request.requestClass(), request.firstPossiblyExecutedAttempt(), nowUs);
    }

    /**
     * Returns whether an attempt that has started may be sent now. Between its start and its send, for example while a
     * connection is opened, the deduplication window may have ended, other attempts may have started, or the endpoint may
     * have been replaced.
     */
    public boolean isSendPermitted(PendingRequest request, Attempt attempt, long nowUs) {
        Attempt possiblyExecuted = request.firstPossiblyExecutedAttemptExcept(attempt);
        return !request.isFinished()
                && attempt.isInFlight()
                && nowUs < request.deadlineAtUs()
                && attempt.isEndpointUnchanged()
                && mayRepeat(request.requestClass(), possiblyExecuted, nowUs)
                && isInDeduplicationScope(request.requestClass(), possiblyExecuted, attempt.endpoint());
    }

    /**
     * Returns whether a request may be sent again after an attempt that may have been executed.
     *
     * @param possiblyExecuted that attempt, or null if the request has certainly not been executed
     */
    private static boolean mayRepeat(RequestClass requestClass, Attempt possiblyExecuted, long nowUs) {
        return possiblyExecuted == null
                || switch (requestClass.idempotency()) {
                    case IDEMPOTENT -> true;
                    case IDEMPOTENCY_KEY ->
                        nowUs
                                < possiblyExecuted.startedAtUs()
                                        + requestClass.deduplicationWindowUs()
                                        - LoadBalancerSettings.MAX_SUSPENSION_US;
                    case NON_IDEMPOTENT -> false;
                };
    }

    /**
     * Returns whether an attempt at this endpoint is permitted, given that the request may have a further attempt. If a
     * request with an idempotency key may have been executed, only endpoints in the deduplication scope of that attempt
     * are permitted.
     */
    public boolean permitsAttemptAt(PendingRequest request, Endpoint endpoint) {
        return isInDeduplicationScope(request.requestClass(), request.firstPossiblyExecutedAttempt(), endpoint);
    }

    private static boolean isInDeduplicationScope(
            RequestClass requestClass, Attempt possiblyExecuted, Endpoint endpoint) {
        return requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY
                || possiblyExecuted == null
                || switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> endpoint.zone() == possiblyExecuted.zone();
                    case CELL -> endpoint.cell() == possiblyExecuted.cell();
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
