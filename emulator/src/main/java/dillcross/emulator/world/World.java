package dillcross.emulator.world;

import dillcross.emulator.chance.Chance;
import dillcross.emulator.oracle.Oracle;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.Timeline;
import dillcross.emulator.trace.Trace;
import dillcross.emulator.wire.Fabric;

/** What the parts of a day share. */
record World(
    Scenario scenario, Timeline time, Chance chance, Fabric fabric, Oracle oracle, Trace trace) {
  static final long START_US =
      1_800_000_000_000_000L; // an arbitrary day: the list counts from 1970

  long now() {
    return time.now();
  }

  long nowMs() {
    return time.now() / 1000;
  }
}
