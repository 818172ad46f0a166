package dillcross.emulator;

import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.simulation.Simulation;
import java.nio.file.Path;
import java.util.function.BiFunction;
import java.util.stream.LongStream;

/**
 * Runs a scenario with the seeds from 1 on until one breaks a rule. {@link PlantedFault} loads this
 * class with a class loader of its own, so that its interface uses only types of the JDK.
 */
public final class FaultSearch implements BiFunction<Path, Long, String> {
  private static final int PARALLEL_RUNS = 8;

  /**
   * Searches the seeds from 1 to {@code max}.
   *
   * @return the first seed that breaks a rule, the rule's name and the violation, separated by
   *     spaces; null if no seed breaks a rule
   */
  @Override
  public String apply(Path file, Long max) {
    try {
      Scenario scenario = ScenarioReader.read(file);
      for (long from = 1; from <= max; from += PARALLEL_RUNS) {
        String first =
            LongStream.range(from, Math.min(max + 1, from + PARALLEL_RUNS))
                .parallel()
                .mapToObj(seed -> Simulation.run(scenario, seed))
                .filter(result -> !result.clean())
                .min(java.util.Comparator.comparingLong(Simulation.Result::seed))
                .map(
                    result ->
                        result.seed()
                            + " "
                            + result.violations().get(0).rule()
                            + " "
                            + result.violations().get(0))
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
