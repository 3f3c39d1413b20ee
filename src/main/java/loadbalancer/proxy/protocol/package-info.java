/**
 * The names in the protocols of clients, upstream endpoints and discovery: paths, header fields and JSON fields. Each
 * is a constant with the name that the rest of the code uses for it.
 */
package loadbalancer.proxy.protocol;
