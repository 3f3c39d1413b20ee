package loadbalancer.policy.admission;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/** The latency above which a response indicates that its endpoint is overloaded. */
final class SlownessThreshold {
    /**
     * The threshold as a share of the latency objective. It is well below 1, since an endpoint that needs the whole
     * objective may already have become slower.
     */
    private static final double OBJECTIVE_SHARE = 0.35;

    /**
     * The share that is used where many instances share an endpoint, so that their load is distributed less evenly, or
     * where endpoints cache keys, of which some may be in high demand. Even an endpoint with spare capacity then sends
     * some slow responses.
     */
    private static final double TOLERANT_OBJECTIVE_SHARE = 0.6;

    /** Upper bound of the threshold as a multiple of the lowest mean latency of the class. */
    private static final double LOWEST_MEAN_MULTIPLE = 3;

    /** Factor of that multiple where many instances share an endpoint. */
    private static final double WIDELY_SHARED_MULTIPLE_FACTOR = 2;

    private final LoadBalancerSettings settings;
    private final EndpointSharing sharing;
    private final LatencyStatistics latencies;

    SlownessThreshold(LoadBalancerSettings settings, EndpointSharing sharing, LatencyStatistics latencies) {
        this.settings = settings;
        this.sharing = sharing;
        this.latencies = latencies;
    }

    /** Returns the latency, in microseconds, above which a response to {@code request} is slow. */
    double slowAboveUs(PendingRequest request) {
        double lowestMeanUs = latencies.lowestMeanUs(request.classIndex());
        boolean isTolerant =
                settings.endpointsCacheKeys || (sharing.isWidelyShared() && lowestMeanUs < Double.MAX_VALUE);
        double objectiveThresholdUs =
                (isTolerant ? TOLERANT_OBJECTIVE_SHARE : OBJECTIVE_SHARE) * request.latencyObjectiveUs();
        if (settings.endpointsCacheKeys) {
            return objectiveThresholdUs;
        }
        double multipleFactor = sharing.isWidelyShared() ? WIDELY_SHARED_MULTIPLE_FACTOR : 1;
        return Math.min(objectiveThresholdUs, multipleFactor * LOWEST_MEAN_MULTIPLE * lowestMeanUs);
    }
}
