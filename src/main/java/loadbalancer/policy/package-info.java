/**
 * The decision module. Its caller reports events to it and executes the actions that it requests. The module has no
 * sockets or threads and reads no clock: the caller passes the time with each event.
 *
 * <p>{@link loadbalancer.policy.LoadBalancer} is the interface of the module.
 * {@link loadbalancer.policy.ServiceQLoadBalancer} implements it: for each event it calls the classes of the packages
 * below this one in a fixed order.
 */
package loadbalancer.policy;
