/**
 * Runs load balancers for a simulator, for {@code dillcross simhost}: reads batches of events from
 * standard input and writes decisions to standard output. Single-threaded. {@link
 * dillcross.simulator.WireFormat} defines the words of the simulator's protocol, which no other
 * package uses.
 */
package dillcross.simulator;
