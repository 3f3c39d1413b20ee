/** Running statistics of this instance's attempts: latencies, and the rate and timeliness of responses. */
package loadbalancer.policy.statistics;
