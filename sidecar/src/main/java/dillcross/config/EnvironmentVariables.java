package dillcross.config;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** The environment variables that configure a sidecar. An empty variable counts as unset. */
public final class EnvironmentVariables {
  /**
   * {@code NODE_X} supplies the value of key {@code x} where the configuration file leaves it out.
   */
  private static final String PREFIX = "NODE_";

  /** The path of the configuration file. */
  private static final String CONFIG_FILE = PREFIX + "CONFIG";

  /** The path of the operators' file, see {@link OperatorConfig}. */
  private static final String OPERATOR_FILE = PREFIX + "OPERATOR";

  /** The folder for temporary files, which a process has in common with the one it replaces. */
  private static final String TEMPORARY_FOLDER = "TMPDIR";

  private EnvironmentVariables() {}

  /**
   * The configuration file that the environment names.
   *
   * @throws InvalidConfigException if it names none
   */
  public static String configFile(Map<String, String> environment) {
    return nonEmpty(environment, CONFIG_FILE)
        .orElseThrow(() -> new InvalidConfigException(CONFIG_FILE, "is missing"));
  }

  /** The operators' file that the environment names; empty where it names none. */
  public static Optional<String> operatorFile(Map<String, String> environment) {
    return nonEmpty(environment, OPERATOR_FILE);
  }

  /** The folder for temporary files that the environment names; empty where it names none. */
  public static Optional<String> temporaryFolder(Map<String, String> environment) {
    return nonEmpty(environment, TEMPORARY_FOLDER);
  }

  private static Optional<String> nonEmpty(Map<String, String> environment, String variable) {
    return Optional.ofNullable(environment.get(variable)).filter(value -> !value.isEmpty());
  }

  /** The values that the environment supplies, by configuration key. */
  static Map<String, String> valuesByKey(Map<String, String> environment) {
    Map<String, String> values = new HashMap<>();
    environment.forEach(
        (variable, value) -> {
          if (variable.startsWith(PREFIX)) {
            String key = variable.substring(PREFIX.length());
            values.put(key.toLowerCase(Locale.ROOT), value);
          }
        });
    return values;
  }
}
