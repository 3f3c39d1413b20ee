/**
 * The configuration of the proxy. Only these classes know the names of settings in the configuration file and on the
 * simulator's wire. They translate them to the terms of the policy.
 */
package loadbalancer.proxy.config;
