package dillcross.emulator;

import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.simulation.Simulation;
import java.nio.file.Path;
import java.util.function.BiFunction;
import java.util.stream.LongStream;

/**
 * Plays seeds of a scenario from 1 on until one breaks a rule. Loaded by itself beside a planted
 * fault, so it speaks the JDK's types alone.
 */
public final class FaultSearch implements BiFunction<Path, Long, String> {
  private static final int AT_A_TIME = 8;

  /**
   * The first seed that breaks a rule, and which: {@code "seed RULE request: what"}; null where
   * none does.
   */
  @Override
  public String apply(Path file, Long max) {
    try {
      Scenario scenario = ScenarioReader.read(file);
      for (long from = 1; from <= max; from += AT_A_TIME) {
        String first =
            LongStream.range(from, Math.min(max + 1, from + AT_A_TIME))
                .parallel()
                .mapToObj(seed -> Simulation.run(scenario, seed))
                .filter(day -> !day.clean())
                .min(java.util.Comparator.comparingLong(Simulation.Result::seed))
                .map(
                    day ->
                        day.seed()
                            + " "
                            + day.violations().get(0).rule()
                            + " "
                            + day.violations().get(0))
                .orElse(null);
        if (first != null) {
          return first;
        }
      }
      return null;
    } catch (InvalidScenarioException invalid) {
      throw new IllegalStateException(invalid);
    }
  }
}
