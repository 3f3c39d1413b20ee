/** The state of requests in flight and their attempts, and the queue of events for the decision module. */
package loadbalancer.proxy.routing;
