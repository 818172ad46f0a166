package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Range;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.search.Shrink;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioReaderTest {
  private static final String GOOD = "seconds = 2\n[[category]]\nname = \"a\"\n";

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
        "[[category]]|name = 'a'|[[trouble]]|kind = 'die'|target = 'e8'!f:5: trouble[0].target: there is no e8",
        "[[category]]|name = 'a'|[[trouble]]|kind = 'die'|id = 'x'|[[trouble]]|kind = 'die'|id = 'x'!f:8: trouble[1].id: stands twice: x",
        "[[category]|name = 'a'!f:1: ",
        "sidecars = 3|[[category]]|name = 'a'!f:1: sidecars: has to be a table",
        "[[category]]|name = 'a'|[settings]|cancel = 1!f:4: settings.cancel: neither true nor false"
      })
  void aFaultNamesFileLineAndKey(String text, String expected) {
    InvalidScenarioException invalid =
        assertThrows(
            InvalidScenarioException.class,
            () -> ScenarioReader.parse("f", text.replace('|', '\n').replace('\'', '"')));
    assertTrue(invalid.getMessage().contains(expected), invalid.getMessage());
  }

  @Test
  void allFaultsAreSaidAtOnce() {
    InvalidScenarioException invalid =
        assertThrows(
            InvalidScenarioException.class,
            () ->
                ScenarioReader.parse(
                    "f", GOOD + "work = 3\nttl_ms = 0\n[clients]\nretry = \"x\"\n"));
    assertEquals(3, invalid.getMessage().lines().count(), invalid.getMessage());
  }

  @Test
  void aFileThatIsNotThereIsAFaultToo() {
    assertTrue(
        assertThrows(
                InvalidScenarioException.class, () -> ScenarioReader.read(Path.of("none.toml")))
            .getMessage()
            .startsWith("none.toml: can't be read"));
  }

  @Test
  void everyScenarioOfOursCanBeRead() throws IOException, InvalidScenarioException {
    try (Stream<Path> all = Files.list(Path.of("../scenarios"))) {
      List<Path> files = all.filter(f -> f.toString().endsWith(".toml")).toList();
      assertFalse(files.isEmpty());
      for (Path file : files) {
        Scenario scenario = ScenarioReader.read(file);
        assertEquals(file.getFileName().toString(), scenario.name() + ".toml");
        String text = Files.readString(file);
        assertEquals(
            List.of(),
            ScenarioReader.parse("cut", ScenarioReader.withoutFaults(text)).faults(),
            file + ": troubles stand last");
      }
    }
  }

  @Test
  void whatWasCutReadsBackTheSame() throws InvalidScenarioException {
    String text =
        GOOD + "[[trouble]]\nkind = \"slow\"\nat_ms = [10, 900]\nfactor = [2, 9]\ncount = 3\n";
    Scenario scenario = ScenarioReader.parse("f", text);
    var drawn =
        dillcross.emulator.simulation.FaultInjector.draw(
            scenario, dillcross.emulator.random.RandomStream.of(4));
    assertEquals(3, drawn.size());
    var few =
        new Shrink.Result(
            dillcross.emulator.oracle.Violation.Rule.ONE_ANSWER, 4, 1, drawn.subList(1, 3), 3, 9);
    Scenario back = ScenarioReader.parse("f", Shrink.write(text, few));
    assertEquals(1, back.seconds());
    assertEquals(fixed(few.faults()), back.faults());
    assertEquals(scenario.requestClasses(), back.requestClasses());
  }

  /** The same troubles as a scenario would hold them. */
  private static List<Fault> fixed(List<Drawn> faults) {
    return faults.stream()
        .map(
            d ->
                new Fault(
                    d.from().id(),
                    d.from().kind(),
                    Range.of(d.atUs() / 1000.0),
                    Range.of(d.forUs() / 1000.0),
                    d.target(),
                    Range.of(d.factor()),
                    d.from().share(),
                    d.from().mode(),
                    1))
        .toList();
  }
}
