package loadbalancer.policy.log;

/** A decision of the load balancer that is logged for operators. */
public sealed interface PolicyEvent permits EndpointEjected, EndpointRestored, RequestsRejectedWithoutLease {
    /** Returns a description of the event, without line breaks. */
    String describe();
}
