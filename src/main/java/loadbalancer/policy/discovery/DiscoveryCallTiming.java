package loadbalancer.policy.discovery;

import loadbalancer.policy.LoadBalancerSettings;

/**
 * The delays between calls to discovery, in microseconds.
 *
 * @param hedgeDelayUs how long a call may go without a message before another call is opened in addition
 * @param watchTimeoutUs how long a watch may go without a message before it counts as unresponsive
 * @param maxInitialDelayUs the maximum delay of the first call, and of calls after a watch has ended or is unresponsive
 * @param maxRetryDelayUs the maximum delay after a failed call, before repeated failures double it
 */
public record DiscoveryCallTiming(
        long hedgeDelayUs, long watchTimeoutUs, long maxInitialDelayUs, long maxRetryDelayUs) {
    /** Discovery queues a call for up to 3 s; the hedge delay is longer. */
    private static final long HEDGE_DELAY_US = 3_300_000;

    /** Discovery sends a heartbeat every 2 s; the timeout is longer. */
    private static final long WATCH_TIMEOUT_US = 2_500_000;

    private static final long INITIAL_DELAY_PER_INSTANCE_US = 60_000;
    private static final long MAX_INITIAL_DELAY_US = 8_000_000;
    private static final long RETRY_DELAY_PER_INSTANCE_US = 80_000;
    private static final long MIN_RETRY_DELAY_BOUND_US = 375_000;
    private static final long MAX_RETRY_DELAY_BOUND_US = 10_000_000;

    /** One half of the drain grace is for the retry delay, the other half for the endpoint list to arrive. */
    private static final int DRAIN_GRACE_DIVISOR = 2;

    private static final long PUSHED_LIST_HEDGE_DELAY_US = 1_000_000;

    /** Returns the delays for an endpoint list that is polled or pushed, as the settings say. */
    public static DiscoveryCallTiming of(LoadBalancerSettings settings) {
        return settings.endpointListPolled ? ofPolledList(settings) : ofPushedList(settings);
    }

    private static DiscoveryCallTiming ofPolledList(LoadBalancerSettings settings) {
        long maxInitialDelayUs = Math.min(MAX_INITIAL_DELAY_US, settings.instances * INITIAL_DELAY_PER_INSTANCE_US);
        long maxRetryDelayUs = Math.min(
                MAX_RETRY_DELAY_BOUND_US,
                Math.max(MIN_RETRY_DELAY_BOUND_US, settings.instances * RETRY_DELAY_PER_INSTANCE_US));
        return new DiscoveryCallTiming(HEDGE_DELAY_US, WATCH_TIMEOUT_US, maxInitialDelayUs, maxRetryDelayUs);
    }

    /**
     * Returns the delays for endpoint lists that an agent pushes. Their changes count as notified immediately, even
     * while no watch is open, so the first call is not delayed.
     */
    private static DiscoveryCallTiming ofPushedList(LoadBalancerSettings settings) {
        long maxRetryDelayUs = Math.max(1, settings.drainGraceUs / DRAIN_GRACE_DIVISOR);
        return new DiscoveryCallTiming(PUSHED_LIST_HEDGE_DELAY_US, WATCH_TIMEOUT_US, 0, maxRetryDelayUs);
    }

    /**
     * Returns the lower limit of the maximum delay after a watch has ended. It is above 0, so that a watch that ends
     * repeatedly does not make the proxy call discovery without a pause.
     */
    long minDelayBoundAfterWatchUs() {
        return Math.min(maxRetryDelayUs, MIN_RETRY_DELAY_BOUND_US);
    }
}
