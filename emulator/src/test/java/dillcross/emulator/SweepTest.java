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

/** The fixed seeds that every build plays, and that a day is the same however it is played. */
class SweepTest {
  private static final Path SCENARIOS = Path.of("../scenarios");
  private static final int JOBS = Math.max(2, Runtime.getRuntime().availableProcessors());

  static Stream<Path> alone() throws IOException {
    try (Stream<Path> all = Files.list(SCENARIOS.resolve("alone"))) {
      return all.sorted().toList().stream();
    }
  }

  private static Sweep.Result clean(Path file, long to)
      throws InvalidScenarioException, InterruptedException {
    List<String> broken = new ArrayList<>();
    Sweep.Result all =
        new Sweep(
                ScenarioReader.read(file),
                JOBS,
                day -> day.violations().forEach(v -> broken.add("seed " + day.seed() + " " + v)))
            .run(1, to);
    assertEquals(List.of(), broken, file.toString());
    assertEquals(to, all.seeds());
    return all;
  }

  @Test
  void everythingAtOnce() throws InvalidScenarioException, InterruptedException {
    assertTrue(clean(SCENARIOS.resolve("mixed.toml"), 300).requests() > 100_000);
  }

  @ParameterizedTest
  @MethodSource("alone")
  void eachFaultAlone(Path file) throws InvalidScenarioException, InterruptedException {
    clean(file, 12);
  }

  @Test
  void calmOverloadSlowStartAndHedges() throws InvalidScenarioException, InterruptedException {
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
      clean(SCENARIOS.resolve(name + ".toml"), 40);
    }
    Simulation.Result calm = Simulation.run(ScenarioReader.read(SCENARIOS.resolve("calm.toml")), 1);
    assertEquals(calm.requests(), calm.succeeded(), "nothing is lost where nothing goes wrong");
  }

  /** Days that broke a rule once, cut to what mattered: the seed is named in each. */
  @Test
  void whatWasFoundStaysMended() throws InvalidScenarioException, IOException {
    try (Stream<Path> all = Files.list(SCENARIOS.resolve("found"))) {
      for (Path file : all.sorted().toList()) {
        Matcher seed = Pattern.compile("--seed ([0-9]+)").matcher(Files.readString(file));
        assertTrue(seed.find(), file + " names no seed");
        assertEquals(
            List.of(),
            Simulation.run(ScenarioReader.read(file), Long.parseLong(seed.group(1))).violations(),
            file.toString());
      }
    }
  }

  @Test
  void theSameSeedIsTheSameDayToTheByte() throws InvalidScenarioException {
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
  void howManyAreAtWorkChangesNothing() throws InvalidScenarioException, InterruptedException {
    Scenario mixed = ScenarioReader.read(SCENARIOS.resolve("mixed.toml"));
    List<Long> order = new ArrayList<>();
    String alone = new Sweep(mixed, 1, day -> {}).run(5, 30).digest();
    assertEquals(alone, new Sweep(mixed, 7, day -> order.add(day.seed())).run(5, 30).digest());
    assertEquals(
        java.util.stream.LongStream.rangeClosed(5, 30).boxed().toList(),
        order,
        "they are told of in order");
  }

  /**
   * Where the oracle allows nothing, days fail: they can be cut, and what is left fails again in
   * the same way.
   */
  @Test
  void aFailingDayIsCutToWhatMatters() throws InvalidScenarioException, IOException {
    String text =
        Files.readString(SCENARIOS.resolve("mixed.toml"))
            .replaceFirst("\n\\[\\[trouble", "\n[rules]\nanswer_slack_ms = 0\n\n[[trouble");
    Scenario strict = ScenarioReader.parse("strict", text);
    long seed = 1;
    while (Simulation.run(strict, seed).clean()) {
      seed++;
    }
    Shrink.Result few = Shrink.of(strict, seed, said -> {});
    assertTrue(few.faults().size() < few.before() / 2, few.faults().size() + " of " + few.before());
    Scenario back = ScenarioReader.parse("cut", Shrink.write(text, few));
    Simulation.Result again = Simulation.run(back, few.seed());
    assertTrue(
        again.violations().stream().anyMatch(v -> v.rule() == few.rule()),
        again.violations().toString());
    List<String> story = Explain.of(back, few.seed(), null);
    assertTrue(
        story.get(0).startsWith("op ") && story.get(story.size() - 1).startsWith("broke: "),
        story.toString());
    assertNull(
        Shrink.of(ScenarioReader.read(SCENARIOS.resolve("calm.toml")), 1, said -> {}),
        "a clean day has nothing to cut");
    assertEquals(List.of(), Explain.of(back, few.seed(), "none"));
  }
}
