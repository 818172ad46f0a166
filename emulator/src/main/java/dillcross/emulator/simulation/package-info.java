/**
 * A simulation run ({@link dillcross.emulator.simulation.Simulation}): the simulated clients,
 * endpoints and discovery service around the sidecars, and the faults. The simulated peers share no
 * code with the sidecar.
 */
package dillcross.emulator.simulation;
