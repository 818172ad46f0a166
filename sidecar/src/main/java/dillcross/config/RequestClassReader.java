package dillcross.config;

import static dillcross.config.ConfigKeys.item;
import static dillcross.config.ConfigKeys.path;

import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads the request classes of the settings. */
final class RequestClassReader {
  private static final int DEFAULT_LATENCY_OBJECTIVE_MS = 1000;
  private static final int DEFAULT_MAX_TIMEOUT_MS = 3000;
  private static final long MAX_TIMEOUT_WITHOUT_CLASSES_US = 3_000_000;

  private final ConfigValues settings;

  RequestClassReader(ConfigValues settings) {
    this.settings = settings;
  }

  /** All request classes: at least one, with different names; throws where that does not hold. */
  List<RequestClass> requestClasses() {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < settings.count(ConfigKeys.REQUEST_CLASSES); i++) {
      String section = item(ConfigKeys.REQUEST_CLASSES, i);
      String namePath = path(section, ConfigKeys.CLASS_NAME);
      String name = settings.require(namePath);
      if (!names.add(name)) {
        throw settings.invalid(namePath, "duplicate name: " + name);
      }
      classes.add(requestClass(section, name));
    }
    if (classes.isEmpty()) {
      throw settings.invalid(ConfigKeys.REQUEST_CLASSES, "is missing or empty");
    }
    return classes;
  }

  private RequestClass requestClass(String section, String name) {
    return new RequestClass(
        name,
        idempotency(path(section, ConfigKeys.IDEMPOTENCY)),
        deduplicationScope(path(section, ConfigKeys.DEDUPLICATION_SCOPE)),
        settings.durationUs(path(section, ConfigKeys.DEDUPLICATION_WINDOW_MS), 0),
        settings.positiveDurationUs(
            path(section, ConfigKeys.LATENCY_OBJECTIVE_MS), DEFAULT_LATENCY_OBJECTIVE_MS),
        settings.number(path(section, ConfigKeys.PRIORITY_WEIGHT), 1),
        settings.number(path(section, ConfigKeys.LATE_VALUE_SHARE), 1));
  }

  /** The idempotency of a class; where absent, non-idempotent: a request may not run twice. */
  private Idempotency idempotency(String path) {
    String word =
        settings.keyword(
            path, ConfigKeys.NON_IDEMPOTENT, ConfigKeys.IDEMPOTENT_WITH_KEY, ConfigKeys.IDEMPOTENT);
    return switch (word) {
      case ConfigKeys.IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case ConfigKeys.IDEMPOTENT_WITH_KEY -> Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  /** The deduplication scope of a class; where absent, {@code CELL}, which is the narrowest. */
  private DeduplicationScope deduplicationScope(String path) {
    String word =
        settings.keyword(path, ConfigKeys.SCOPE_CELL, ConfigKeys.SCOPE_ZONE, ConfigKeys.SCOPE_ALL);
    return switch (word) {
      case ConfigKeys.SCOPE_ALL -> DeduplicationScope.ALL;
      case ConfigKeys.SCOPE_ZONE -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }

  /** The largest timeout of any request class, in microseconds; 3 s where there is no class. */
  long maxTimeoutUs() {
    long maxUs = 0;
    for (int i = 0; i < settings.count(ConfigKeys.REQUEST_CLASSES); i++) {
      String path = path(item(ConfigKeys.REQUEST_CLASSES, i), ConfigKeys.MAX_TIMEOUT_MS);
      maxUs = Math.max(maxUs, settings.positiveDurationUs(path, DEFAULT_MAX_TIMEOUT_MS));
    }
    return maxUs == 0 ? MAX_TIMEOUT_WITHOUT_CLASSES_US : maxUs;
  }
}
