/**
 * The client of discovery, which opens and closes the calls that the policy schedules and decodes the endpoint lists
 * that arrive on them.
 */
package loadbalancer.proxy.discovery;
