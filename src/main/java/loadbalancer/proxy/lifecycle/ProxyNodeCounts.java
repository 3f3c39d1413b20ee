package loadbalancer.proxy.lifecycle;

/**
 * The numbers of requests and connections that a node holds at one moment.
 *
 * @param requests requests in flight, including those that have ended but whose last attempt has not
 * @param exchanges upstream exchanges that use a connection or await one
 * @param clients client connections
 * @param descriptors descriptors of client and upstream connections
 */
record ProxyNodeCounts(int requests, int exchanges, int clients, int descriptors) {}
