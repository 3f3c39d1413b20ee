/** Rules for retries and rejections, and the budget for hedged requests. */
package loadbalancer.policy.retry;
