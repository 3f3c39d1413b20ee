/** The life cycle of a proxy node: start-up warm-up, start, configuration reload and graceful shutdown. */
package loadbalancer.proxy.lifecycle;
