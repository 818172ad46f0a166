package dillcross.config;

import dillcross.model.BalancerSettings;
import dillcross.model.DeduplicationScope;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import dillcross.model.ServiceObjective;
import dillcross.model.SlowStartPolicy;
import dillcross.model.Tenant;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Turns configuration values into typed settings: the one place where they are checked and given
 * defaults. Every method throws {@link InvalidConfigException} for a value that can't be used.
 */
public final class ConfigReader {
  private static final int OWN_MEMORY_MB = 48; // resident with nothing to carry, and some garbage
  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int BYTES_PER_MB = 1 << 20;
  private static final int MIN_BUFFER_MB = 8;
  private static final int MIN_DESCRIPTORS = 128;
  private static final int DEFAULT_DESCRIPTORS = 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 32 << 20;
  private static final int DEFAULT_TIMEOUT_MS = 3000;
  private static final long DEFAULT_MAX_TIMEOUT_US = 3_000_000;
  private static final long MIN_DURATION_US = 1000;
  private static final int HEXADECIMAL = 16;

  private ConfigReader() {}

  /** The settings of a sidecar on sockets, where the endpoint list always has to be polled. */
  public static SidecarSettings sidecarSettings(ConfigValues settings) {
    return new SidecarSettings(
        balancerSettings(settings, true),
        maxTimeoutUs(settings),
        Math.max(MIN_DURATION_US, settings.durationUs("limits.connect_timeout_ms", 250)),
        Math.max(MIN_DURATION_US, settings.durationUs("limits.keepalive_ms", 15_000)));
  }

  /**
   * The settings of a load balancer.
   *
   * @param pollRequired whether the endpoint list has to be polled
   */
  public static BalancerSettings balancerSettings(ConfigValues settings, boolean pollRequired) {
    return new BalancerSettings(
        settings.find("locality").orElse(""),
        settings.integer("me", 0, 0),
        settings.integer("balancers", 1, 1),
        requestClasses(settings),
        tenants(settings),
        slowStart(settings),
        retry(settings),
        settings.word("benefit_basis", "request", "work").equals("work"),
        discovery(settings, pollRequired),
        maxRetryAfterUs(settings),
        crossZonePrice(settings),
        objective(settings));
  }

  /** Whether the settings say that the endpoint list has to be polled; else it is pushed. */
  public static boolean pollsDiscovery(ConfigValues settings) {
    return settings.word("discovery", "subscribe", "automatic").equals("subscribe");
  }

  private static List<RequestClass> requestClasses(ConfigValues settings) {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < settings.count("categories"); i++) {
      String path = "categories." + i + ".";
      String name = settings.require(path + "name");
      if (!names.add(name)) {
        throw settings.invalid(path + "name", "stands twice: " + name);
      }
      classes.add(requestClass(settings, path, name));
    }
    if (classes.isEmpty()) {
      throw settings.invalid("categories", "is missing or empty");
    }
    return classes;
  }

  private static RequestClass requestClass(ConfigValues settings, String path, String name) {
    return new RequestClass(
        name,
        idempotency(settings, path + "effect"),
        deduplicationScope(settings, path + "key_scope"),
        settings.durationUs(path + "window_ms", 0),
        settings.positiveDurationUs(path + "target_latency_ms", 1000),
        settings.number(path + "benefit", 1),
        settings.number(path + "overdue_benefit", 1));
  }

  /** What is not known to be harmless is taken to be harmful. */
  private static Idempotency idempotency(ConfigValues settings, String path) {
    return switch (settings.word(path, "at_most_once", "deduplicated", "idempotent")) {
      case "idempotent" -> Idempotency.IDEMPOTENT;
      case "deduplicated" -> Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(ConfigValues settings, String path) {
    return switch (settings.word(path, "cell", "zone", "all")) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }

  private static List<Tenant> tenants(ConfigValues settings) {
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < settings.count("tenants"); i++) {
      String path = "tenants." + i + ".";
      String name = settings.require(path + "name");
      tenants.add(new Tenant(name, settings.number(path + "quota_per_s", 0)));
    }
    return tenants;
  }

  private static SlowStartPolicy slowStart(ConfigValues settings) {
    settings.checkSection("rules");
    return new SlowStartPolicy(
        settings.share("rules.start_capacity", 0.1),
        settings.durationUs("rules.warm_up_ms", 30_000),
        settings.number("rules.fall_multiple", 2),
        Math.max(1, settings.durationUs("rules.fall_ms", 1000)));
  }

  private static RetryPolicy retry(ConfigValues settings) {
    settings.checkSection("limits");
    return new RetryPolicy(
        settings.integer("limits.max_pushes", 1, 1),
        settings.flag("limits.may_duplicate"),
        settings.flag("limits.cancel"));
  }

  private static DiscoveryPolicy discovery(ConfigValues settings, boolean pollRequired) {
    return new DiscoveryPolicy(
        pollRequired,
        settings.durationUs("rules.ask_within_ms", 5000),
        settings.flag("rules.dropped_stay_open"),
        hasDynamicWeights(settings));
  }

  /** Where nothing is said weights are sizes. */
  private static boolean hasDynamicWeights(ConfigValues settings) {
    String source = settings.word("weight_source", "rough", "nominal", "silent", "live");
    return source.equals("live");
  }

  private static long maxRetryAfterUs(ConfigValues settings) {
    long maxUs = settings.durationUs("limits.max_retry_after_ms", 0);
    return settings.flag("limits.retry_after") ? maxUs : 0;
  }

  private static double crossZonePrice(ConfigValues settings) {
    settings.checkSection("prices");
    return settings.number("prices.cross_zone", 0);
  }

  private static ServiceObjective objective(ConfigValues settings) {
    settings.checkSection("goal");
    double slack = settings.share("goal.tail_slack", 0);
    return new ServiceObjective(settings.number("goal.punctual", 0), slack);
  }

  private static long maxTimeoutUs(ConfigValues settings) {
    long maxUs = 0;
    for (int i = 0; i < settings.count("categories"); i++) {
      String path = "categories." + i + ".ttl_ms";
      maxUs = Math.max(maxUs, settings.positiveDurationUs(path, DEFAULT_TIMEOUT_MS));
    }
    return maxUs == 0 ? DEFAULT_MAX_TIMEOUT_US : maxUs;
  }

  /** The limits of the process. */
  public static SidecarLimits limits(ConfigValues values) {
    return new SidecarLimits(
        maxDescriptors(values),
        values.integer("limits.body_bytes", DEFAULT_MAX_BODY_BYTES, 1),
        bufferBytes(values));
  }

  private static int maxDescriptors(ConfigValues values) {
    double max = values.number("limits.sockets", DEFAULT_DESCRIPTORS);
    if (max < MIN_DESCRIPTORS) {
      throw values.invalid(
          "limits.sockets", "has to be " + MIN_DESCRIPTORS + " at least: " + (long) max);
    }
    return (int) max;
  }

  /** Half of what the limit of memory leaves beside the program itself. */
  private static long bufferBytes(ConfigValues values) {
    double memoryMb = values.number("limits.memory_mb", DEFAULT_MEMORY_MB);
    return (long) (Math.max(MIN_BUFFER_MB, memoryMb - OWN_MEMORY_MB) / 2 * BYTES_PER_MB);
  }

  /** The seed of all that is drawn by chance. */
  public static long seed(ConfigValues values) {
    String seed = values.find("seed").orElse("0");
    try {
      return Long.parseUnsignedLong(seed, HEXADECIMAL);
    } catch (NumberFormatException e) {
      throw values.invalid("seed", "not a hexadecimal number of 64 bits: " + seed);
    }
  }
}
