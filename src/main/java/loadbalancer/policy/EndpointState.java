package loadbalancer.policy;

/** Whether an endpoint takes requests, according to the endpoint list. */
public enum EndpointState {
    /** Takes requests. */
    READY,
    /** Completes the requests that it has and takes no new ones. */
    DRAINING,
    /** No longer in the endpoint list. */
    REMOVED
}
