/**
 * Decides when the proxy calls discovery, and how long the proxy may use its current endpoint list. Callers pass the
 * time to these classes, which have no clock, sockets, threads or timers.
 */
package loadbalancer.policy.discovery;
