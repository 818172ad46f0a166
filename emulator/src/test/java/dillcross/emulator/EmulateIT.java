package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the emulator's commands from the packaged program, each in a process of its own. */
class EmulateIT {
  @TempDir private Path folder;

  /** Runs a command; returns the lines that it printed, and {@code status N} as the last one. */
  private List<String> dillcross(String... arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of("../bin/dillcross", "emulate"));
    command.addAll(List.of(arguments));
    Path output = Files.createTempFile(folder, "output", ".txt");
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    int status = process.waitFor();
    List<String> lines = new ArrayList<>(Files.readAllLines(output, StandardCharsets.UTF_8));
    lines.add("status " + status);
    return lines;
  }

  private static String last(List<String> lines) {
    return lines.get(lines.size() - 1);
  }

  @Test
  void sweepResultsDoNotDependOnProcessAndThreads() throws IOException, InterruptedException {
    List<String> one =
        dillcross("sweep", "../scenarios/mixed.toml", "--seeds", "1..24", "--jobs", "1", "--quiet");
    List<String> many =
        dillcross("sweep", "../scenarios/mixed.toml", "--seeds", "1..24", "--jobs", "6", "--quiet");
    assertEquals("status 0", last(one));
    assertEquals(
        one.subList(1, one.size()),
        many.subList(1, many.size()),
        "all lines but the first, which has the real duration");
    assertEquals("seeds 24 violations 0", one.get(one.size() - 2));
  }

  @Test
  void traceIsReproducibleAndItsDigestIsPrinted() throws Exception {
    Path a = folder.resolve("a.json");
    Path b = folder.resolve("b.json");
    List<String> first =
        dillcross("run", "../scenarios/mixed.toml", "--seed", "11", "--trace", a.toString());
    dillcross("run", "../scenarios/mixed.toml", "--seed", "11", "--trace", b.toString());
    assertEquals(-1, Files.mismatch(a, b));
    String digest =
        java.util.HexFormat.of()
            .formatHex(
                java.security.MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(a)));
    assertTrue(first.contains("sha256:" + digest), first.toString());
    dillcross("run", "../scenarios/mixed.toml", "--seed", "12", "--trace", b.toString());
    assertNotEquals(-1, Files.mismatch(a, b));
  }

  @Test
  void invalidInputIsReportedWithStatusTwo() throws IOException, InterruptedException {
    Path bad =
        Files.writeString(folder.resolve("bad.toml"), "second = 1\n[[category]]\nname = \"a\"\n");
    assertEquals(
        List.of(bad + ":1: second: unknown key; did you mean seconds?", "status 2"),
        dillcross("run", bad.toString(), "--seed", "1"));
    assertEquals(
        "status 2", last(dillcross("run", folder.resolve("none.toml").toString(), "--seed", "1")));
    assertEquals("status 2", last(dillcross("run", "../scenarios/calm.toml")));
    assertEquals(
        "status 2",
        last(
            dillcross(
                "run",
                "../scenarios/calm.toml",
                "--seed",
                "1",
                "--trace",
                folder.resolve("no/such").toString())));
    assertEquals("status 2", last(dillcross("sweep", "../scenarios/calm.toml", "--seeds", "3")));
    assertEquals("status 2", last(dillcross("sweep", "../scenarios/calm.toml", "--seeds", "3..1")));
    assertEquals(
        "status 2",
        last(dillcross("sweep", "../scenarios/calm.toml", "--seeds", "1..2", "--jobs", "0")));
    assertEquals(
        "status 2",
        last(dillcross("explain", "../scenarios/calm.toml", "--seed", "1", "--op", "none")));
    assertEquals("status 2", last(dillcross()));
  }

  /**
   * Runs every ordered pair of fault variants once on each scenario, and some triples: no rule is
   * broken, and a second call prints the same digest.
   */
  @Test
  void combinationsOfFaultsBreakNoRule() throws IOException, InterruptedException {
    String[] files = {"../scenarios/crossings.toml", "../scenarios/crossings-strict.toml"};
    List<String> pairs = dillcross("crossings", files[0], files[1], "--brief");
    int variants = dillcross.emulator.search.Crossings.variants().size();
    assertEquals("status 0", last(pairs), pairs.toString());
    assertEquals(
        "crossings " + 2 * variants * variants + " violations 0", pairs.get(pairs.size() - 2));
    List<String> triples =
        dillcross("crossings", files[0], files[1], "--triples", "1..150", "--jobs", "2");
    assertEquals("status 0", last(triples), triples.toString());
    assertEquals("crossings 300 violations 0", triples.get(triples.size() - 2));
    List<String> again = dillcross("crossings", files[0], files[1], "--triples", "1..150");
    assertEquals(
        triples.get(triples.size() - 3), again.get(again.size() - 3), "digest of all runs");
  }

  @Test
  void failingCombinationIsPrintedWithTheCommandThatRepeatsIt()
      throws IOException, InterruptedException {
    // Without slack, an answer that is one event loop iteration late breaks a rule.
    Path strict =
        Files.writeString(
            folder.resolve("strict.toml"),
            Files.readString(Path.of("../scenarios/crossings.toml"))
                    .replace("start_ms = [50, 200]", "start_ms = [50, 200]\nturn_us = 20000")
                + "\n[rules]\nanswer_slack_ms = 0\n");
    Path out = folder.resolve("out");
    List<String> found =
        dillcross(
            "crossings", strict.toString(), "--pairs", "silence,slow", "--out", out.toString());
    assertEquals("status 1", last(found));
    String replay =
        found.stream()
            .filter(line -> line.startsWith("    bin/dillcross emulate run "))
            .findFirst()
            .orElseThrow();
    String[] arguments = replay.strip().split(" ");
    assertEquals("status 1", last(dillcross("run", arguments[3], "--seed", arguments[5])));
    assertEquals("status 1", last(dillcross("shrink", arguments[3], "--seed", arguments[5])));
    List<String> wrong = dillcross("crossings", strict.toString(), "--pairs", "die,nothing");
    assertTrue(
        wrong
            .get(0)
            .startsWith("dillcross: --pairs: unknown fault kind nothing; known kinds: die, vanish"),
        wrong.toString());
    assertEquals("status 2", last(wrong));
    assertEquals("status 2", last(dillcross("crossings", strict.toString(), "--pairs", "die")));
    assertEquals(
        List.of(
            "../scenarios/cold.toml: declares faults ([[trouble]]); crossings requires a scenario without them",
            "status 2"),
        dillcross("crossings", "../scenarios/cold.toml"));
    assertEquals("status 2", last(dillcross("crossings", folder.resolve("none.toml").toString())));
  }

  @Test
  void failingRunIsFoundReducedAndExplained() throws IOException, InterruptedException {
    Path strict =
        Files.writeString(
            folder.resolve("strict.toml"),
            Files.readString(Path.of("../scenarios/cold.toml"))
                .replaceFirst("\n\\[\\[trouble", "\n[rules]\ncold_slack = 0.1\n\n[[trouble"));
    List<String> swept = dillcross("sweep", strict.toString(), "--seeds", "1..40", "--quiet");
    assertEquals("status 1", last(swept));
    String seed = swept.get(0).split(" +")[1];
    List<String> run = dillcross("run", strict.toString(), "--seed", seed);
    assertEquals("status 1", last(run));
    Path reduced = folder.resolve("cut.toml");
    assertEquals(
        "status 1",
        last(dillcross("shrink", strict.toString(), "--seed", seed, "--out", reduced.toString())));
    String again = Files.readString(reduced).replaceFirst("(?s).*?--seed ([0-9]+).*", "$1");
    assertEquals("status 1", last(dillcross("run", reduced.toString(), "--seed", again)));
    List<String> explanation =
        dillcross("explain", reduced.toString(), "--seed", again, "--op", "s0-1");
    assertTrue(
        explanation.get(0).startsWith("op s0-1, seed ")
            && explanation.stream().anyMatch(line -> line.contains("ANSWERED")),
        explanation.toString());
  }
}
