/** Admission control: concurrency limits, tenant quotas, request priorities, load shedding, and the request queue. */
package loadbalancer.policy.admission;
