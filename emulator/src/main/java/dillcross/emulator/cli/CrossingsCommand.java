package dillcross.emulator.cli;

import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.scenario.Seeds;
import dillcross.emulator.search.Crossings;
import dillcross.emulator.search.Crossings.Case;
import dillcross.emulator.search.Crossings.Variant;
import dillcross.emulator.search.Shrink;
import dillcross.emulator.simulation.Simulation;
import dillcross.emulator.trace.Sha256;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Implements {@code emulate crossings}: runs combinations of faults on several threads. The same
 * arguments give the same runs, reported in the same order.
 */
final class CrossingsCommand {
  private static final long PROGRESS_INTERVAL_NS = 2_000_000_000L;

  private final List<Path> files;
  private final String pair; // the only pair of faults to run; null to run all pairs
  private final Seeds triples; // seeds of the random triples to run; null to run pairs
  private final boolean brief;
  private final long seed;
  private final Path out; // directory for failing scenarios; null to write none
  private final int jobs;
  private long completedRuns;
  private long violations;
  private int writtenScenarios;

  CrossingsCommand(
      List<Path> files, String pair, Seeds triples, boolean brief, long seed, Path out, int jobs) {
    this.files = files;
    this.pair = pair;
    this.triples = triples;
    this.brief = brief;
    this.seed = seed;
    this.out = out;
    this.jobs = jobs;
  }

  /**
   * Runs all combinations.
   *
   * @param report receives the results, whose digest is compared between builds
   * @param progress receives progress reports
   * @return whether no run broke a rule
   */
  boolean run(PrintStream report, PrintStream progress)
      throws InterruptedException, IOException, InvalidScenarioException {
    List<Variant> known = Crossings.variants();
    List<Variant> first = known;
    List<Variant> second = known;
    if (pair != null) {
      String[] names = pair.split(",", -1);
      if (names.length != 2) {
        throw new InvalidScenarioException(
            List.of("dillcross: --pairs requires two fault kinds as A,B; got " + pair));
      }
      first = named(known, names[0]);
      second = named(known, names[1]);
    }
    MessageDigest digest = Sha256.newDigest();
    for (Path file : files) {
      Scenario scenario = ScenarioReader.read(file);
      if (!scenario.faults().isEmpty()) {
        throw new InvalidScenarioException(
            List.of(
                file
                    + ": declares faults ([[trouble]]); crossings requires a scenario without them"));
      }
      Crossings crossings = new Crossings(scenario, seed);
      List<Case> cases =
          triples == null ? crossings.pairs(first, second, !brief) : new ArrayList<>();
      for (long n = triples == null ? 1 : triples.from();
          triples != null && n <= triples.to();
          n++) {
        cases.add(crossings.triple(n));
      }
      runAll(file, crossings, cases, digest, report, progress);
    }
    report.println(Sha256.format(digest));
    report.println("crossings " + completedRuns + " violations " + violations);
    return violations == 0;
  }

  private static List<Variant> named(List<Variant> known, String name)
      throws InvalidScenarioException {
    List<Variant> found =
        known.stream().filter(v -> v.word().equals(name) || v.kind().word().equals(name)).toList();
    if (found.isEmpty()) {
      throw new InvalidScenarioException(
          List.of(
              "dillcross: --pairs: unknown fault kind "
                  + name
                  + "; known kinds: "
                  + String.join(", ", known.stream().map(Variant::word).toList())));
    }
    return found;
  }

  private void runAll(
      Path file,
      Crossings crossings,
      List<Case> cases,
      MessageDigest digest,
      PrintStream report,
      PrintStream progress)
      throws InterruptedException, IOException {
    ExecutorService threads = Executors.newFixedThreadPool(jobs);
    try {
      List<Future<Simulation.Result>> runs =
          cases.stream().map(one -> threads.submit(() -> crossings.run(one))).toList();
      long reportedNs = System.nanoTime();
      for (int i = 0; i < cases.size(); i++) {
        Simulation.Result result = runs.get(i).get();
        digest.update(result.digest().getBytes(StandardCharsets.US_ASCII));
        completedRuns++;
        violations += result.violationCount();
        if (!result.clean()) {
          report.println(
              cases.get(i).name()
                  + "  violations "
                  + result.violationCount()
                  + "  "
                  + result.violations().get(0).toString().strip());
          writeReplay(file, cases.get(i), report);
        }
        if (System.nanoTime() - reportedNs > PROGRESS_INTERVAL_NS) {
          reportedNs = System.nanoTime();
          progress.println((i + 1) + " of " + cases.size() + " crossings of " + file);
        }
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("a simulation run failed: " + e.getCause(), e.getCause());
    } finally {
      threads.shutdownNow();
    }
  }

  /**
   * Writes a failing case as a scenario, and prints the command that runs it again; {@code explain}
   * and {@code shrink} take the same arguments.
   */
  private void writeReplay(Path file, Case failing, PrintStream report) throws IOException {
    if (out != null) {
      Files.createDirectories(out);
      Path to = out.resolve("crossing-" + ++writtenScenarios + ".toml");
      Files.writeString(
          to,
          "# "
              + failing.name()
              + System.lineSeparator()
              + Shrink.write(Files.readString(file), failing.faults()));
      report.println("    bin/dillcross emulate run " + to + " --seed " + failing.seed());
    }
  }
}
