package loadbalancer.proxy.lifecycle;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.proxy.resources.ConnectionLimits;

/**
 * The times of a graceful shutdown, measured from its start. Clients use their connections for as long as these are
 * open, and the successor of a node starts only when the node is killed. A node that stops serving at once is therefore
 * unavailable for seconds, and in a small fleet the next node may shut down before this one is back.
 *
 * @param servingTimeUs the time for which requests are accepted; a later request could miss its latency objective
 * @param responseDeadlineUs the time by which all accepted requests must have their responses
 */
public record ShutdownSchedule(long servingTimeUs, long responseDeadlineUs) {
    /**
     * The maximum request deadline that is taken into account. After SIGTERM, a node is killed once the longest
     * deadline of all request classes, limited to this value, and the delay below have passed.
     */
    private static final long MAX_DEADLINE_US = 3_000_000;

    private static final long KILL_DELAY_AFTER_DEADLINE_US = 700_000;
    /** The time reserved for writing the last responses and ending the process, on a fraction of a core. */
    private static final long EXIT_MARGIN_US = 200_000;

    /** Returns the schedule for the deadlines and latency objectives of the request classes. */
    static ShutdownSchedule of(LoadBalancerSettings settings) {
        long maxDeadlineUs = settings.classes.stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        long maxLatencyObjectiveUs = settings.classes.stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .max()
                .orElse(0);
        long responseDeadlineUs =
                Math.min(MAX_DEADLINE_US, maxDeadlineUs) + KILL_DELAY_AFTER_DEADLINE_US - EXIT_MARGIN_US;
        return new ShutdownSchedule(
                Math.max(ConnectionLimits.ACCEPT_AFTER_SHUTDOWN_MS * 1_000, responseDeadlineUs - maxLatencyObjectiveUs),
                responseDeadlineUs);
    }
}
