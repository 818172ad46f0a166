package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.oracle.Violation;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Range;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.search.Shrink;
import dillcross.emulator.simulation.FaultInjector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading of scenario files: errors, the scenarios of the repository, and shrunk scenarios. */
class ScenarioReaderTest {
  private static final String VALID = "seconds = 2\n[[category]]\nname = \"a\"\n";

  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "second = 2|[[category]]|name = 'a'!f:1: second: unknown key; did you mean seconds?",
        "[[category]]|name = 'a'|effect = 'none'!f:3: category[0].effect: unknown: none; known are idempotent, deduplicated, at_most_once",
        "[[category]]|effect = 'idempotent'!f:1: category[0].name: is missing",
        "seconds = 'x'|[[category]]|name = 'a'!f:1: seconds: has to be a number",
        "[[category]]|name = 'a'|ttl_ms = -1!f:3: category[0].ttl_ms: out of range: -1; from 1 to 1000000",
        "seconds = 2!f: category: at least one is needed",
        "[[category]]|name = 'a'|[sidecars]|count = 1.5!f:4: sidecars.count: has to be a whole number",
        "[[category]]|name = 'a'|[list]|delay_ms = [3, 1]!f:4: list.delay_ms: out of range: 1; from 3 to 1000000000",
        "[[category]]|name = 'a'|[[trouble]]|kind = 'fire'!f:4: trouble[0].kind: unknown: fire",
        "[[category]]|name = 'a'|[[trouble]]|kind = 'die'|target = 'e8'!f:5: trouble[0].target: unknown target for this kind of fault: e8",
        "[[category]]|name = 'a'|[[trouble]]|kind = 'die'|id = 'x'|[[trouble]]|kind = 'die'|id = 'x'!f:8: trouble[1].id: duplicate id: x",
        "[[category]|name = 'a'!f:1: ",
        "sidecars = 3|[[category]]|name = 'a'!f:1: sidecars: has to be a table",
        "[[category]]|name = 'a'|[settings]|cancel = 1!f:4: settings.cancel: has to be true or false"
      })
  void errorNamesFileLineAndKey(String text, String expected) {
    InvalidScenarioException invalid =
        assertThrows(
            InvalidScenarioException.class,
            () -> ScenarioReader.parse("f", text.replace('|', '\n').replace('\'', '"')));
    assertTrue(invalid.getMessage().contains(expected), invalid.getMessage());
  }

  @Test
  void reportsAllErrorsTogether() {
    InvalidScenarioException invalid =
        assertThrows(
            InvalidScenarioException.class,
            () ->
                ScenarioReader.parse(
                    "f", VALID + "work = 3\nttl_ms = 0\n[clients]\nretry = \"x\"\n"));
    assertEquals(3, invalid.getMessage().lines().count(), invalid.getMessage());
  }

  @Test
  void reportsMissingFile() {
    assertTrue(
        assertThrows(
                InvalidScenarioException.class, () -> ScenarioReader.read(Path.of("none.toml")))
            .getMessage()
            .startsWith("none.toml: can't be read"));
  }

  @Test
  void readsAllScenariosOfTheRepository() throws IOException, InvalidScenarioException {
    try (Stream<Path> all = Files.list(Path.of("../scenarios"))) {
      List<Path> files = all.filter(file -> file.toString().endsWith(".toml")).toList();
      assertFalse(files.isEmpty());
      for (Path file : files) {
        Scenario scenario = ScenarioReader.read(file);
        assertEquals(file.getFileName().toString(), scenario.name() + ".toml");
        String text = Files.readString(file);
        assertEquals(
            List.of(),
            ScenarioReader.parse("cut", ScenarioReader.withoutFaults(text)).faults(),
            file + ": faults have to be the last tables");
      }
    }
  }

  @Test
  void readsShrunkScenario() throws InvalidScenarioException {
    String text =
        VALID + "[[trouble]]\nkind = \"slow\"\nat_ms = [10, 900]\nfactor = [2, 9]\ncount = 3\n";
    Scenario scenario = ScenarioReader.parse("f", text);
    List<Drawn> drawn = FaultInjector.draw(scenario, RandomStream.of(4));
    assertEquals(3, drawn.size());
    Shrink.Result shrunk =
        new Shrink.Result(Violation.Rule.ONE_ANSWER, 4, 1, drawn.subList(1, 3), 3, 9);
    Scenario readBack = ScenarioReader.parse("f", Shrink.write(text, shrunk));
    assertEquals(1, readBack.seconds());
    assertEquals(fixed(shrunk.faults()), readBack.faults());
    assertEquals(scenario.requestClasses(), readBack.requestClasses());
  }

  /** The drawn faults as a scenario with fixed times, durations and factors defines them. */
  private static List<Fault> fixed(List<Drawn> faults) {
    return faults.stream()
        .map(
            drawn ->
                new Fault(
                    drawn.from().id(),
                    drawn.from().kind(),
                    Range.of(drawn.atUs() / 1000.0),
                    Range.of(drawn.forUs() / 1000.0),
                    drawn.target(),
                    Range.of(drawn.factor()),
                    drawn.from().share(),
                    drawn.from().mode(),
                    1))
        .toList();
  }
}
