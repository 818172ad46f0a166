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
 * Cuts a failing day to the fewest troubles that still break the same rule: leaves out halves,
 * quarters and then single ones (delta debugging) until none can go, then shortens the day and
 * those that are left.
 */
public final class Shrink {
  private static final int OTHERS = 12; // seeds that are tried beside the one that still fails

  private final Scenario scenario;
  private long seed; // for all but the troubles, which are fixed
  private final Rule rule;
  private final Consumer<String> progress;
  private int plays;

  private Shrink(Scenario scenario, long seed, Rule rule, Consumer<String> progress) {
    this.scenario = scenario;
    this.seed = seed;
    this.rule = rule;
    this.progress = progress;
  }

  /** What is left of a failing day. */
  public record Result(
      Rule rule, long seed, double seconds, List<Drawn> faults, int before, int plays) {}

  /** Null where the day breaks no rule. */
  public static Result of(Scenario scenario, long seed, Consumer<String> progress) {
    Simulation.Result first = Simulation.run(scenario, seed);
    if (first.clean()) {
      return null;
    }
    Rule rule = first.violations().get(0).rule();
    Shrink shrink = new Shrink(scenario, seed, rule, progress);
    List<Drawn> few = shrink.fewest(first.faults());
    double seconds = shrink.shortest(few);
    List<Drawn> brief = shrink.briefest(few, seconds);
    return new Result(rule, shrink.seed, seconds, brief, first.faults().size(), shrink.plays);
  }

  private static Scenario lasting(Scenario s, double seconds) {
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

  /** With the seed that failed last, or with one of some others, which then is kept. */
  private boolean fails(List<Drawn> faults, double seconds) {
    Scenario of = lasting(scenario, seconds);
    if (fails(of, seed, faults)) {
      plays++;
      return true;
    }
    plays += 1 + OTHERS;
    OptionalLong other =
        LongStream.rangeClosed(seed + 1, seed + OTHERS)
            .parallel()
            .filter(s -> fails(of, s, faults))
            .min();
    seed = other.orElse(seed);
    return other.isPresent();
  }

  private boolean fails(Scenario of, long with, List<Drawn> faults) {
    return Simulation.run(of, with, faults, OutputStream.nullOutputStream(), null)
        .violations()
        .stream()
        .anyMatch(v -> v.rule() == rule);
  }

  private List<Drawn> fewest(List<Drawn> all) {
    List<Drawn> left = new ArrayList<>(all);
    for (int part = Math.max(1, left.size() / 2); part >= 1; part = part == 1 ? 0 : part / 2) {
      for (int at = 0; at < left.size(); ) {
        List<Drawn> without = new ArrayList<>(left);
        without.subList(at, Math.min(left.size(), at + part)).clear();
        if (fails(without, scenario.seconds())) {
          left = without;
          progress.accept(left.size() + " troubles left");
        } else {
          at += part;
        }
      }
    }
    return left;
  }

  private double shortest(List<Drawn> faults) {
    double seconds = scenario.seconds();
    for (double next = seconds / 2; next >= 0.2 && fails(faults, next); next /= 2) {
      seconds = next;
      progress.accept(seconds + " s left");
    }
    return seconds;
  }

  private List<Drawn> briefest(List<Drawn> faults, double seconds) {
    List<Drawn> left = new ArrayList<>(faults);
    for (int i = 0; i < left.size(); i++) {
      for (long us = left.get(i).forUs() / 2; us >= 1000; us /= 2) {
        Drawn was = left.get(i);
        left.set(i, new Drawn(was.from(), was.atUs(), us, was.target(), was.factor()));
        if (!fails(left, seconds)) {
          left.set(i, was);
          break;
        }
      }
    }
    return left;
  }

  /**
   * A scenario that replays it: the text of the first without its troubles, and those that are
   * left, fixed.
   */
  public static String write(String text, Result result) {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            Locale.ROOT,
            "# Cut by `emulate shrink` from %d troubles; with --seed %d it breaks: %s.%n",
            result.before(),
            result.seed(),
            result.rule().words));
    return out.append(
            write(
                text.replaceFirst("(?m)^seconds *=.*$", "seconds = " + result.seconds()),
                result.faults()))
        .toString();
  }

  /** The text of a scenario with these troubles, fixed, in place of its own. */
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
