/** Typed events for the decisions that operators see in the log. */
package loadbalancer.policy.log;
