package dillcross.emulator.scenario;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Texts of the errors in a scenario file. */
final class ScenarioMessages {
  private static final LevenshteinDistance EDIT_DISTANCE = LevenshteinDistance.getDefaultInstance();
  private static final int MAX_SUGGESTION_DISTANCE = 3;

  /** Whole numbers from this value on are written with an exponent. */
  private static final double MAX_PLAIN_NUMBER = 1e15;

  private ScenarioMessages() {}

  static String outOfRange(double value, double minimum, double maximum) {
    return String.format(
        Locale.ROOT,
        "out of range: %s; from %s to %s",
        format(value),
        format(minimum),
        format(maximum));
  }

  static String unknownChoice(String value, List<String> choices) {
    return "unknown: " + value + "; known are " + String.join(", ", choices);
  }

  /** The error for an unknown key; suggests the most similar known key if one is similar enough. */
  static String unknownKey(String key, Set<String> knownKeys) {
    String suggestion = mostSimilar(key, knownKeys);
    boolean isSimilar = EDIT_DISTANCE.apply(suggestion, key) <= MAX_SUGGESTION_DISTANCE;
    return "unknown key" + (isSimilar ? "; did you mean " + suggestion + "?" : "");
  }

  private static String mostSimilar(String key, Collection<String> knownKeys) {
    return knownKeys.stream()
        .min(
            Comparator.<String>comparingInt(known -> EDIT_DISTANCE.apply(known, key))
                .thenComparing(Comparator.naturalOrder()))
        .orElse("");
  }

  private static String format(double value) {
    boolean isPlain = value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_NUMBER;
    return isPlain ? String.valueOf((long) value) : String.valueOf(value);
  }
}
