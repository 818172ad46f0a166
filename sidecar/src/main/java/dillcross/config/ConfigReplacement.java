package dillcross.config;

import static dillcross.config.ConfigKeys.item;
import static dillcross.config.ConfigKeys.path;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Checks whether a configuration may replace the current one at a reload. At a start, absent keys
 * take their defaults; at a reload an absent key more likely means a truncated file, and a default
 * would silently change a rule.
 */
final class ConfigReplacement {
  private static final List<String> REQUIRED_LIMITS =
      List.of(ConfigKeys.MAX_ATTEMPTS, ConfigKeys.HEDGING_ALLOWED, ConfigKeys.CANCELLABLE);
  private static final List<String> REQUIRED_OF_CLASS =
      List.of(
          ConfigKeys.CLASS_NAME,
          ConfigKeys.IDEMPOTENCY,
          ConfigKeys.LATENCY_OBJECTIVE_MS,
          ConfigKeys.MAX_TIMEOUT_MS,
          ConfigKeys.PRIORITY_WEIGHT);
  private static final List<String> REQUIRED_WITH_KEY =
      List.of(ConfigKeys.DEDUPLICATION_SCOPE, ConfigKeys.DEDUPLICATION_WINDOW_MS);

  /**
   * Paths of the current configuration that the next may leave out: the endpoint list and list
   * items, which change all the time, and keys that a migration of the deployment adds and removes.
   */
  private static final Pattern OPTIONAL =
      Pattern.compile(
          ConfigKeys.KNOWN_ENDPOINTS
              + "\\..*|.*\\.[0-9]+(\\..*)?|"
              + ConfigKeys.SETTINGS
              + "\\.("
              + String.join(
                  "|",
                  ConfigKeys.WEIGHT_SOURCE,
                  ConfigKeys.DISCOVERY_MODE,
                  ConfigKeys.WEIGHT_BASIS,
                  ConfigKeys.TENANTS + "\\" + ConfigValues.COUNT_SUFFIX)
              + ")");

  private ConfigReplacement() {}

  /** Throws {@link InvalidConfigException} for the first key that is missing in {@code next}. */
  static void check(ConfigValues next, ConfigValues current) {
    REQUIRED_LIMITS.forEach(key -> next.require(path(ConfigKeys.SETTINGS, key)));
    String classes = path(ConfigKeys.SETTINGS, ConfigKeys.REQUEST_CLASSES);
    for (int i = 0; i < next.count(classes); i++) {
      checkRequestClass(next, item(classes, i));
    }
    current.paths().stream()
        .filter(path -> !isOptional(path) && !next.paths().contains(path))
        .min(String::compareTo)
        .ifPresent(
            path -> {
              throw next.invalid(
                  ConfigValues.withoutCount(path),
                  "is missing, but is set in the current configuration");
            });
  }

  private static boolean isOptional(String path) {
    return OPTIONAL.matcher(path).matches();
  }

  private static void checkRequestClass(ConfigValues next, String section) {
    REQUIRED_OF_CLASS.forEach(key -> next.require(path(section, key)));
    String idempotency = next.require(path(section, ConfigKeys.IDEMPOTENCY));
    if (idempotency.equals(ConfigKeys.IDEMPOTENT_WITH_KEY)) {
      REQUIRED_WITH_KEY.forEach(key -> next.require(path(section, key)));
    }
  }
}
