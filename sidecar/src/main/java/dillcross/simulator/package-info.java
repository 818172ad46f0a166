/**
 * Hosts load balancers on the simulator's wire, for {@code dillcross simhost}: standard input
 * brings batches of events, standard output takes decisions. Single-threaded. {@link
 * dillcross.simulator.WireFormat} has the words of the wire; nothing else in the program knows
 * them.
 */
package dillcross.simulator;
