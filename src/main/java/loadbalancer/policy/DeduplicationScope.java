package loadbalancer.policy;

/** The endpoints that together drop repetitions of a request with an idempotency key. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** All endpoints of one zone. */
    ZONE,
    /** All endpoints of one cell. */
    CELL
}
