/**
 * The adapter that runs instances of the decision module for the simulator. It reads events from standard input and
 * writes the actions of the instances to standard output.
 */
package loadbalancer.simulator;
