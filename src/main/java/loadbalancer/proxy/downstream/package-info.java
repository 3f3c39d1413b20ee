/**
 * The client side of the proxy: the listener, client connections with their requests and responses, and the graceful
 * shutdown. Valid requests are passed to a {@link loadbalancer.proxy.downstream.ClientRequestHandler}, which makes all
 * decisions about them.
 */
package loadbalancer.proxy.downstream;
