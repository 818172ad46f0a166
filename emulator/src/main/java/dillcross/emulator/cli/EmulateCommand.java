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

/** The commands of the emulator. */
@Command(
    name = "dillcross",
    mixinStandardHelpOptions = true,
    subcommands = EmulateCommand.Emulate.class,
    description = "The dillcross sidecar's command-line tools.")
final class EmulateCommand implements Runnable {
  private static final int EXIT_CLEAN = 0;
  private static final int EXIT_RULES_BROKEN = 1;
  private static final int EXIT_INVALID_INPUT = 2;
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  @Command(
      name = "emulate",
      mixinStandardHelpOptions = true,
      description =
          "Run sidecars in a deterministic simulation, with faults drawn from seeds, and check rules.",
      exitCodeListHeading = "%nExit status:%n",
      exitCodeList = {"0:no rule broken", "1:rules broken", "2:invalid input"})
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
        description = "Run a scenario with one seed and print a summary.")
    int run(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seed", required = true, paramLabel = "N") long seed,
        @Option(
                names = "--trace",
                paramLabel = "FILE",
                description = "Write all trace events to this file, as JSON lines.")
            Path trace)
        throws IOException, InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      Simulation.Result result;
      try (OutputStream traceOutput =
          trace == null
              ? OutputStream.nullOutputStream()
              : new BufferedOutputStream(Files.newOutputStream(trace))) {
        result =
            Simulation.run(
                scenario,
                seed,
                FaultInjector.draw(scenario, RandomStream.of(seed)),
                traceOutput,
                null);
      } catch (IOException e) {
        System.err.println("dillcross: cannot write the trace: " + e);
        return EXIT_INVALID_INPUT;
      }
      printSummary(scenario, result, System.out);
      return result.clean() ? EXIT_CLEAN : EXIT_RULES_BROKEN;
    }

    @Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Run a scenario with many seeds and list those that break a rule.")
    int sweep(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seeds", required = true, paramLabel = "A..B") String seeds,
        @Option(
                names = "--jobs",
                paramLabel = "J",
                description = "Number of threads (default: number of cores).")
            Integer jobs,
        @Option(names = "--quiet", description = "Print no progress reports.") boolean quiet)
        throws InterruptedException, InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      Seeds seedRange = Seeds.of(seeds, 18);
      int cores = jobs == null ? Runtime.getRuntime().availableProcessors() : jobs;
      if (cores < 1) {
        System.err.println("dillcross: --jobs must be at least 1");
        return EXIT_INVALID_INPUT;
      }
      long[] progress = {0, System.nanoTime()}; // finished runs; time in ns of the last report
      double[] values = {0, 0}; // sums of the earned and of the possible value
      Sweep.Result total =
          new Sweep(
                  scenario,
                  cores,
                  result -> {
                    progress[0]++;
                    values[0] += result.earnedValue();
                    values[1] += result.possibleValue();
                    if (!result.clean()) {
                      System.out.println(
                          "seed "
                              + result.seed()
                              + "  violations "
                              + result.violationCount()
                              + "  "
                              + result.violations().get(0).toString().strip());
                    }
                    if (!quiet && System.nanoTime() - progress[1] > 2_000_000_000L) {
                      progress[1] = System.nanoTime();
                      System.err.println(progress[0] + " of " + seedRange.count() + " seeds");
                    }
                  })
              .run(seedRange.from(), seedRange.to());
      double s = total.ns() / 1e9;
      System.out.printf(
          Locale.ROOT,
          "%.1f s with %d jobs, %.0f s simulated: %.0f seeds, %.0f steps, %.0f turns, %.0f ops a second%n",
          s,
          cores,
          total.simulatedUs() / 1e6,
          total.seeds() / s,
          total.steps() / s,
          total.iterations() / s,
          total.requests() / s);
      System.out.printf(
          Locale.ROOT,
          "steps %d  ops %d  benefit %.4f of what was asked for%n",
          total.steps(),
          total.requests(),
          values[0] / Math.max(1e-9, values[1]));
      System.out.println(total.digest());
      System.out.println("seeds " + total.seeds() + " violations " + total.violations());
      return total.violations() == 0 ? EXIT_CLEAN : EXIT_RULES_BROKEN;
    }

    @Command(
        name = "shrink",
        mixinStandardHelpOptions = true,
        description = "Reduce a failing run to few faults, and write a scenario that repeats it.")
    int shrink(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seed", required = true, paramLabel = "N") long seed,
        @Option(
                names = "--out",
                paramLabel = "FILE",
                description = "File to write the scenario to (default: standard output).")
            Path out)
        throws IOException, InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      Shrink.Result reduced = Shrink.of(scenario, seed, System.err::println);
      if (reduced == null) {
        System.out.println("seed " + seed + " breaks no rule");
        return EXIT_CLEAN;
      }
      String text = Shrink.write(Files.readString(file, StandardCharsets.UTF_8), reduced);
      if (out == null) {
        System.out.print(text);
      } else {
        try {
          Files.writeString(out, text);
        } catch (IOException e) {
          System.err.println("dillcross: cannot write the scenario: " + e);
          return EXIT_INVALID_INPUT;
        }
      }
      System.err.printf(
          Locale.ROOT,
          "%d of %d faults and %s s remain after %d runs; with --seed %d it breaks: %s%n",
          reduced.faults().size(),
          reduced.before(),
          reduced.seconds(),
          reduced.runs(),
          reduced.seed(),
          reduced.rule().description);
      return EXIT_RULES_BROKEN;
    }

    @Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
            "Simulate the membership protocol under network and process faults; print a table of detection times, false detections and convergence.")
    int members(
        @Option(
                names = "--members",
                defaultValue = "60",
                paramLabel = "N",
                description = "Number of members (4 to 4000; default: 60).")
            int members,
        @Option(names = "--seeds", defaultValue = "1..10", paramLabel = "A..B") String seeds,
        @Option(
                names = "--fault",
                paramLabel = "WORD",
                description =
                    "none, loss30, one-way, flapping-cut, halves, pauses, slow or all (default: a row for each of these).")
            String fault,
        @Option(names = "--jobs", paramLabel = "J") Integer jobs)
        throws InterruptedException, InvalidScenarioException {
      Seeds seedRange = Seeds.of(seeds, 9);
      List<MembershipTrial.Fault> faults =
          java.util.Arrays.stream(MembershipTrial.Fault.values())
              .filter(f -> fault == null || f.word().equals(fault))
              .toList();
      if (members < 4 || members > 4000 || faults.isEmpty()) {
        System.err.println(
            "dillcross: "
                + (faults.isEmpty()
                    ? "--fault: unknown fault " + fault
                    : "--members must be from 4 to 4000"));
        return EXIT_INVALID_INPUT;
      }
      int cores = jobs == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, jobs);
      return MembershipTrial.table(
              members, seedRange.from(), seedRange.to(), faults, cores, System.out::println)
          ? EXIT_CLEAN
          : EXIT_RULES_BROKEN;
    }

    @Command(
        name = "crossings",
        mixinStandardHelpOptions = true,
        description =
            "Run all ordered pairs of fault kinds, timed relative to the stages of a request, or random triples of them.")
    int crossings(
        @Parameters(
                paramLabel = "SCENARIO",
                arity = "0..*",
                description =
                    "Scenarios without [[trouble]] sections (default: scenarios/crossings.toml and crossings-strict.toml).")
            List<Path> files,
        @Option(
                names = "--pairs",
                paramLabel = "A,B",
                description =
                    "Run this pair only, in this order (a fault kind, or one with its mode as in resets-before).")
            String pair,
        @Option(
                names = "--triples",
                paramLabel = "A..B",
                description = "Run random triples drawn with the seeds A to B, and no pairs.")
            String triples,
        @Option(
                names = "--brief",
                description =
                    "Run each pair once, with stages and offsets in rotation, instead of at all of them.")
            boolean brief,
        @Option(names = "--seed", defaultValue = "1", paramLabel = "N") long seed,
        @Option(
                names = "--out",
                paramLabel = "DIR",
                description = "Write runs that break a rule to this directory, as scenarios.")
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
          ? EXIT_CLEAN
          : EXIT_RULES_BROKEN;
    }

    @Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "List the events of one request, and the faults around it.")
    int explain(
        @Parameters(paramLabel = "SCENARIO") Path file,
        @Option(names = "--seed", required = true, paramLabel = "N") long seed,
        @Option(
                names = "--op",
                paramLabel = "ID",
                description = "Request id (default: the first that broke a rule).")
            String request)
        throws InvalidScenarioException {
      Scenario scenario = ScenarioReader.read(file);
      List<String> lines = Explain.of(scenario, seed, request);
      if (lines.isEmpty()) {
        System.err.println(
            "dillcross: "
                + (request == null
                    ? "no request broke a rule; select one with --op"
                    : "the run has no request " + request));
        return EXIT_INVALID_INPUT;
      }
      lines.forEach(System.out::println);
      return lines.get(lines.size() - 1).startsWith("broke: ") ? EXIT_RULES_BROKEN : EXIT_CLEAN;
    }
  }

  private static void printSummary(Scenario scenario, Simulation.Result result, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%s, seed %d: %.1f s simulated, %d steps, %d turns of %d sidecars%n",
        scenario.name(),
        result.seed(),
        result.simulatedUs() / 1e6,
        result.steps(),
        result.iterations(),
        scenario.sidecars().count());
    for (Drawn drawn : result.faults()) {
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
        result.requests(),
        result.succeeded(),
        result.inTime(),
        result.rejected(),
        result.failed(),
        result.excused(),
        result.notAccepted(),
        result.retries(),
        result.attempts(),
        result.restarts());
    out.printf(
        Locale.ROOT,
        "benefit %.4f of what was asked for%n",
        result.earnedValue() / Math.max(1e-9, result.possibleValue()));
    result.violations().forEach(out::println);
    out.println(result.digest());
    out.println("violations " + result.violationCount());
  }
}
