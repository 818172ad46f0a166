/**
 * TCP as the sidecar and the simulated peers see it, on a virtual clock: machines, connections,
 * delays, cuts, and the event loop of a sidecar process ({@link
 * dillcross.emulator.network.EmulatedNetwork}, which implements the transport interface of {@code
 * dillcross.net}).
 */
package dillcross.emulator.network;
