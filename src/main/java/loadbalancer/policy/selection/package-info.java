/**
 * Selection of the endpoint for an attempt: weighted choice of two, key affinity, preference for the local zone, and
 * the subsets of endpoints that instances use in a large fleet.
 */
package loadbalancer.policy.selection;
