package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.Fault.Kind;
import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Range;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.simulation.FaultInjector;
import dillcross.emulator.simulation.Simulation;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs in which faults coincide with each other or with events of a request. */
@SuppressWarnings("StringConcatToTextBlock") // one string for each part of a scenario
class HardCasesTest {
  /** Time from the start of a run to the first arrival, from which the times of faults count. */
  private static final long WARM_UP_US = 1_000_000;

  private static final String LARGE_BODIES =
      "like = \"../scenarios/calm.toml\"\nseconds = 5\n[[category]]\nname = \"file\"\neffect = \"deduplicated\"\n"
          + "key_scope = \"all\"\nttl_ms = 1500\ntarget_latency_ms = 600\nbody_bytes = 300000\nanswer_bytes = 700000\n[clients]\nper_s = 12\nretry = \"after\"\n";

  /** Events of the latest run; each holds a time in µs, a name, and keys and values in turn. */
  private final List<Object[]> events = new ArrayList<>();

  private static Scenario calm() throws InvalidScenarioException {
    return ScenarioReader.read(Path.of("../scenarios/calm.toml"));
  }

  private static Scenario parse(String text) throws InvalidScenarioException {
    return ScenarioReader.parse("test.toml", text);
  }

  private static Drawn fault(Kind kind, String target, long atUs, long forUs, String mode) {
    String id = kind.word() + "-" + target + "-" + atUs;
    return new Drawn(
        new Fault(
            id,
            kind,
            Range.of(atUs / 1000.0),
            Range.of(forUs / 1000.0),
            target,
            Range.of(3),
            0.5,
            mode,
            1),
        atUs,
        forUs,
        target,
        3);
  }

  private Simulation.Result run(Scenario scenario, long seed, Drawn... faults) {
    events.clear();
    Simulation.Result result =
        Simulation.run(
            scenario,
            seed,
            List.of(faults),
            OutputStream.nullOutputStream(),
            (timeUs, name, fields) -> {
              Object[] event = new Object[fields.length + 2];
              event[0] = timeUs;
              event[1] = name;
              System.arraycopy(fields, 0, event, 2, fields.length);
              events.add(event);
            });
    assertEquals(List.of(), result.violations(), () -> "seed " + seed + " with " + List.of(faults));
    return result;
  }

  /** Times of the latest run's events of that name, in µs after the first arrival. */
  private List<Long> times(String name) {
    return events.stream()
        .filter(event -> event[1].equals(name))
        .map(event -> (Long) event[0] - WARM_UP_US)
        .toList();
  }

  @Test
  void twoFaultsAtTheSameTimeInBothOrders() throws InvalidScenarioException {
    List<Kind> kinds =
        List.of(Kind.DIE, Kind.VANISH, Kind.SILENCE, Kind.PAUSE, Kind.BLACKHOLE, Kind.DRAIN);
    for (Kind one : kinds) {
      for (Kind other : kinds) {
        Drawn a = fault(one, "e0", 700_000, 900_000, "after");
        Drawn b = fault(other, "e0", 700_000, 900_000, "after");
        if (one != other) {
          Simulation.Result first = run(calm(), 5, a, b);
          assertTrue(first.succeeded() > 0);
          run(calm(), 5, b, a);
        }
      }
      Drawn cut = fault(Kind.CUT, "a", 700_000, 900_000, "after");
      Drawn end = fault(one, "e3", 1_600_000, 500_000, "after"); // starts when "cut" ends
      run(calm(), 6, cut, end);
      run(calm(), 6, end, cut);
    }
  }

  /**
   * An endpoint dies, becomes silent or drains, or a sidecar is killed or stopped, in the same
   * microsecond as an event of a request.
   */
  @ParameterizedTest
  @ValueSource(strings = {"reply", "answer", "begin", "push"})
  void faultInTheSameMicrosecondAsRequestEvent(String eventName) throws InvalidScenarioException {
    run(calm(), 7);
    List<Long> timesUs = times(eventName);
    assertTrue(timesUs.size() > 100);
    for (int i = 20; i < timesUs.size(); i += timesUs.size() / 6) {
      for (int e = 0; e < 8; e += 3) {
        for (Kind kind : List.of(Kind.DIE, Kind.SILENCE, Kind.DRAIN)) {
          run(calm(), 7, fault(kind, "e" + e, timesUs.get(i), 400_000, "after"));
        }
      }
      run(calm(), 7, fault(Kind.KILL, "s1", timesUs.get(i), 100_000, "after"));
      run(calm(), 7, fault(Kind.TERM, "s1", timesUs.get(i), 100_000, "after"));
    }
  }

