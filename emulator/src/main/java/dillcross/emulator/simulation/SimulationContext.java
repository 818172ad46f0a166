package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.oracle.Oracle;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.VirtualClock;
import dillcross.emulator.trace.Trace;

/** What the parts of a day share. */
record SimulationContext(
    Scenario scenario,
    VirtualClock time,
    RandomStream random,
    VirtualNetwork fabric,
    Oracle oracle,
    Trace trace) {
  static final long START_US =
      1_800_000_000_000_000L; // an arbitrary day: the list counts from 1970

  long now() {
    return time.now();
  }

  long nowMs() {
    return time.now() / 1000;
  }
}
