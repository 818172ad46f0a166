package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.Fault.Kind;
import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Range;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.simulation.Simulation;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Things that happen together, at the worst moment. */
@SuppressWarnings("StringConcatToTextBlock") // one line a part of a scenario
class HardCasesTest {
  private static final long WARM_US =
      1_000_000; // before the first arrival, from which troubles are timed
  private static final String STREAMS =
      "like = \"../scenarios/calm.toml\"\nseconds = 5\n[[category]]\nname = \"file\"\neffect = \"deduplicated\"\n"
          + "key_scope = \"all\"\nttl_ms = 1500\ntarget_latency_ms = 600\nbody_bytes = 300000\nanswer_bytes = 700000\n[clients]\nper_s = 12\nretry = \"after\"\n";
  private final List<Object[]> events = new ArrayList<>(); // time, what, then pairs

  private static Scenario calm() throws InvalidScenarioException {
    return ScenarioReader.read(Path.of("../scenarios/calm.toml"));
  }

  private static Scenario of(String text) throws InvalidScenarioException {
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

  private Simulation.Result play(Scenario scenario, long seed, Drawn... faults) {
    events.clear();
    Simulation.Result day =
        Simulation.run(
            scenario,
            seed,
            List.of(faults),
            OutputStream.nullOutputStream(),
            (us, what, pairs) -> {
              Object[] event = new Object[pairs.length + 2];
              event[0] = us;
              event[1] = what;
              System.arraycopy(pairs, 0, event, 2, pairs.length);
              events.add(event);
            });
    assertEquals(List.of(), day.violations(), () -> "seed " + seed + " with " + List.of(faults));
    return day;
  }

  /** The times of such events, from the first arrival. */
  private List<Long> times(String what) {
    return events.stream().filter(e -> e[1].equals(what)).map(e -> (Long) e[0] - WARM_US).toList();
  }

  @Test
  void twoFaultsInTheSameTickInBothOrders() throws InvalidScenarioException {
    List<Kind> kinds =
        List.of(Kind.DIE, Kind.VANISH, Kind.SILENCE, Kind.PAUSE, Kind.BLACKHOLE, Kind.DRAIN);
    for (Kind one : kinds) {
      for (Kind other : kinds) {
        Drawn a = fault(one, "e0", 700_000, 900_000, "after");
        Drawn b = fault(other, "e0", 700_000, 900_000, "after");
        if (one != other) {
          Simulation.Result first = play(calm(), 5, a, b);
          assertTrue(first.succeeded() > 0);
          play(calm(), 5, b, a);
        }
      }
      Drawn cut = fault(Kind.CUT, "a", 700_000, 900_000, "after");
      Drawn end = fault(one, "e3", 1_600_000, 500_000, "after"); // when the cut ends
      play(calm(), 6, cut, end);
      play(calm(), 6, end, cut);
    }
  }

  /**
   * An endpoint dies, drains or falls silent in the very microsecond in which it replies, or its
   * answer comes.
   */
  @ParameterizedTest
  @ValueSource(strings = {"reply", "answer", "begin", "push"})
  void aFaultInTheTickOfAnAnswer(String moment) throws InvalidScenarioException {
    play(calm(), 7);
    List<Long> at = times(moment);
    assertTrue(at.size() > 100);
    for (int i = 20; i < at.size(); i += at.size() / 6) {
      for (int e = 0; e < 8; e += 3) {
        for (Kind kind : List.of(Kind.DIE, Kind.SILENCE, Kind.DRAIN)) {
          play(calm(), 7, fault(kind, "e" + e, at.get(i), 400_000, "after"));
        }
      }
      play(calm(), 7, fault(Kind.KILL, "s1", at.get(i), 100_000, "after"));
      play(calm(), 7, fault(Kind.TERM, "s1", at.get(i), 100_000, "after"));
    }
  }

  @Test
  void aSidecarIsNotifiedToStopInTheMiddleOfAPartition() throws InvalidScenarioException {
    for (long seed = 1; seed <= 10; seed++) {
      for (String zone : List.of("a", "b", "c")) {
        Simulation.Result day =
            play(
                calm(),
                seed,
                fault(Kind.CUT, zone, 1_000_000, 3_000_000, "after"),
                fault(Kind.TERM, "s0", 2_000_000 + seed * 7_001, 400_000, "after"),
                fault(Kind.TERM, "s2", 2_500_000, 400_000, "after"));
        assertEquals(2, times("exit").size(), "both went by themselves");
        assertEquals(2, day.restarts());
      }
    }
  }

  @Test
  void aListWhoseNumbersBeginAnewDuringARollingDeploy() throws InvalidScenarioException {
    for (long seed = 1; seed <= 12; seed++) {
      Simulation.Result day =
          play(
              calm(),
              seed,
              fault(Kind.DEPLOY, "all", 500_000, 6_000_000, "after"),
              fault(Kind.LIST_RENUMBER, "all", 1_000_000 + 400_000 * seed, 0, "after"),
              fault(Kind.LIST_RENUMBER, "all", 6_200_000, 0, "after"));
      assertEquals(8, times("join").size());
      assertTrue(
          day.succeeded() > 0.95 * day.requests(), day.succeeded() + " of " + day.requests());
    }
  }

  @Test
  void anEndpointDiesWhileABodyStreams() throws InvalidScenarioException {
    Scenario streams = of(STREAMS);
    assertTrue(play(streams, 3).succeeded() > 100);
    List<Long> at = times("reply");
    int cut = 0;
    for (int i = 5;
        i < at.size();
        i += at.size() / 8) { // some milliseconds into its answer, or into the next request
      for (int e = 0; e < 8; e += 2) {
        play(streams, 3, fault(Kind.DIE, "e" + e, at.get(i) + 4_000, 700_000, "after"));
        cut += times("cut").size();
      }
    }
    assertTrue(cut > 0, "some answers were cut, and their clients could tell");
  }

  /**
   * No time passes on the way, in a turn or at an endpoint: all of a request happens in one
   * microsecond.
   */
  @Test
  void aClockStepOfZero() throws InvalidScenarioException {
    Scenario still =
        of(
            "like = \"../scenarios/mixed.toml\"\nseconds = 5\n[sidecars]\ncount = 3\nturn_us = 0\nstart_ms = 0\n[network]\nnear_us = 0\nfar_us = 0\njitter_us = 0\n"
                + "[list]\ndelay_ms = 0\ntell_ms = 0\n[[category]]\nname = \"read\"\neffect = \"idempotent\"\nwork_ms = 0.001\nspread = 0\n");
    for (long seed = 1; seed <= 10; seed++) {
      Simulation.Result day = Simulation.run(still, seed);
      assertEquals(List.of(), day.violations());
      assertTrue(day.succeeded() > 100);
    }
  }

  @Test
  void aFaultShiftsNothingThatOthersDraw() throws InvalidScenarioException {
    Scenario mixed = ScenarioReader.read(Path.of("../scenarios/mixed.toml"));
    List<Drawn> all =
        dillcross.emulator.simulation.FaultInjector.draw(
            mixed, dillcross.emulator.random.RandomStream.of(9));
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
    List<Drawn> left =
        dillcross.emulator.simulation.FaultInjector.draw(
            fewer, dillcross.emulator.random.RandomStream.of(9));
    assertEquals(all.subList(all.size() - left.size(), all.size()), left);
    assertNotEquals(
        all,
        dillcross.emulator.simulation.FaultInjector.draw(
            mixed, dillcross.emulator.random.RandomStream.of(10)));
  }
}
