package loadbalancer.proxy.lifecycle;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.proxy.resources.ConnectionLimits;

/**
 * How long a node that has been told to end goes on, counted from that word. Clients use their connections
 * for as long as they stay open, and a successor starts no sooner than the node is killed: a node that left
 * at once stood still for seconds, and in a small tier the next may have to end before this one is back.
 *
 * @param lastRequestUs until when requests are taken: one that comes later could miss what is wanted of it
 * @param lastAnswerUs by when all that was taken has its answer
 */
public record ShutdownSchedule(long servingTimeUs, long responseDeadlineUs) {
    /** A node is killed after the longest deadline, counted as this where it is longer, and a little more. */
    private static final long MAX_DEADLINE_US = 3_000_000;

    private static final long KILL_DELAY_AFTER_DEADLINE_US = 700_000;
    /** For the last answers to be written and the process to end, on part of a core. */
    private static final long EXIT_MARGIN_US = 200_000;

    static ShutdownSchedule of(LoadBalancerSettings settings) {
        long deadline = settings.classes.stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        long aim = settings.classes.stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .max()
                .orElse(0);
        long lastAnswer = Math.min(MAX_DEADLINE_US, deadline) + KILL_DELAY_AFTER_DEADLINE_US - EXIT_MARGIN_US;
        return new ShutdownSchedule(
                Math.max(ConnectionLimits.ACCEPT_AFTER_SHUTDOWN_MS * 1_000, lastAnswer - aim), lastAnswer);
    }
}
