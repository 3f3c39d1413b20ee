package loadbalancer.policy;

/**
 * A request from a client.
 *
 * @param id identifies the request; unique among the pending requests
 * @param classIndex index into {@link LoadBalancerSettings#classes}
 * @param tenant index into {@link LoadBalancerSettings#tenants}, or -1 for a request without a tenant
 * @param remainingUs time until the client stops waiting for a response
 * @param workUs rough estimate of the work, as time on a standard core; 0 if unknown
 * @param retry whether the client is known to have sent this request before
 * @param key the key by which key affinity selects endpoints, or null if the request has none
 */
public record Request(long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry, String key) {}
