/**
 * The upstream side of the proxy: the pool of connections to endpoints, and the exchange of requests and responses on
 * them.
 */
package loadbalancer.proxy.upstream;
