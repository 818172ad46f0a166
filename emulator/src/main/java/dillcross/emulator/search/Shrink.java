package dillcross.emulator.search;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.simulation.Simulation;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/**
 * Reduces a failing run to few faults that still break the same rule (delta debugging): removes
 * halves, quarters and then single faults as long as the rule is still broken, then shortens the
 * run and the remaining faults.
 */
public final class Shrink {
  /** Number of further seeds to try when a reduced run no longer fails with the current seed. */
  private static final int ALTERNATIVE_SEEDS = 12;

  private final Scenario scenario;
  private long seed; // the last seed that failed; the faults are fixed and do not depend on it
  private final Rule rule;
  private final Consumer<String> progress;
  private int runs;

  private Shrink(Scenario scenario, long seed, Rule rule, Consumer<String> progress) {
    this.scenario = scenario;
    this.seed = seed;
    this.rule = rule;
    this.progress = progress;
  }

  /**
   * The reduced run.
   *
   * @param rule the rule that it breaks
   * @param seed seed with which it breaks the rule
   * @param seconds virtual duration of the arrivals
   * @param faults the remaining faults
   * @param before number of faults of the original run
   * @param runs number of simulation runs that the reduction took
   */
  public record Result(
      Rule rule, long seed, double seconds, List<Drawn> faults, int before, int runs) {}

  /**
   * Reduces the run of the scenario with that seed.
   *
   * @param progress receives a line of text after each successful reduction
   * @return the reduced run; null if the original run breaks no rule
   */
  public static Result of(Scenario scenario, long seed, Consumer<String> progress) {
    Simulation.Result first = Simulation.run(scenario, seed);
    if (first.clean()) {
      return null;
    }
    Rule rule = first.violations().get(0).rule();
    Shrink shrink = new Shrink(scenario, seed, rule, progress);
    List<Drawn> few = shrink.removeFaults(first.faults());
    double seconds = shrink.shortenRun(few);
    List<Drawn> shortened = shrink.shortenFaults(few, seconds);
    return new Result(rule, shrink.seed, seconds, shortened, first.faults().size(), shrink.runs);
  }

  private static Scenario withSeconds(Scenario s, double seconds) {
    return new Scenario(
        s.name(),
        seconds,
        s.sidecars(),
        s.sidecarSettings(),
        s.requestClasses(),
        s.clients(),
        s.endpoints(),
        s.discovery(),
        s.network(),
        s.rules(),
        s.faults());
  }

  /**
   * Whether the rule is broken with the current seed or one of the next {@link #ALTERNATIVE_SEEDS}
   * seeds. The seed that breaks it becomes the current one.
   */
  private boolean fails(List<Drawn> faults, double seconds) {
    Scenario shortened = withSeconds(scenario, seconds);
    if (fails(shortened, seed, faults)) {
      runs++;
      return true;
    }
    runs += 1 + ALTERNATIVE_SEEDS;
    OptionalLong alternative =
        LongStream.rangeClosed(seed + 1, seed + ALTERNATIVE_SEEDS)
            .parallel()
            .filter(s -> fails(shortened, s, faults))
            .min();
    seed = alternative.orElse(seed);
    return alternative.isPresent();
  }

  private boolean fails(Scenario shortened, long runSeed, List<Drawn> faults) {
    return Simulation.run(shortened, runSeed, faults, OutputStream.nullOutputStream(), null)
        .violations()
        .stream()
        .anyMatch(v -> v.rule() == rule);
  }

  private List<Drawn> removeFaults(List<Drawn> all) {
    List<Drawn> remaining = new ArrayList<>(all);
    for (int size = Math.max(1, remaining.size() / 2); size >= 1; size = size == 1 ? 0 : size / 2) {
      for (int at = 0; at < remaining.size(); ) {
        List<Drawn> without = new ArrayList<>(remaining);
        without.subList(at, Math.min(remaining.size(), at + size)).clear();
        if (fails(without, scenario.seconds())) {
          remaining = without;
          progress.accept(remaining.size() + " faults remain");
        } else {
          at += size;
        }
      }
    }
    return remaining;
  }

  private double shortenRun(List<Drawn> faults) {
    double seconds = scenario.seconds();
    for (double next = seconds / 2; next >= 0.2 && fails(faults, next); next /= 2) {
      seconds = next;
      progress.accept("duration reduced to " + seconds + " s");
    }
    return seconds;
  }

  private List<Drawn> shortenFaults(List<Drawn> faults, double seconds) {
    List<Drawn> remaining = new ArrayList<>(faults);
    for (int i = 0; i < remaining.size(); i++) {
      for (long us = remaining.get(i).forUs() / 2; us >= 1000; us /= 2) {
        Drawn previous = remaining.get(i);
        remaining.set(
            i,
            new Drawn(previous.from(), previous.atUs(), us, previous.target(), previous.factor()));
        if (!fails(remaining, seconds)) {
          remaining.set(i, previous);
          break;
        }
      }
    }
    return remaining;
  }

  /**
   * A scenario file that repeats the reduced run: the text of the original with the reduced
   * duration, and with the remaining faults at fixed times in place of its own.
   */
  public static String write(String text, Result result) {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            Locale.ROOT,
            "# Cut by `emulate shrink` from %d troubles; with --seed %d it breaks: %s.%n",
            result.before(),
            result.seed(),
            result.rule().description));
    return out.append(
            write(
                text.replaceFirst("(?m)^seconds *=.*$", "seconds = " + result.seconds()),
                result.faults()))
        .toString();
  }

  /** The text of a scenario file with the given faults, at fixed times, in place of its own. */
  public static String write(String text, List<Drawn> faults) {
    StringBuilder out = new StringBuilder(ScenarioReader.withoutFaults(text).stripTrailing());
    for (Drawn drawn : faults) {
      Fault fault = drawn.from();
      out.append(
          String.format(
              Locale.ROOT,
              "%n%n[[trouble]]%nid = \"%s\"%nkind = \"%s\"%nat_ms = %s%nfor_ms = %s%ntarget = \"%s\"%nfactor = %s%nshare = %s%nmode = \"%s\"",
              fault.id(),
              fault.kind().word(),
              drawn.atUs() / 1000.0,
              drawn.forUs() / 1000.0,
              drawn.target(),
              drawn.factor(),
              fault.share(),
              fault.mode()));
    }
    return out.append(System.lineSeparator()).toString();
  }
}
