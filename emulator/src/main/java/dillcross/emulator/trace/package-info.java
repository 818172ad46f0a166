/** The trace of a simulation run: one JSON line per event, and the digest of all lines. */
package dillcross.emulator.trace;
