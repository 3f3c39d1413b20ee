/** The proxy's log for operators, which is written to standard error with one structured event per line. */
package loadbalancer.proxy.logging;
