package loadbalancer.policy;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** The request may be executed any number of times. */
    IDEMPOTENT,
    /**
     * The request has an idempotency key, by which the endpoints of a {@link DeduplicationScope} drop repetitions of it
     * for a limited time.
     */
    IDEMPOTENCY_KEY,
    /** The request must not be executed more than once. */
    NON_IDEMPOTENT
}
