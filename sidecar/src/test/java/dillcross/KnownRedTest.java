package dillcross;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the script {@code .ci/known-red}, which reads the list of tests that are known to fail and
 * prints the Maven options that exclude them.
 */
class KnownRedTest {
  private static final Path ROOT = Path.of("..");
  private static final String FIRST_TEST = "OutlierEjectionTest#keepsEjectionsWhenSettingsChange";
  private static final String SECOND_TEST = "SilenceMonitorTest#detectsSilenceThatFollowsAResponse";
  private static final String INTEGRATION_TEST = "ForwardingIT#answersByOutcomeOfTheAttempt";
  private static final String FIRST_LINE = FIRST_TEST + " | a cause | issue 35\n";
  private static final String SECOND_LINE = SECOND_TEST + " | a third | issue 36";
  private static final String INTEGRATION_LINE = INTEGRATION_TEST + " | another | issue 36\n";

  @TempDir private Path folder;

  /** The script's exit status, and what it wrote to standard output and standard error. */
  private record Result(int status, String output, String errors) {}

  private Result runWithFile(Path listFile) throws Exception {
    Path output = folder.resolve("output");
    Path errors = folder.resolve("errors");
    Path script = ROOT.resolve(".ci/known-red");
    Process process =
        new ProcessBuilder("bash", script.toString(), listFile.toString(), ROOT.toString())
            .redirectOutput(output.toFile())
            .redirectError(errors.toFile())
            .start();
    int status = process.waitFor();
    return new Result(status, Files.readString(output), Files.readString(errors));
  }

  private Result runWithLines(String lines) throws Exception {
    Path listFile = folder.resolve("KNOWN-RED.txt");
    return runWithFile(Files.writeString(listFile, lines, StandardCharsets.UTF_8));
  }

  @Test
  void excludesOnlyTheListedTests() throws Exception {
    Result nothing = new Result(0, "", "");
    assertEquals(nothing, runWithFile(folder.resolve("nothing")));
    assertEquals(nothing, runWithLines("\n"));

    Result result = runWithLines(FIRST_LINE + INTEGRATION_LINE + SECOND_LINE);

    String options =
        "-Dtest=!"
            + FIRST_TEST
            + ",!"
            + SECOND_TEST
            + "\n-Dit.test=!"
            + INTEGRATION_TEST
            + "\n-Dsurefire.failIfNoSpecifiedTests=false"
            + "\n-Dfailsafe.failIfNoSpecifiedTests=false\n";
    String messages =
        "known red, passed over: "
            + FIRST_LINE
            + "known red, passed over: "
            + INTEGRATION_LINE
            + "known red, passed over: "
            + SECOND_LINE
            + "\n";
    assertEquals(new Result(0, options, messages), result);
  }

  @ParameterizedTest
  @CsvSource({
    "keepsEjectionsWhenSettingsChange | a cause | issue 35,malformed",
    "OutlierEjectionTest#keepsEjectionsWhenSettingsChange,malformed",
    "OutlierEjectionTest#keepsEjectionsWhenSettingsChange | a cause,malformed",
    "OutlierEjectionTest#keepsEjectionsWhenSettingsChange |  | issue 35,malformed",
    "OutlierEjectionTest#keepsEjectionsWhenSettingsChange | a cause | 35,malformed",
    "*#* | a cause | issue 35,malformed",
    "OutlierEjectionTest#noSuchMethod | a cause | issue 35,names no test",
    "NoSuchTest#keepsEjectionsWhenSettingsChange | a cause | issue 35,names no test",
    "Lifecycle#markReady | a cause | issue 35,names no test"
  })
  void refusesInvalidLine(String line, String message) throws Exception {
    Result result = runWithLines(FIRST_LINE + line + "\n");

    assertEquals(1, result.status());
    assertTrue(result.errors().contains("line 2"), result.errors());
    assertTrue(result.errors().contains(message), result.errors());
  }

  @Test
  void refusesFourthLine() throws Exception {
    assertEquals(0, runWithLines(FIRST_LINE.repeat(3)).status());

    Result result = runWithLines(FIRST_LINE.repeat(4));

    assertEquals(1, result.status());
    assertTrue(result.errors().contains("line 4"), result.errors());
    assertTrue(result.errors().contains("three"), result.errors());
  }
}
