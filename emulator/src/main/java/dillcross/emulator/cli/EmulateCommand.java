package dillcross.emulator.cli;

import dillcross.emulator.membership.MembershipTrial;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.scenario.Seeds;
import dillcross.emulator.search.Explain;
import dillcross.emulator.search.Shrink;
import dillcross.emulator.search.Sweep;
import dillcross.emulator.simulation.FaultInjector;
import dillcross.emulator.simulation.Simulation;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line of the emulator. */
@Command(
    name = "dillcross",
    mixinStandardHelpOptions = true,
    subcommands = EmulateCommand.Emulate.class,
    description = "dillcross and its tools.")
final class EmulateCommand implements Runnable {
  private static final int CLEAN = 0;
  private static final int BROKEN = 1;
  private static final int FAULTY = 2;
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  @Command(
      name = "emulate",
      mixinStandardHelpOptions = true,
      description =
          "Play days of the whole program on a virtual clock, against faults drawn from seeds.",
      exitCodeListHeading = "%nExit status:%n",
      exitCodeList = {"0:clean", "1:rules broken", "2:faulty input"})
  static final class Emulate implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "Missing command: run, sweep, shrink, explain, crossings or members");
    }

    @Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Play one day and say what became of it.")
    int run(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seed", required = true, paramLabel = "N") long seed,
        @Option(
                names = "--trace",
                paramLabel = "FILE",
                description = "Write each event there, as JSON lines.")
            Path trace)
        throws IOException, InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      Simulation.Result day;
      try (OutputStream lines =
          trace == null
              ? OutputStream.nullOutputStream()
              : new BufferedOutputStream(Files.newOutputStream(trace))) {
        day =
            Simulation.run(
                scenario, seed, FaultInjector.draw(scenario, RandomStream.of(seed)), lines, null);
      } catch (IOException e) {
        System.err.println("dillcross: the trace can't be written: " + e);
        return FAULTY;
      }
      summary(scenario, day, System.out);
      return day.clean() ? CLEAN : BROKEN;
    }

    @Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Play many seeds; tell which break a rule.")
    int sweep(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seeds", required = true, paramLabel = "A..B") String seeds,
        @Option(
                names = "--jobs",
                paramLabel = "J",
                description = "Days at a time (default: one a core).")
            Integer jobs,
        @Option(names = "--quiet", description = "No progress.") boolean quiet)
        throws InterruptedException, InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      Seeds named = Seeds.of(seeds, 18);
      int cores = jobs == null ? Runtime.getRuntime().availableProcessors() : jobs;
      if (cores < 1) {
        System.err.println("dillcross: --jobs has to be 1 at least");
        return FAULTY;
      }
      long[] state = {0, System.nanoTime()}; // days done, when last told
      double[] values = {0, 0}; // earned, possible
      Sweep.Result all =
          new Sweep(
                  scenario,
                  cores,
                  day -> {
                    state[0]++;
                    values[0] += day.earnedValue();
                    values[1] += day.possibleValue();
                    if (!day.clean()) {
                      System.out.println(
                          "seed "
                              + day.seed()
                              + "  violations "
                              + day.violationCount()
                              + "  "
                              + day.violations().get(0).toString().strip());
                    }
                    if (!quiet && System.nanoTime() - state[1] > 2_000_000_000L) {
                      state[1] = System.nanoTime();
                      System.err.println(state[0] + " of " + named.count() + " seeds");
                    }
                  })
              .play(named.from(), named.to());
      double s = all.ns() / 1e9;
      System.out.printf(
          Locale.ROOT,
          "%.1f s with %d jobs, %.0f s simulated: %.0f seeds, %.0f steps, %.0f turns, %.0f ops a second%n",
          s,
          cores,
          all.simulatedUs() / 1e6,
          all.seeds() / s,
          all.steps() / s,
          all.turns() / s,
          all.requests() / s);
      System.out.printf(
          Locale.ROOT,
          "steps %d  ops %d  benefit %.4f of what was asked for%n",
          all.steps(),
          all.requests(),
          values[0] / Math.max(1e-9, values[1]));
      System.out.println(all.digest());
      System.out.println("seeds " + all.seeds() + " violations " + all.broken());
      return all.broken() == 0 ? CLEAN : BROKEN;
    }

    @Command(
        name = "shrink",
        mixinStandardHelpOptions = true,
        description =
            "Cut a failing day to the fewest troubles, and write a scenario that replays it.")
    int shrink(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seed", required = true, paramLabel = "N") long seed,
        @Option(
                names = "--out",
                paramLabel = "FILE",
                description = "Where to write it (default: standard output).")
            Path out)
        throws IOException, InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      Shrink.Result few = Shrink.of(scenario, seed, System.err::println);
      if (few == null) {
        System.out.println("seed " + seed + " breaks no rule");
        return CLEAN;
      }
      String text = Shrink.write(Files.readString(file, StandardCharsets.UTF_8), few);
      if (out == null) {
        System.out.print(text);
      } else {
        try {
          Files.writeString(out, text);
        } catch (IOException e) {
          System.err.println("dillcross: the scenario can't be written: " + e);
          return FAULTY;
        }
      }
      System.err.printf(
          Locale.ROOT,
          "%d of %d troubles and %s s are left after %d plays; with --seed %d it breaks: %s%n",
          few.faults().size(),
          few.before(),
          few.seconds(),
          few.plays(),
          few.seed(),
          few.rule().words);
      return BROKEN;
    }

    @Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
            "Play memberships of many sidecars under faults; prints a table of what was found, how soon and how wrongly.")
    int members(
        @Option(
                names = "--members",
                defaultValue = "60",
                paramLabel = "N",
                description = "How many (4 to 4000; default: 60).")
            int members,
        @Option(names = "--seeds", defaultValue = "1..10", paramLabel = "A..B") String seeds,
        @Option(
                names = "--fault",
                paramLabel = "WORD",
                description =
                    "none, loss30, one-way, flapping-cut, halves, pauses, slow or all (default: each of them).")
            String fault,
        @Option(names = "--jobs", paramLabel = "J") Integer jobs)
        throws InterruptedException, InvalidScenarioException {
      Seeds named = Seeds.of(seeds, 9);
      List<MembershipTrial.Fault> faults =
          java.util.Arrays.stream(MembershipTrial.Fault.values())
              .filter(f -> fault == null || f.word().equals(fault))
              .toList();
      if (members < 4 || members > 4000 || faults.isEmpty()) {
        System.err.println(
            "dillcross: "
                + (faults.isEmpty() ? "--fault knows no " + fault : "--members takes 4 to 4000"));
        return FAULTY;
      }
      int cores = jobs == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, jobs);
      return MembershipTrial.table(
              members, named.from(), named.to(), faults, cores, System.out::println)
          ? CLEAN
          : BROKEN;
    }

    @Command(
        name = "crossings",
        mixinStandardHelpOptions = true,
        description =
            "Play every ordered pair of kinds of event at moments of one op's life; then triples, drawn by seed.")
    int crossings(
        @Parameters(
                paramLabel = "SCENARIO",
                arity = "0..*",
                description =
                    "Without troubles (default: scenarios/crossings.toml and crossings-strict.toml).")
            List<Path> files,
        @Option(
                names = "--pairs",
                paramLabel = "A,B",
                description =
                    "This pair only, in this order (a kind, or one with its mode: resets-before).")
            String pair,
        @Option(
                names = "--triples",
                paramLabel = "A..B",
                description = "So many triples, drawn by these numbers, and no pairs.")
            String triples,
        @Option(
                names = "--brief",
                description = "Each pair once, at moments and distances by turns.")
            boolean brief,
        @Option(names = "--seed", defaultValue = "1", paramLabel = "N") long seed,
        @Option(
                names = "--out",
                paramLabel = "DIR",
                description = "Write there what breaks a rule, as scenarios.")
            Path out,
        @Option(names = "--jobs", paramLabel = "J") Integer jobs)
        throws InterruptedException, IOException, InvalidScenarioException {
      List<Path> scenarios =
          files == null
              ? List.of(
                  Path.of("scenarios/crossings.toml"), Path.of("scenarios/crossings-strict.toml"))
              : files;
      return new CrossingsCommand(
                  scenarios,
                  pair,
                  triples == null ? null : Seeds.of(triples, 9),
                  brief,
                  seed,
                  out,
                  jobs == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, jobs))
              .run(System.out, System.err)
          ? CLEAN
          : BROKEN;
    }

    @Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Tell the story of one op.")
    int explain(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seed", required = true, paramLabel = "N") long seed,
        @Option(
                names = "--op",
                paramLabel = "ID",
                description = "Which (default: the first that broke a rule).")
            String request)
        throws InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      List<String> lines = Explain.of(scenario, seed, request);
      if (lines.isEmpty()) {
        System.err.println(
            "dillcross: "
                + (request == null
                    ? "no op broke a rule; name one with --op"
                    : "the day has no op " + request));
        return FAULTY;
      }
      lines.forEach(System.out::println);
      return lines.get(lines.size() - 1).startsWith("broke: ") ? BROKEN : CLEAN;
    }
  }

  static void summary(Scenario scenario, Simulation.Result day, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%s, seed %d: %.1f s simulated, %d steps, %d turns of %d sidecars%n",
        scenario.name(),
        day.seed(),
        day.simulatedUs() / 1e6,
        day.steps(),
        day.iterations(),
        scenario.sidecars().count());
    for (Drawn drawn : day.faults()) {
      out.printf(
          Locale.ROOT,
          "%10.1f ms  %s of %s for %.1f ms%n",
          drawn.atUs() / 1000.0,
          drawn.from().kind().word(),
          drawn.target(),
          drawn.forUs() / 1000.0);
    }
    out.printf(
        Locale.ROOT,
        "ops %d: acked %d (in time %d), nacked %d, failed %d, left or ended %d, with no sidecar there %d; tried again %d; pushes %d; restarts %d%n",
        day.requests(),
        day.succeeded(),
        day.inTime(),
        day.rejected(),
        day.failed(),
        day.excused(),
        day.notAccepted(),
        day.retries(),
        day.attempts(),
        day.restarts());
    out.printf(
        Locale.ROOT,
        "benefit %.4f of what was asked for%n",
        day.earnedValue() / Math.max(1e-9, day.possibleValue()));
    day.violations().forEach(out::println);
    out.println(day.digest());
    out.println("violations " + day.violationCount());
  }
}
