package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.search.Explain;
import dillcross.emulator.search.Shrink;
import dillcross.emulator.search.Sweep;
import dillcross.emulator.simulation.Simulation;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs the scenarios with fixed seeds, in which no rule may be broken, and checks that runs are
 * deterministic and that failing ones can be reduced.
 */
class SweepTest {
  private static final Path SCENARIOS = Path.of("../scenarios");
  private static final int JOBS = Math.max(2, Runtime.getRuntime().availableProcessors());

  static Stream<Path> singleFaultScenarios() throws IOException {
    try (Stream<Path> all = Files.list(SCENARIOS.resolve("alone"))) {
      return all.sorted().toList().stream();
    }
  }

  /** Runs the seeds from 1 to {@code to} and asserts that none breaks a rule. */
  private static Sweep.Result assertClean(Path file, long to)
      throws InvalidScenarioException, InterruptedException {
    List<String> broken = new ArrayList<>();
    Sweep.Result all =
        new Sweep(
                ScenarioReader.read(file),
                JOBS,
                result ->
                    result.violations().forEach(v -> broken.add("seed " + result.seed() + " " + v)))
            .run(1, to);
    assertEquals(List.of(), broken, file.toString());
    assertEquals(to, all.seeds());
    return all;
  }

  @Test
  void allFaultsTogetherBreakNoRule() throws InvalidScenarioException, InterruptedException {
    assertTrue(assertClean(SCENARIOS.resolve("mixed.toml"), 300).requests() > 100_000);
  }

  @ParameterizedTest
  @MethodSource("singleFaultScenarios")
  void eachFaultAloneBreaksNoRule(Path file) throws InvalidScenarioException, InterruptedException {
    assertClean(file, 12);
  }

  @Test
  void eachScenarioBreaksNoRule() throws InvalidScenarioException, InterruptedException {
    for (String name :
        List.of(
            "calm",
            "overload",
            "cold",
            "copies",
            "partition",
            "anew",
            "bodies",
            "news",
            "gone",
            "throng-5",
            "pauses")) {
      assertClean(SCENARIOS.resolve(name + ".toml"), 40);
    }
    Simulation.Result calm = Simulation.run(ScenarioReader.read(SCENARIOS.resolve("calm.toml")), 1);
    assertEquals(calm.requests(), calm.succeeded(), "without faults, all requests succeed");
  }

  /**
   * Regression scenarios: runs that once broke a rule, reduced, with the seed in the first comment.
   */
  @Test
  void regressionScenariosBreakNoRule() throws InvalidScenarioException, IOException {
    try (Stream<Path> all = Files.list(SCENARIOS.resolve("found"))) {
      for (Path file : all.sorted().toList()) {
        Matcher seed = Pattern.compile("--seed ([0-9]+)").matcher(Files.readString(file));
        assertTrue(seed.find(), file + " has no comment with --seed");
        assertEquals(
            List.of(),
            Simulation.run(ScenarioReader.read(file), Long.parseLong(seed.group(1))).violations(),
            file.toString());
      }
    }
  }

  @Test
  void sameSeedGivesTheSameTrace() throws InvalidScenarioException {
    Scenario mixed = ScenarioReader.read(SCENARIOS.resolve("mixed.toml"));
    var drawn =
        dillcross.emulator.simulation.FaultInjector.draw(
            mixed, dillcross.emulator.random.RandomStream.of(3));
    ByteArrayOutputStream one = new ByteArrayOutputStream();
    ByteArrayOutputStream two = new ByteArrayOutputStream();
    Simulation.Result first = Simulation.run(mixed, 3, drawn, one, null);
    Simulation.Result again = Simulation.run(mixed, 3, drawn, two, (us, what, pairs) -> {});
    assertEquals(one.toString(StandardCharsets.UTF_8), two.toString(StandardCharsets.UTF_8));
    assertEquals(first.digest(), again.digest());
    assertEquals(first.digest(), Simulation.run(mixed, 3).digest());
    assertNotEquals(first.digest(), Simulation.run(mixed, 4).digest());
    assertTrue(
        one.toString(StandardCharsets.UTF_8)
            .lines()
            .allMatch(line -> line.startsWith("{\"t\":") && line.endsWith("}")));
  }

  @Test
  void resultsDoNotDependOnTheNumberOfThreads()
      throws InvalidScenarioException, InterruptedException {
    Scenario mixed = ScenarioReader.read(SCENARIOS.resolve("mixed.toml"));
    List<Long> order = new ArrayList<>();
    String alone = new Sweep(mixed, 1, result -> {}).run(5, 30).digest();
    assertEquals(
        alone, new Sweep(mixed, 7, result -> order.add(result.seed())).run(5, 30).digest());
    assertEquals(
        java.util.stream.LongStream.rangeClosed(5, 30).boxed().toList(),
        order,
        "results are reported in the order of their seeds");
  }

  /** With an answer slack of 0 some runs fail; one is reduced, and the reduced run fails alike. */
  @Test
  void failingRunIsReducedAndExplained() throws InvalidScenarioException, IOException {
    String text =
        Files.readString(SCENARIOS.resolve("mixed.toml"))
            .replaceFirst("\n\\[\\[trouble", "\n[rules]\nanswer_slack_ms = 0\n\n[[trouble");
    Scenario strict = ScenarioReader.parse("strict", text);
    long seed = 1;
    while (Simulation.run(strict, seed).clean()) {
      seed++;
    }
    Shrink.Result reduced = Shrink.of(strict, seed, message -> {});
    assertTrue(
        reduced.faults().size() < reduced.before() / 2,
        reduced.faults().size() + " of " + reduced.before());
    Scenario reread = ScenarioReader.parse("cut", Shrink.write(text, reduced));
    Simulation.Result again = Simulation.run(reread, reduced.seed());
    assertTrue(
        again.violations().stream().anyMatch(v -> v.rule() == reduced.rule()),
        again.violations().toString());
    List<String> explanation = Explain.of(reread, reduced.seed(), null);
    assertTrue(
        explanation.get(0).startsWith("op ")
            && explanation.get(explanation.size() - 1).startsWith("broke: "),
        explanation.toString());
    assertNull(
        Shrink.of(ScenarioReader.read(SCENARIOS.resolve("calm.toml")), 1, message -> {}),
        "a run that breaks no rule cannot be reduced");
    assertEquals(List.of(), Explain.of(reread, reduced.seed(), "none"));
  }
}
