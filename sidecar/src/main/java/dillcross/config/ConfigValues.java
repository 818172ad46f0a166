package dillcross.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Configuration values as text, by path: keys joined by dots, list items counted from 0. They come
 * from key-value pairs or from a JSON file. Unknown keys are ignored. Every method that reads a
 * value throws {@link InvalidConfigException}, which names the path, where the value does not have
 * the requested type. Immutable.
 */
public final class ConfigValues {
  /** Appended to the path of a list: the path under which the list's length is stored. */
  static final String COUNT_SUFFIX = ".count";

  private static final String ABSENT = "-"; // as a value; an empty text counts as absent too
  private static final double MAX_NUMBER = 1e15;
  private static final int MICROS_PER_MILLI = 1000;

  private final Map<String, String> values;
  private final Map<?, ?> json; // the parsed file; empty if the values are pairs
  private final String prefix; // path of this section, for error messages; empty at the top

  private ConfigValues(Map<String, String> values, Map<?, ?> json, String prefix) {
    this.values = values;
    this.json = json;
    this.prefix = prefix;
  }

  /** Values from pairs of path and text. */
  public static ConfigValues ofPairs(Map<String, String> pairs) {
    return new ConfigValues(pairs, Map.of(), "");
  }

  /**
   * Values from a JSON file; the environment supplies keys that the file leaves out.
   *
   * @throws InvalidConfigException if the file can't be read or holds no JSON object
   */
  public static ConfigValues fromFile(String file, Map<String, String> environment) {
    Map<String, String> values = EnvironmentVariables.valuesByKey(environment);
    Map<?, ?> json = readObject(file);
    flatten("", json, values);
    return new ConfigValues(values, json, "");
  }

  private static Map<?, ?> readObject(String file) {
    try {
      Object json = JSON.std.anyFrom(Files.readAllBytes(Path.of(file)));
      if (json instanceof Map<?, ?> object) {
        return object;
      }
      throw new InvalidConfigException(file, "not a JSON object");
    } catch (FileSystemException e) {
      throw new InvalidConfigException(file, "can't be read: " + e);
    } catch (IOException | IllegalArgumentException e) {
      throw new InvalidConfigException(file, "not JSON: " + e.getMessage());
    }
  }

  /** Puts the length of a list under {@code .count} and its items under {@code .0} and so on. */
  private static void flatten(String path, Object value, Map<String, String> into) {
    String start = path.isEmpty() ? "" : path + ".";
    if (value instanceof Map<?, ?> object) {
      object.forEach((key, item) -> flatten(start + key, item, into));
    } else if (value instanceof List<?> list) {
      into.put(path + COUNT_SUFFIX, String.valueOf(list.size()));
      for (int i = 0; i < list.size(); i++) {
        flatten(start + i, list.get(i), into);
      }
    } else if (value != null) {
      into.put(path, String.valueOf(value));
    }
  }

  /** The values below a path, with paths relative to it; empty where there are none. */
  public ConfigValues section(String path) {
    Map<String, String> section = new HashMap<>();
    values.forEach(
        (key, value) -> {
          if (key.startsWith(path + ".")) {
            section.put(key.substring(path.length() + 1), value);
          }
        });
    Map<?, ?> sectionJson = json.get(path) instanceof Map<?, ?> object ? object : Map.of();
    return new ConfigValues(section, sectionJson, prefix + path + ".");
  }

  /** The parsed JSON object; empty where the values are not from a file. */
  Map<?, ?> json() {
    return json;
  }

  /** All paths that have a value. */
  Set<String> paths() {
    return values.keySet();
  }

  /** Whether the value at the path and all values below it equal those of {@code other}. */
  public boolean isSame(ConfigValues other, String path) {
    return Objects.equals(values.get(path), other.values.get(path))
        && section(path).values.equals(other.section(path).values);
  }

  boolean has(String path) {
    return find(path).isPresent();
  }

