package dillcross.emulator;

import dillcross.emulator.scenario.Faulty;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.ScenarioReader;
import dillcross.emulator.world.Day;
import java.nio.file.Path;
import java.util.function.BiFunction;
import java.util.stream.LongStream;

/**
 * Plays seeds of a scenario from 1 on until one breaks a rule. Loaded by itself beside a planted
 * fault, so it speaks the JDK's types alone.
 */
public final class Hunt implements BiFunction<Path, Long, String> {
  private static final int AT_A_TIME = 8;

  /**
   * The first seed that breaks a rule, and which: {@code "seed RULE op: what"}; null where none
   * does.
   */
  @Override
  public String apply(Path file, Long most) {
    try {
      Scenario scenario = ScenarioReader.read(file);
      for (long from = 1; from <= most; from += AT_A_TIME) {
        String first =
            LongStream.range(from, Math.min(most + 1, from + AT_A_TIME))
                .parallel()
                .mapToObj(seed -> Day.play(scenario, seed))
                .filter(day -> !day.clean())
                .min(java.util.Comparator.comparingLong(Day.Result::seed))
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
    } catch (Faulty faulty) {
      throw new IllegalStateException(faulty);
    }
  }
}
