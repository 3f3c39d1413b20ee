/** Resources that all connections share, such as the clock, file descriptors and buffers, and limits of connections. */
package loadbalancer.proxy.resources;
