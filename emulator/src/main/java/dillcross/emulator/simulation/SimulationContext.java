package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.oracle.Oracle;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import dillcross.emulator.time.VirtualClock;
import dillcross.emulator.trace.Trace;

/** The objects that the parts of one simulation run share. Used only by the thread of the run. */
record SimulationContext(
    Scenario scenario,
    VirtualClock clock,
    RandomStream random,
    VirtualNetwork network,
    Oracle oracle,
    Trace trace) {
  /**
   * Start of each run in µs since 1970. The value is arbitrary, but has to be a wall-clock time, as
   * endpoint lists contain such times.
   */
  static final long START_US = 1_800_000_000_000_000L;

  /** Virtual time in µs since 1970. */
  long now() {
    return clock.now();
  }

  /** Virtual time in whole ms since 1970. */
  long nowMs() {
    return clock.now() / TimeUnits.MICROS_PER_MILLI;
  }

  /** Runs the action once the delay in µs has passed. */
  void after(long delayUs, Runnable action) {
    clock.after(delayUs, action);
  }

  /** Runs the action at the given virtual time in µs. */
  void at(long atUs, Runnable action) {
    clock.at(atUs, action);
  }

  /** Writes one event to the trace: its name, then pairs of a key and a value. */
  void note(String event, Object... pairs) {
    trace.note(event, pairs);
  }

  /** The value of a numeric setting in the configuration of the sidecars. */
  double sidecarSetting(String key) {
    return Double.parseDouble(scenario.sidecarSettings().get(key));
  }
}
