/** The entry point of the program, which starts a proxy node or the adapter for the simulator. */
package loadbalancer;
