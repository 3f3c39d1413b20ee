package loadbalancer.policy;

/**
 * One entry of an endpoint list.
 *
 * @param id identifies the endpoint in actions; stays the same when the endpoint's process restarts
 * @param zone index into {@link LoadBalancerSettings#zones}, or -1 for a zone that is not among them
 * @param cell number of the endpoint's cell: a group of endpoints that share the idempotency keys that they have seen
 * @param state whether the endpoint takes requests
 * @param weight size of the endpoint relative to the others
 * @param startedAtUs when the endpoint's process started, by another machine's clock; 0 means long ago
 */
public record EndpointListEntry(String id, int zone, int cell, EndpointState state, double weight, long startedAtUs) {}
