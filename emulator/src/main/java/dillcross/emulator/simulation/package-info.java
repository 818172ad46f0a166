/**
 * One simulation run: the simulated clients, endpoints and discovery service around the sidecars,
 * the faults, and the run itself ({@link dillcross.emulator.simulation.Simulation}). The simulated
 * peers share no code with the sidecar.
 */
package dillcross.emulator.simulation;
