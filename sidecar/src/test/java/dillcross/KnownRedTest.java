package dillcross;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What CI passes over, and that it takes no list which is not in order. */
class KnownRedTest {
  private static final Path ROOT = Path.of("..");
  private static final String GOOD = "LifecycleTest#followsOneLifecycle | a cause | issue 35\n";
  @TempDir private Path folder;

  private record Ended(int status, String out, String said) {}

  private Ended check(Path file) throws Exception {
    Path out = folder.resolve("out");
    Path said = folder.resolve("said");
    Process process =
        new ProcessBuilder(
                "bash", ROOT.resolve(".ci/known-red").toString(), file.toString(), ROOT.toString())
            .redirectOutput(out.toFile())
            .redirectError(said.toFile())
            .start();
    int status = process.waitFor();
    return new Ended(status, Files.readString(out), Files.readString(said));
  }

  private Ended check(String lines) throws Exception {
    return check(Files.writeString(folder.resolve("KNOWN-RED.txt"), lines, StandardCharsets.UTF_8));
  }

  @Test
  void justTheListedTestsArePassedOver() throws Exception {
    assertEquals(new Ended(0, "", ""), check(folder.resolve("nothing")));
    assertEquals(new Ended(0, "", ""), check("\n"));
    assertEquals(
        new Ended(
            0,
            "-Dtest=!LifecycleTest#followsOneLifecycle,!RingBufferTest#"
                + firstRingBufferTest()
                + "\n-Dit.test=!ServeIT#eachOutcome\n"
                + "-Dsurefire.failIfNoSpecifiedTests=false\n-Dfailsafe.failIfNoSpecifiedTests=false\n",
            "known red, passed over: "
                + GOOD
                + "known red, passed over: ServeIT#eachOutcome | another | issue 36\n"
                + "known red, passed over: RingBufferTest#"
                + firstRingBufferTest()
                + " | a third | issue 36\n"),
        check(
            GOOD
                + "ServeIT#eachOutcome | another | issue 36\nRingBufferTest#"
                + firstRingBufferTest()
                + " | a third | issue 36"));
  }

  private static String firstRingBufferTest() throws Exception {
    return List.of(
            Files.readString(Path.of("src/test/java/dillcross/net/buffer/RingBufferTest.java"))
                .split("  void "))
        .get(1)
        .split("\\(")[0];
  }

  @ParameterizedTest
  @CsvSource({
    "followsOneLifecycle | a cause | issue 35,malformed",
    "LifecycleTest#followsOneLifecycle,malformed",
    "LifecycleTest#followsOneLifecycle | a cause,malformed",
    "LifecycleTest#followsOneLifecycle |  | issue 35,malformed",
    "LifecycleTest#followsOneLifecycle | a cause | 35,malformed",
    "*#* | a cause | issue 35,malformed",
    "LifecycleTest#noSuchMethod | a cause | issue 35,names no test",
    "NoSuchTest#followsOneLifecycle | a cause | issue 35,names no test",
    "Lifecycle#markReady | a cause | issue 35,names no test"
  })
  void aLineThatIsNotInOrderFails(String line, String said) throws Exception {
    Ended ended = check(GOOD + line + "\n");
    assertEquals(1, ended.status());
    assertEquals(
        true, ended.said().contains("line 2") && ended.said().contains(said), ended.said());
  }

  @Test
  void aFourthLineFails() throws Exception {
    assertEquals(0, check(GOOD.repeat(3)).status());
    Ended ended = check(GOOD.repeat(4));
    assertEquals(1, ended.status());
    assertEquals(
        true, ended.said().contains("line 4") && ended.said().contains("three"), ended.said());
  }
}
