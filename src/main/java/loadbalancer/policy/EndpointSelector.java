package loadbalancer.policy;

import loadbalancer.policy.admission.ConcurrencyLimiter;
import loadbalancer.policy.health.OutlierDetector;
import loadbalancer.policy.health.SlowStart;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.retry.RetryRules;
import loadbalancer.policy.selection.EndpointFilter;
import loadbalancer.policy.selection.EndpointPicker;

/** The choice of the endpoint for each attempt: an ejected one that is due for probation, or else a pick by weight. */
final class EndpointSelector {
    private final OutlierDetector outlierDetector;
    private final EndpointPicker picker;
    private final Filter filter;

    EndpointSelector(OutlierDetector outlierDetector, EndpointPicker picker, Filter filter) {
        this.outlierDetector = outlierDetector;
        this.picker = picker;
        this.filter = filter;
    }

    /** The conditions for an attempt: the endpoint's state, ejection, limits and slow start, and the retry rules. */
    static final class Filter implements EndpointFilter {
        private final ConcurrencyLimiter limiter;
        private final SlowStart slowStart;
        private final RetryRules retryRules;

        Filter(ConcurrencyLimiter limiter, SlowStart slowStart, RetryRules retryRules) {
            this.limiter = limiter;
            this.slowStart = slowStart;
            this.retryRules = retryRules;
        }

        @Override
        public boolean mayAttemptAt(PendingRequest request, Endpoint endpoint, long nowUs) {
            return !endpoint.isEjectedFor(request.classIndex())
                    && limiter.hasCapacity(request, endpoint, nowUs)
                    && isPermitted(request, endpoint, nowUs);
        }

        /** Returns whether the conditions other than ejection and concurrency limits are met, as probation requires. */
        boolean isPermitted(PendingRequest request, Endpoint endpoint, long nowUs) {
            return endpoint.state() == EndpointState.READY
                    && slowStart.allows(endpoint, nowUs)
                    && retryRules.permitsAttemptAt(request, endpoint);
        }
    }

    /** Returns an endpoint for a request without attempts in flight, or null if none may take it. */
    Endpoint selectEndpoint(PendingRequest request, long nowUs) {
        if (outlierDetector.hasEjectedEndpoints()) {
            Endpoint probation = outlierDetector.findProbationEndpoint(
                    request, endpoint -> filter.isPermitted(request, endpoint, nowUs), nowUs);
            if (probation != null) {
                return probation;
            }
        }
        return picker.pick(request, nowUs);
    }

    /**
     * Returns an endpoint for a retry or a hedged request, or null if none may take it.
     *
     * @param previous the endpoint whose attempt has failed or is unresponsive
     */
    Endpoint selectRetryEndpoint(PendingRequest request, Endpoint previous, long nowUs) {
        return picker.pickForRetry(request, previous, nowUs);
    }
}
