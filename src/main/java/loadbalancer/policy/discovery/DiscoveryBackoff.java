package loadbalancer.policy.discovery;

import java.util.SplittableRandom;

/**
 * The random delay before the next call to discovery, after a call has failed or a watch has ended.
 *
 * <p>The delay is uniformly distributed over a range that grows with the number of instances. Instances whose calls
 * fail at the same time therefore spread their next calls over a time in which discovery can serve them. The range does
 * not grow with repeated failures, because the delay and the call after it must fit into
 * {@link #NOTIFICATION_BUDGET_US}. The delay after a successful call is short, because part of the budget may already
 * have passed without a message.
 */
public final class DiscoveryBackoff {
    /** The protocol counts a change of the endpoint list as notified this long after discovery received it. */
    public static final long NOTIFICATION_BUDGET_US = 6_000_000;

    /** The maximum delay. The rest of the budget is for the call, which discovery may queue. */
    public static final long MAX_DELAY_US = 3_700_000;

    private static final long DELAY_PER_INSTANCE_US = 40_000;
    private static final long MIN_DELAY_US = 100_000;
    private static final long MIN_DELAY_AFTER_SUCCESS_US = 125_000;
    private static final long MAX_DELAY_AFTER_SUCCESS_US = 375_000;

    /** The maximum delay is at most the poll interval divided by this number. */
    private static final int DELAYS_PER_POLL_INTERVAL = 2;

    private final long maxDelayUs;
    private boolean lastCallSucceeded;

    /**
     * Creates the backoff of one instance.
     *
     * @param instances the number of instances in the fleet
     * @param pollIntervalUs the poll interval of the settings
     */
    public DiscoveryBackoff(int instances, long pollIntervalUs) {
        long spreadUs = Math.max(MAX_DELAY_AFTER_SUCCESS_US, instances * DELAY_PER_INSTANCE_US);
        long boundUs = Math.min(Math.min(MAX_DELAY_US, spreadUs), pollIntervalUs / DELAYS_PER_POLL_INTERVAL);
        maxDelayUs = Math.max(1, boundUs);
    }

    /** Makes the next delay a short one, because discovery has sent an endpoint list. */
    public void onListReceived() {
        lastCallSucceeded = true;
    }

    /** Returns a random delay before the call that follows a failed call or an ended watch. */
    public long nextDelayUs(SplittableRandom random) {
        boolean isAfterSuccess = lastCallSucceeded;
        lastCallSucceeded = false;
        return isAfterSuccess
                ? uniformDelayUs(random, MIN_DELAY_AFTER_SUCCESS_US, MAX_DELAY_AFTER_SUCCESS_US)
                : uniformDelayUs(random, MIN_DELAY_US, maxDelayUs);
    }

    private long uniformDelayUs(SplittableRandom random, long minUs, long maxUs) {
        long boundedMinUs = Math.min(minUs, maxDelayUs);
        return boundedMinUs + random.nextLong(Math.min(maxUs, maxDelayUs) - boundedMinUs + 1);
    }
}
