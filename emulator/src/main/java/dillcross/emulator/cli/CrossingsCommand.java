package dillcross.emulator.cli;

import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.scenario.Seeds;
import dillcross.emulator.search.Crossings;
import dillcross.emulator.search.Crossings.Case;
import dillcross.emulator.search.Crossings.Event;
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
 * One call of {@code emulate crossings}: what is played is the same for the same words, and told in
 * the same order.
 */
final class CrossingsCommand {
  private static final long PROGRESS_NS = 2_000_000_000L;

  private final List<Path> files;
  private final String pair; // null for all
  private final Seeds triples; // null for pairs
  private final boolean brief;
  private final long seed;
  private final Path out; // null where nothing is written
  private final int jobs;
  private long played;
  private long violations;
  private int written;

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

  /** Whether all of it was clean. */
  boolean run(PrintStream say, PrintStream progress)
      throws InterruptedException, IOException, InvalidScenarioException {
    List<Event> known = Crossings.events();
    List<Event> first = known;
    List<Event> second = known;
    if (pair != null) {
      String[] words = pair.split(",", -1);
      if (words.length != 2) {
        throw new InvalidScenarioException(
            List.of("dillcross: --pairs takes two kinds as A,B, and not " + pair));
      }
      first = named(known, words[0]);
      second = named(known, words[1]);
    }
    MessageDigest digest = Sha256.newDigest();
    for (Path file : files) {
      Scenario scenario = ScenarioReader.read(file);
      if (!scenario.faults().isEmpty()) {
        throw new InvalidScenarioException(
            List.of(file + ": has troubles of its own, and crossings brings them"));
      }
      Crossings crossings = new Crossings(scenario, seed);
      List<Case> cases =
          triples == null ? crossings.pairs(first, second, !brief) : new ArrayList<>();
      for (long n = triples == null ? 1 : triples.from();
          triples != null && n <= triples.to();
          n++) {
        cases.add(crossings.triple(n));
      }
      play(file, crossings, cases, digest, say, progress);
    }
    say.println(Sha256.format(digest));
    say.println("crossings " + played + " violations " + violations);
    return violations == 0;
  }

  private static List<Event> named(List<Event> known, String word) throws InvalidScenarioException {
    List<Event> found =
        known.stream().filter(e -> e.word().equals(word) || e.kind().word().equals(word)).toList();
    if (found.isEmpty()) {
      throw new InvalidScenarioException(
          List.of(
              "dillcross: --pairs knows no "
                  + word
                  + "; known are "
                  + String.join(", ", known.stream().map(Event::word).toList())));
    }
    return found;
  }

  private void play(
      Path file,
      Crossings crossings,
      List<Case> cases,
      MessageDigest digest,
      PrintStream say,
      PrintStream progress)
      throws InterruptedException, IOException {
    ExecutorService threads = Executors.newFixedThreadPool(jobs);
    try {
      List<Future<Simulation.Result>> days =
          cases.stream().map(one -> threads.submit(() -> crossings.play(one))).toList();
      long reportedNs = System.nanoTime();
      for (int i = 0; i < cases.size(); i++) {
        Simulation.Result day = days.get(i).get();
        digest.update(day.digest().getBytes(StandardCharsets.US_ASCII));
        played++;
        violations += day.violationCount();
        if (!day.clean()) {
          say.println(
              cases.get(i).name()
                  + "  violations "
                  + day.violationCount()
                  + "  "
                  + day.violations().get(0).toString().strip());
          replay(file, cases.get(i), say);
        }
        if (System.nanoTime() - reportedNs > PROGRESS_NS) {
          reportedNs = System.nanoTime();
          progress.println((i + 1) + " of " + cases.size() + " crossings of " + file);
        }
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("a day failed: " + e.getCause(), e.getCause());
    } finally {
      threads.shutdownNow();
    }
  }

  /** The line that plays it again; `explain` and `shrink` take the same words. */
  private void replay(Path file, Case one, PrintStream say) throws IOException {
    if (out != null) {
      Files.createDirectories(out);
      Path to = out.resolve("crossing-" + ++written + ".toml");
      Files.writeString(
          to,
          "# "
              + one.name()
              + System.lineSeparator()
              + Shrink.write(Files.readString(file), one.faults()));
      say.println("    bin/dillcross emulate run " + to + " --seed " + one.seed());
    }
  }
}
