package loadbalancer.policy.admission;

import java.util.SplittableRandom;

import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.TimelyResponseRate;

/**
 * Load shedding: where many instances share an endpoint, an instance admits requests with a probability that falls with
 * its share of timely responses, and falls first for requests of low priority. All instances follow the same rule, so
 * that overloaded endpoints recover.
 */
public final class LoadShedder {
    /** Share of timely responses below which requests of medium priority are shed. */
    private static final double SHEDDING_BELOW_TIMELY_SHARE = 0.7;

    /** Lower bound of the admission probability: without any requests, an instance would not notice a recovery. */
    private static final double MIN_ADMISSION_PROBABILITY = 0.05;

    /** Factor of the admission probability for the lowest priority. */
    private static final double LOWEST_PRIORITY_FACTOR = 0.75;
    /** Difference between the factors for the highest and the lowest priority. */
    private static final double PRIORITY_FACTOR_RANGE = 0.5;

    private final EndpointSharing sharing;
    private final RequestPriorities priorities;
    private final TimelyResponseRate timelyResponses;
    private final SplittableRandom random;

    /** Creates a load shedder that follows the share of timely responses. */
    public LoadShedder(
            EndpointSharing sharing,
            RequestPriorities priorities,
            TimelyResponseRate timelyResponses,
            SplittableRandom random) {
        this.sharing = sharing;
        this.priorities = priorities;
        this.timelyResponses = timelyResponses;
        this.random = random;
    }

    /** Decides whether a request that has just arrived is admitted, at random where the probability is below 1. */
    public boolean admits(PendingRequest request) {
        return !sharing.isWidelyShared() || random.nextDouble() < admissionProbability(request);
    }

    private double admissionProbability(PendingRequest request) {
        double relativeTimelyShare = timelyResponses.share() / SHEDDING_BELOW_TIMELY_SHARE;
        double priorityFactor = LOWEST_PRIORITY_FACTOR + PRIORITY_FACTOR_RANGE * priorities.relativePriority(request);
        return Math.max(MIN_ADMISSION_PROBABILITY, relativeTimelyShare * relativeTimelyShare * priorityFactor);
    }
}
