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

/** The command line of the rig. */
@Command(
    name = "dillcross",
    mixinStandardHelpOptions = true,
    subcommands = FleetCommand.OfFleet.class,
    description = "dillcross and its tools.")
final class FleetCommand implements Runnable {
  private static final int CLEAN = 0;
  private static final int BROKEN = 1;
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  @SuppressWarnings("SystemConsoleNull") // on Java 17 null tells that it is no terminal
  @Command(
      name = "demo",
      mixinStandardHelpOptions = true,
      description =
          "Show it at work: a small fleet on loopback in which things fail; half a minute.")
  int demo(
      @Option(
              names = "--out",
              paramLabel = "DIR",
              description = "Where the report goes (default: a new folder for passing files).")
          Path out,
      @Option(names = "--plain", description = "Lines, also in a terminal.") boolean plain)
      throws Exception {
    Path folder = out == null ? Files.createTempDirectory("dillcross-demo") : out;
    return new Demo(System.out, !plain && System.console() != null).play(folder, 1)
        ? CLEAN
        : BROKEN;
  }

  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description = "Start many real sidecars on loopback, and put faults between them.",
      exitCodeListHeading = "%nExit status:%n",
      exitCodeList = {"0:clean", "1:violations", "2:faulty input"})
  static final class OfFleet implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new CommandLine.ParameterException(spec.commandLine(), "Missing command: run or sweep");
    }

    @Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Play one experiment; rows, timeline, a chart and a report go to a folder.")
    int run(
        @Parameters(paramLabel = "EXPERIMENT") Path file,
        @Option(names = "--seed", defaultValue = "1", paramLabel = "N") long seed,
        @Option(names = "--out", required = true, paramLabel = "DIR") Path out)
        throws Exception {
      ExperimentRun.Result result = new ExperimentRun(Experiment.read(file), seed, out).play();
      Report.write(result, out);
      Files.writeString(out.resolve("summary.txt"), Report.text(result));
      System.out.print(Report.text(result));
      return result.violations().isEmpty() ? CLEAN : BROKEN;
    }

    @Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
            "Load sidecars with membership and without in the same run; prints what it costs them.")
    int compare(
        @Option(
                names = "--sidecars",
                defaultValue = "12",
                paramLabel = "N",
                description = "Of each kind (3 to 30; default: 12).")
            int sidecars,
        @Option(names = "--seconds", defaultValue = "30", paramLabel = "S") int seconds,
        @Option(
                names = "--rate",
                defaultValue = "20",
                paramLabel = "R",
                description = "Ops a second to each.")
            double rate,
        @Option(names = "--out", required = true, paramLabel = "DIR") Path out)
        throws Exception {
      if (sidecars < 3 || sidecars > 30 || seconds < 1 || rate <= 0 || rate > 1000) {
        throw new InvalidScenarioException(
            List.of(
                "dillcross: --sidecars takes 3 to 30, --seconds 1 at least, --rate up to 1000"));
      }
      return ComparisonRun.play(sidecars, seconds, rate, out, System.out) ? CLEAN : BROKEN;
    }

    @Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Play many seeds of one experiment, one after another; prints a row of all.")
    int sweep(
        @Parameters(paramLabel = "EXPERIMENT") Path file,
        @Option(names = "--seeds", required = true, paramLabel = "A..B") String seeds,
        @Option(names = "--out", required = true, paramLabel = "DIR") Path out)
        throws Exception {
      Experiment experiment = Experiment.read(file);
      Seeds named = Seeds.of(seeds, 9);
      Histogram detect = new Histogram(3_600_000L, 3);
      Histogram agreed = new Histogram(3_600_000L, 3);
      long broken = 0;
      long wrong = 0;
      double hours = 0;
      double bytes = 0;
      double cpu = 0;
      for (long seed = named.from(); seed <= named.to(); seed++) {
        ExperimentRun.Result result =
            new ExperimentRun(experiment, seed, out.resolve("seed-" + seed)).play();
        Files.writeString(out.resolve("seed-" + seed).resolve("summary.txt"), Report.text(result));
        detect.add(result.detectMs());
        agreed.recordValue(Math.max(0, result.agreedMs()));
        wrong += result.falseDeaths();
        hours += result.memberHours();
        bytes += result.bytesASecond();
        cpu += result.cpuMsASecond();
        broken += result.violations().size();
        for (String violation : result.violations()) {
          System.out.println("seed " + seed + ": " + violation);
        }
        System.err.println("seed " + seed + " of " + named.to() + ": violations " + broken);
      }
      long count = named.count();
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
          wrong / Math.max(1e-9, hours),
          agreed.getValueAtPercentile(50) / 1e3,
          agreed.getMaxValue() / 1e3,
          bytes / count,
          cpu / count,
          broken);
      return broken == 0 ? CLEAN : BROKEN;
    }
  }
}
