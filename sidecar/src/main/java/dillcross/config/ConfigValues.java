package dillcross.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Configuration values by path, from pairs or from a JSON file, as text. Unknown keys are skipped.
 * Every method that takes a path throws {@link InvalidConfigException}, which names it, where the
 * value can't be read as asked for.
 */
public final class ConfigValues {
  private static final String ENVIRONMENT_PREFIX = "NODE_";
  private static final String FILE_VARIABLE = ENVIRONMENT_PREFIX + "CONFIG";
  private static final String ABSENT = "-";
  private static final double MAX_NUMBER = 1e15;
  private static final int MICROS_PER_MILLI = 1000;

  private final Map<String, String> values;
  private final Map<?, ?> tree;
  private final String prefix; // where the paths begin in the complete configuration, for messages

  private ConfigValues(Map<String, String> values, Map<?, ?> tree, String prefix) {
    this.values = values;
    this.tree = tree;
    this.prefix = prefix;
  }

  /** Values from pairs of path and text. */
  public static ConfigValues ofPairs(Map<String, String> pairs) {
    return new ConfigValues(pairs, Map.of(), "");
  }

  /** The configuration file that the environment names. */
  public static String fileNamedBy(Map<String, String> environment) {
    String file = environment.get(FILE_VARIABLE);
    if (file == null || file.isEmpty()) {
      throw new InvalidConfigException(FILE_VARIABLE, "is missing");
    }
    return file;
  }

  /** Values from a JSON file; the environment stands in for keys that it leaves out. */
  public static ConfigValues fromFile(String file, Map<String, String> environment) {
    Map<String, String> values = new HashMap<>();
    environment.forEach(
        (variable, value) -> {
          if (variable.startsWith(ENVIRONMENT_PREFIX)) {
            String key = variable.substring(ENVIRONMENT_PREFIX.length());
            values.put(key.toLowerCase(Locale.ROOT), value);
          }
        });
    Map<?, ?> tree = readObject(file);
    flatten("", tree, values);
    return new ConfigValues(values, tree, "");
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

  /** The length of a list goes under {@code .count}, its items under {@code .0} and onward. */
  private static void flatten(String path, Object value, Map<String, String> into) {
    String start = path.isEmpty() ? "" : path + ".";
    if (value instanceof Map<?, ?> object) {
      object.forEach((key, item) -> flatten(start + key, item, into));
    } else if (value instanceof List<?> list) {
      into.put(start + "count", String.valueOf(list.size()));
      for (int i = 0; i < list.size(); i++) {
        flatten(start + i, list.get(i), into);
      }
    } else if (value != null) {
      into.put(path, String.valueOf(value));
    }
  }

  /** What stands below a path, with paths that begin there. */
  public ConfigValues below(String path) {
    Map<String, String> part = new HashMap<>();
    values.forEach(
        (key, value) -> {
          if (key.startsWith(path + ".")) {
            part.put(key.substring(path.length() + 1), value);
          }
        });
    Map<?, ?> subtree = tree.get(path) instanceof Map<?, ?> object ? object : Map.of();
    return new ConfigValues(part, subtree, prefix + path + ".");
  }

  /** As it stands in the JSON file; empty where the values are not from one. */
  Map<?, ?> tree() {
    return tree;
  }

  /** All paths that have a value. */
  Set<String> paths() {
    return values.keySet();
  }

  /** Whether the same stands at and below a path in both. */
  public boolean isSame(ConfigValues other, String path) {
    return Objects.equals(values.get(path), other.values.get(path))
        && below(path).values.equals(other.below(path).values);
  }

  boolean has(String path) {
    return find(path).isPresent();
  }

  /** The value, which has to be there. */
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
   * One of the known words, the first where it is absent: a wrong one must not pass as a default.
   */
  String word(String path, String... known) {
    String word = find(path).orElse(known[0]);
    if (!List.of(known).contains(word)) {
      throw invalid(path, "unknown word: " + word + "; known are " + String.join(", ", known));
    }
    return word;
  }

  /** The length of a list. */
  int count(String path) {
    checkSection(path);
    return integer(path + ".count", 0, 0);
  }

  /** Throws where a plain value stands in place of a list or an object. */
  void checkSection(String path) {
    plainValue(path)
        .ifPresent(
            value -> {
              throw invalid(path, "is a plain value: " + value);
            });
  }

  int integer(String path, int defaultValue, int min) {
    double number = number(path, defaultValue);
    if (number != Math.rint(number) || number < min || number > Integer.MAX_VALUE) {
      throw invalid(path, "out of range: " + find(path).orElse(""));
    }
    return (int) number;
  }

  boolean flag(String path) {
    String value = find(path).orElse("false");
    return switch (value) {
      case "true", "1" -> true;
      case "false", "0" -> false;
      default -> throw invalid(path, "neither true nor false: " + value);
    };
  }

  /** A number of at least 0. */
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

  /** A share of something: 0 to 1. */
  double share(String path, double defaultValue) {
    double share = number(path, defaultValue);
    if (share > 1) {
      throw invalid(path, "out of range: " + share);
    }
    return share;
  }

  /** A duration given in milliseconds, in microseconds. */
  long durationUs(String path, double defaultMs) {
    return Math.round(number(path, defaultMs) * MICROS_PER_MILLI);
  }

  /** A duration above 0. */
  long positiveDurationUs(String path, double defaultMs) {
    long durationUs = durationUs(path, defaultMs);
    if (durationUs < 1) {
      throw invalid(path, "has to be above 0: " + find(path).orElse(""));
    }
    return durationUs;
  }

  InvalidConfigException invalid(String path, String reason) {
    return new InvalidConfigException(prefix + path, reason);
  }
}
