package loadbalancer.policy;

/**
 * A class of requests.
 *
 * @param name the name of the class in the settings
 * @param latencyObjectiveUs time within which a response earns the full priority weight
 * @param latencyObjectiveWorkFactor multiple of a request's own work by which its latency objective is extended; the
 *     objective is never later than the deadline
 * @param deadlineUs how long a client waits in total, including its own retries
 * @param priorityWeight weight of a request of the class when priorities are determined
 * @param latePriorityFactor factor applied to the priority weight if the response is later than the objective; with 0,
 *     a late response earns nothing
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope the endpoints that drop repetitions of a request with an idempotency key
 * @param deduplicationWindowUs how long these endpoints drop repetitions, from the start of the first attempt that may
 *     have been executed
 * @param isStreaming whether responses are streamed
 */
public record RequestClass(
        String name,
        long latencyObjectiveUs,
        double latencyObjectiveWorkFactor,
        long deadlineUs,
        double priorityWeight,
        double latePriorityFactor,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        boolean isStreaming) {}
