/**
 * An emulation of TCP on a virtual clock, for the sidecars and the simulated peers: machines,
 * connections, delays, partitions, and the event loop of a sidecar process ({@link
 * dillcross.emulator.network.EmulatedNetwork}, which implements the transport interface of {@code
 * dillcross.net}).
 */
package dillcross.emulator.network;
