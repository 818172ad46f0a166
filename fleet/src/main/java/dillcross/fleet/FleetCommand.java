package dillcross.fleet;

import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Seeds;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line of the fleet test tool. */
@Command(
    name = "dillcross",
    mixinStandardHelpOptions = true,
    subcommands = FleetCommand.FleetSubcommands.class,
    description = "dillcross and its tools.")
final class FleetCommand implements Runnable {
  private static final int EXIT_OK = 0;
  private static final int EXIT_VIOLATIONS = 1;
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  @SuppressWarnings("SystemConsoleNull") // on Java 17, null means that there is no terminal
  @Command(
      name = "demo",
      mixinStandardHelpOptions = true,
      description = "Run a small fleet on loopback with injected failures; takes half a minute.")
  int demo(
      @Option(
              names = "--out",
              paramLabel = "DIR",
              description = "Directory for the report (default: a new temporary directory).")
          Path out,
      @Option(names = "--plain", description = "Print plain lines even in a terminal.")
          boolean plain)
      throws Exception {
    Path folder = out == null ? Files.createTempDirectory("dillcross-demo") : out;
    return new Demo(System.out, !plain && System.console() != null).run(folder, 1)
        ? EXIT_OK
        : EXIT_VIOLATIONS;
  }

  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description = "Start sidecar processes on loopback and inject faults between them.",
      exitCodeListHeading = "%nExit status:%n",
      exitCodeList = {"0:success", "1:violations found", "2:invalid input"})
  static final class FleetSubcommands implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new CommandLine.ParameterException(spec.commandLine(), "Missing command: run or sweep");
    }

    @Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Run one experiment; writes rows, timeline, chart and report to a directory.")
    int run(
        @Parameters(paramLabel = "EXPERIMENT") Path file,
        @Option(names = "--seed", defaultValue = "1", paramLabel = "N") long seed,
        @Option(names = "--out", required = true, paramLabel = "DIR") Path out)
        throws Exception {
      ExperimentRun.Result result = new ExperimentRun(Experiment.read(file), seed, out).run();
      Report.write(result, out);
      Files.writeString(out.resolve("summary.txt"), Report.text(result));
      System.out.print(Report.text(result));
      return result.violations().isEmpty() ? EXIT_OK : EXIT_VIOLATIONS;
    }

    @Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
            "Put the same load on sidecars with and without membership; prints the cost of membership.")
    int compare(
        @Option(
                names = "--sidecars",
                defaultValue = "12",
                paramLabel = "N",
                description =
                    "Number of sidecars with membership, and of those without (3 to 30; default: 12).")
            int sidecars,
        @Option(names = "--seconds", defaultValue = "30", paramLabel = "S") int seconds,
        @Option(
                names = "--rate",
                defaultValue = "20",
                paramLabel = "R",
                description = "Requests per second to each sidecar.")
            double rate,
        @Option(names = "--out", required = true, paramLabel = "DIR") Path out)
        throws Exception {
      if (sidecars < 3 || sidecars > 30 || seconds < 1 || rate <= 0 || rate > 1000) {
        throw new InvalidScenarioException(
            List.of(
                "dillcross: --sidecars must be 3 to 30, --seconds at least 1, --rate above 0 and at most 1000"));
      }
      return ComparisonRun.run(sidecars, seconds, rate, out, System.out)
          ? EXIT_OK
          : EXIT_VIOLATIONS;
    }

    @Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Run one experiment with each seed in turn; prints one summary row.")
    int sweep(
        @Parameters(paramLabel = "EXPERIMENT") Path file,
        @Option(names = "--seeds", required = true, paramLabel = "A..B") String seeds,
        @Option(names = "--out", required = true, paramLabel = "DIR") Path out)
        throws Exception {
      Experiment experiment = Experiment.read(file);
      Seeds seedRange = Seeds.of(seeds, 9);
      Histogram detect = new Histogram(3_600_000L, 3);
      Histogram agreed = new Histogram(3_600_000L, 3);
      long violations = 0;
      long falseDeaths = 0;
      double memberHours = 0;
      double bytes = 0;
      double cpu = 0;
      for (long seed = seedRange.from(); seed <= seedRange.to(); seed++) {
        ExperimentRun.Result result =
            new ExperimentRun(experiment, seed, out.resolve("seed-" + seed)).run();
        Files.writeString(out.resolve("seed-" + seed).resolve("summary.txt"), Report.text(result));
        detect.add(result.detectMs());
        agreed.recordValue(Math.max(0, result.agreedMs()));
        falseDeaths += result.falseDeaths();
        memberHours += result.memberHours();
        bytes += result.bytesPerSecond();
        cpu += result.cpuMsPerSecond();
        violations += result.violations().size();
        for (String violation : result.violations()) {
          System.out.println("seed " + seed + ": " + violation);
        }
        System.err.println("seed " + seed + " of " + seedRange.to() + ": violations " + violations);
      }
      long count = seedRange.count();
      System.out.println(
          "| experiment | sidecars | seeds | detect p50 | p99 | worst | false deaths an hour | agreed p50 | worst | bytes/s a member | CPU ms/s a member | violations |");
      System.out.printf(
          Locale.ROOT,
          "| %s | %d | %d | %.1f s | %.1f s | %.1f s | %.2f | %.1f s | %.1f s | %.0f | %.1f | %d |%n",
          experiment.name(),
          experiment.sidecars(),
          count,
          detect.getValueAtPercentile(50) / 1e3,
          detect.getValueAtPercentile(99) / 1e3,
          detect.getMaxValue() / 1e3,
          falseDeaths / Math.max(1e-9, memberHours),
          agreed.getValueAtPercentile(50) / 1e3,
          agreed.getMaxValue() / 1e3,
          bytes / count,
          cpu / count,
          violations);
      return violations == 0 ? EXIT_OK : EXIT_VIOLATIONS;
    }
  }
}
