package dillcross.config;

import java.util.List;

/**
 * Checks whether a configuration may take the place of the one that runs. At a start careful
 * defaults stand in for what is absent; in a program that serves, an absent key is a file that was
 * cut or broken, and a default would be a rule that nobody asked for.
 */
final class ConfigReplacement {
  private static final String SETTINGS = "settings.";
  private static final List<String> REQUIRED_LIMITS =
      List.of("max_pushes", "may_duplicate", "cancel");
  private static final List<String> REQUIRED_OF_CLASS =
      List.of("name", "effect", "target_latency_ms", "ttl_ms", "benefit");
  private static final List<String> REQUIRED_WITH_KEY = List.of("key_scope", "window_ms");

  /**
   * What comes and goes, counts at the start alone, or tells the shape of a deployment that is
   * migrated forth and back.
   */
  private static final String OPTIONAL =
      "known\\..*|.*\\.[0-9]+(\\..*)?"
          + "|settings\\.(weight_source|discovery|benefit_basis|tenants\\.count)";

  private ConfigReplacement() {}

  /** Throws {@link InvalidConfigException} for what is missing in {@code next}. */
  static void check(ConfigValues next, ConfigValues current) {
    REQUIRED_LIMITS.forEach(key -> next.require(SETTINGS + "limits." + key));
    for (int i = 0; i < next.count(SETTINGS + "categories"); i++) {
      checkRequestClass(next, SETTINGS + "categories." + i + ".");
    }
    current.paths().stream()
        .filter(path -> !path.matches(OPTIONAL) && !next.paths().contains(path))
        .sorted()
        .findFirst()
        .ifPresent(
            path -> {
              String key = path.replaceAll("\\.count$", "");
              throw next.invalid(key, "is missing, and stood in the last one");
            });
  }

  private static void checkRequestClass(ConfigValues next, String path) {
    REQUIRED_OF_CLASS.forEach(key -> next.require(path + key));
    if (next.require(path + "effect").equals("deduplicated")) {
      REQUIRED_WITH_KEY.forEach(key -> next.require(path + key));
    }
  }
}