  @Test
  void sidecarsGetSigtermDuringPartition() throws InvalidScenarioException {
    for (long seed = 1; seed <= 10; seed++) {
      for (String zone : List.of("a", "b", "c")) {
        Simulation.Result result =
            run(
                calm(),
                seed,
                fault(Kind.CUT, zone, 1_000_000, 3_000_000, "after"),
                fault(Kind.TERM, "s0", 2_000_000 + seed * 7_001, 400_000, "after"),
                fault(Kind.TERM, "s2", 2_500_000, 400_000, "after"));
        assertEquals(2, times("exit").size(), "both sidecars exit without being killed");
        assertEquals(2, result.restarts());
      }
    }
  }

  @Test
  void endpointListIsRenumberedDuringRollingDeploy() throws InvalidScenarioException {
    for (long seed = 1; seed <= 12; seed++) {
      Simulation.Result result =
          run(
              calm(),
              seed,
              fault(Kind.DEPLOY, "all", 500_000, 6_000_000, "after"),
              fault(Kind.LIST_RENUMBER, "all", 1_000_000 + 400_000 * seed, 0, "after"),
              fault(Kind.LIST_RENUMBER, "all", 6_200_000, 0, "after"));
      assertEquals(8, times("join").size());
      assertTrue(
          result.succeeded() > 0.95 * result.requests(),
          result.succeeded() + " of " + result.requests());
    }
  }

  @Test
  void endpointDiesWhileSendingBody() throws InvalidScenarioException {
    Scenario largeBodies = parse(LARGE_BODIES);
    assertTrue(run(largeBodies, 3).succeeded() > 100);
    List<Long> timesUs = times("reply");
    int truncatedCount = 0;
    for (int i = 5; i < timesUs.size(); i += timesUs.size() / 8) {
      // 4 ms after the "reply" event, endpoints still send that answer or already have a next
      // request.
      for (int e = 0; e < 8; e += 2) {
        run(largeBodies, 3, fault(Kind.DIE, "e" + e, timesUs.get(i) + 4_000, 700_000, "after"));
        truncatedCount += times("cut").size();
      }
    }
    assertTrue(truncatedCount > 0, "some clients observe a truncated answer");
  }

  /**
   * The network, event loop iterations and endpoints take no virtual time, so that all events of a
   * request happen in the same microsecond.
   */
  @Test
  void requestsThatTakeNoVirtualTime() throws InvalidScenarioException {
    Scenario timeless =
        parse(
            "like = \"../scenarios/mixed.toml\"\nseconds = 5\n[sidecars]\ncount = 3\nturn_us = 0\nstart_ms = 0\n[network]\nnear_us = 0\nfar_us = 0\njitter_us = 0\n"
                + "[list]\ndelay_ms = 0\ntell_ms = 0\n[[category]]\nname = \"read\"\neffect = \"idempotent\"\nwork_ms = 0.001\nspread = 0\n");
    for (long seed = 1; seed <= 10; seed++) {
      Simulation.Result result = Simulation.run(timeless, seed);
      assertEquals(List.of(), result.violations());
      assertTrue(result.succeeded() > 100);
    }
  }

  @Test
  void removingFaultsDoesNotChangeOtherDraws() throws InvalidScenarioException {
    Scenario mixed = ScenarioReader.read(Path.of("../scenarios/mixed.toml"));
    List<Drawn> all = FaultInjector.draw(mixed, RandomStream.of(9));
    Scenario fewer =
        new Scenario(
            mixed.name(),
            mixed.seconds(),
            mixed.sidecars(),
            mixed.sidecarSettings(),
            mixed.requestClasses(),
            mixed.clients(),
            mixed.endpoints(),
            mixed.discovery(),
            mixed.network(),
            mixed.rules(),
            mixed.faults().subList(5, mixed.faults().size()));
    List<Drawn> remaining = FaultInjector.draw(fewer, RandomStream.of(9));
    assertEquals(all.subList(all.size() - remaining.size(), all.size()), remaining);
    assertNotEquals(all, FaultInjector.draw(mixed, RandomStream.of(10)));
  }
}
