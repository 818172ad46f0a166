/**
 * The rules that a run must not break, checked from outside the sidecars. {@link
 * dillcross.emulator.oracle.Oracle} receives all observations and passes them to one class per
 * group of rules; this package depends on neither the sidecar nor the simulation.
 */
package dillcross.emulator.oracle;