  /** The value; throws {@link InvalidConfigException} where it is absent. */
  public String require(String path) {
    return find(path).orElseThrow(() -> invalid(path, "is missing"));
  }

  /** The value; empty where it is absent. */
  Optional<String> find(String path) {
    Optional<String> value = plainValue(path);
    if (value.isEmpty() && values.keySet().stream().anyMatch(key -> key.startsWith(path + "."))) {
      throw invalid(path, "is a list or an object and not a plain value");
    }
    return value;
  }

  private Optional<String> plainValue(String path) {
    return Optional.ofNullable(values.get(path))
        .filter(value -> !value.isEmpty() && !value.equals(ABSENT));
  }

  /**
   * The value, one of the known words; the first of them where it is absent. Any other word is
   * invalid, as a misspelt one must not count as the default.
   */
  String keyword(String path, String... known) {
    String word = find(path).orElse(known[0]);
    if (!List.of(known).contains(word)) {
      throw invalid(path, "unknown word: " + word + "; known are " + String.join(", ", known));
    }
    return word;
  }

  /** The length of a list; 0 where it is absent. */
  int count(String path) {
    checkSection(path);
    return integer(path + COUNT_SUFFIX, 0, 0);
  }

  /**
   * Throws {@link InvalidConfigException} if the path holds a plain value instead of a list or an
   * object; an absent value is valid.
   */
  void checkSection(String path) {
    plainValue(path)
        .ifPresent(
            value -> {
              throw invalid(path, "is a plain value: " + value);
            });
  }

  /** A whole number of at least {@code min}; {@code defaultValue} where it is absent. */
  int integer(String path, int defaultValue, int min) {
    double number = number(path, defaultValue);
    if (number != Math.rint(number) || number < min || number > Integer.MAX_VALUE) {
      throw invalid(path, "out of range: " + find(path).orElse(""));
    }
    return (int) number;
  }

  /** True or false; false where it is absent. */
  boolean flag(String path) {
    String value = find(path).orElse("false");
    return switch (value) {
      case "true", "1" -> true;
      case "false", "0" -> false;
      default -> throw invalid(path, "neither true nor false: " + value);
    };
  }

  /** A number of at least 0; {@code defaultValue} where it is absent. */
  double number(String path, double defaultValue) {
    Optional<String> value = find(path);
    double number;
    try {
      number = value.isEmpty() ? defaultValue : Double.parseDouble(value.get());
    } catch (NumberFormatException e) {
      throw invalid(path, "not a number: " + value.get());
    }
    if (!(number >= 0 && number < MAX_NUMBER)) {
      throw invalid(path, "out of range: " + value.orElse(null));
    }
    return number;
  }

  /** A number from 0 to 1; {@code defaultValue} where it is absent. */
  double fraction(String path, double defaultValue) {
    double fraction = number(path, defaultValue);
    if (fraction > 1) {
      throw invalid(path, "out of range: " + fraction);
    }
    return fraction;
  }

  /** A duration, converted from milliseconds to microseconds. */
  long durationUs(String path, double defaultMs) {
    return Math.round(number(path, defaultMs) * MICROS_PER_MILLI);
  }

  /** A duration above 0, converted from milliseconds to microseconds. */
  long positiveDurationUs(String path, double defaultMs) {
    long durationUs = durationUs(path, defaultMs);
    if (durationUs < 1) {
      throw invalid(path, "has to be above 0: " + find(path).orElse(""));
    }
    return durationUs;
  }

  /** The path without the suffix under which a list's length is stored, if it has that suffix. */
  static String withoutCount(String path) {
    return path.endsWith(COUNT_SUFFIX)
        ? path.substring(0, path.length() - COUNT_SUFFIX.length())
        : path;
  }

  InvalidConfigException invalid(String path, String reason) {
    return new InvalidConfigException(prefix + path, reason);
  }
}
