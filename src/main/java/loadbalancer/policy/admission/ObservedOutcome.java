package loadbalancer.policy.admission;

import loadbalancer.policy.AttemptResult;

/**
 * The outcome of an attempt as the concurrency limiter uses it.
 *
 * @param result the result of the attempt
 * @param latencyUs the duration of the attempt
 * @param isAbandonedAsSlow whether the client disconnected after the attempt had taken longer than most of its class.
 *     The duration is then treated like the latency of a response: otherwise only the quick responses would be observed
 */
public record ObservedOutcome(AttemptResult result, long latencyUs, boolean isAbandonedAsSlow) {}
