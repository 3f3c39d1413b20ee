/** The decision module's state of endpoints, requests and attempts. */
package loadbalancer.policy.model;
