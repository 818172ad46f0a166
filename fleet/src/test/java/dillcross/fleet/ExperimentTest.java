package dillcross.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.scenario.InvalidScenarioException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExperimentTest {
  private static final Path SHIPPED = Path.of("../experiments");
  @TempDir private Path folder;

  @Test
  void scheduleDependsOnTheSeedAlone() throws Exception {
    assertEquals(descriptions(3), descriptions(3));
    assertNotEquals(descriptions(3), descriptions(4));
  }

  private static java.util.List<String> descriptions(long seed) throws Exception {
    return Schedule.draw(Experiment.read(SHIPPED.resolve("short.toml")), seed).faults().stream()
        .map(d -> d.atMs() + " " + d.describe())
        .toList();
  }

  @Test
  void allShippedExperimentsAreValid() throws Exception {
    try (Stream<Path> files = Files.list(SHIPPED)) {
      for (Path file : files.toList()) {
        assertTrue(Schedule.draw(Experiment.read(file), 1).endMs() >= 0, file.toString());
      }
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "sidecars = 2 | 1 | sidecars",
        "sidecars = 6;seeds = [6] | 2 | seeds",
        "[[fault]];kind = \"melt\" | 2 | kind",
        "[[fault]];kind = \"kill\";of = \"zone\" | 3 | of",
        "[[fault]];kind = \"kill\";at_s = [3, 1] | 3 | at_s",
        "[[fault]];kind = \"kill\";wen = 3 | 3 | wen",
        "[[fault]];kind = | 2 | "
      })
  void invalidFileIsReportedWithLineAndKey(String text, int line, String key) throws Exception {
    Path file = folder.resolve("x.toml");
    Files.writeString(file, text.replace(';', '\n'));
    String message =
        assertThrows(InvalidScenarioException.class, () -> Experiment.read(file)).getMessage();
    assertTrue(
        message.contains("line " + line) && message.contains(key == null ? "" : key), message);
    assertEquals(2, Main.run("fleet", "run", file.toString(), "--out", folder.toString()));
  }
}
