/** The health of endpoints: outlier detection by error counts, detection of unresponsive attempts, and slow start. */
package loadbalancer.policy.health;
