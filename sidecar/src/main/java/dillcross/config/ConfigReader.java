package dillcross.config;

import static dillcross.config.ConfigKeys.item;
import static dillcross.config.ConfigKeys.path;

import dillcross.model.BalancerSettings;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.RetryPolicy;
import dillcross.model.ServiceObjective;
import dillcross.model.SlowStartPolicy;
import dillcross.model.Tenant;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.util.ArrayList;
import java.util.List;

/**
 * Converts configuration values to typed settings: the only place where they are checked and given
 * defaults. Every method throws {@link InvalidConfigException} for the first value that is invalid.
 */
public final class ConfigReader {
  private static final int BYTES_PER_MB = 1 << 20;
  private static final int RESIDENT_MEMORY_MB = 48; // needed by the process besides its buffers
  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int MIN_BUFFER_MB = 8;
  private static final int MIN_DESCRIPTORS = 128;
  private static final int DEFAULT_DESCRIPTORS = 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 32 << 20;

  private static final int DEFAULT_CONNECT_TIMEOUT_MS = 250;
  private static final int DEFAULT_IDLE_TIMEOUT_MS = 15_000;
  private static final long MIN_CONNECTION_TIMEOUT_US = 1000;

  private static final double DEFAULT_INITIAL_CAPACITY_SHARE = 0.1;
  private static final int DEFAULT_WARM_UP_MS = 30_000;
  private static final int DEFAULT_OVERLOAD_MULTIPLE = 2;
  private static final int DEFAULT_OVERLOAD_WINDOW_MS = 1000;
  private static final int DEFAULT_POLL_WITHIN_MS = 5000;

  private static final String DEFAULT_SEED = "0";
  private static final int HEXADECIMAL = 16;

  private ConfigReader() {}

  /** The settings of a sidecar on real sockets: the endpoint list is always polled, not pushed. */
  public static SidecarSettings sidecarSettings(ConfigValues settings) {
    return new SidecarSettings(
        balancerSettings(settings, true),
        new RequestClassReader(settings).maxTimeoutUs(),
        connectionTimeoutUs(settings, ConfigKeys.CONNECT_TIMEOUT_MS, DEFAULT_CONNECT_TIMEOUT_MS),
        connectionTimeoutUs(settings, ConfigKeys.IDLE_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS));
  }

  private static long connectionTimeoutUs(ConfigValues settings, String path, int defaultMs) {
    return Math.max(MIN_CONNECTION_TIMEOUT_US, settings.durationUs(path, defaultMs));
  }

  /**
   * The settings of a load balancer.
   *
   * @param pollRequired whether the sidecar has to poll the endpoint list
   */
  public static BalancerSettings balancerSettings(ConfigValues settings, boolean pollRequired) {
    return new BalancerSettings(
        settings.find(ConfigKeys.ZONE).orElse(""),
        settings.integer(ConfigKeys.INSTANCE_INDEX, 0, 0),
        settings.integer(ConfigKeys.INSTANCE_COUNT, 1, 1),
        new RequestClassReader(settings).requestClasses(),
        tenants(settings),
        slowStart(settings),
        retry(settings),
        isWeightPerWork(settings),
        discovery(settings, pollRequired),
        maxRetryAfterUs(settings),
        crossZonePrice(settings),
        objective(settings));
  }

  /** Whether the settings say that the sidecar polls the endpoint list; if false it is pushed. */
  public static boolean pollsDiscovery(ConfigValues settings) {
    return settings
        .keyword(
            ConfigKeys.DISCOVERY_MODE, ConfigKeys.DISCOVERY_BY_WATCH, ConfigKeys.DISCOVERY_PUSHED)
        .equals(ConfigKeys.DISCOVERY_BY_WATCH);
  }

  private static List<Tenant> tenants(ConfigValues settings) {
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < settings.count(ConfigKeys.TENANTS); i++) {
      String section = item(ConfigKeys.TENANTS, i);
      String name = settings.require(path(section, ConfigKeys.TENANT_NAME));
      double quota = settings.number(path(section, ConfigKeys.TENANT_QUOTA_PER_SECOND), 0);
      tenants.add(new Tenant(name, quota));
    }
    return tenants;
  }

  private static SlowStartPolicy slowStart(ConfigValues settings) {
    settings.checkSection(ConfigKeys.RULES);
    return new SlowStartPolicy(
        settings.fraction(ConfigKeys.SLOW_START_INITIAL_SHARE, DEFAULT_INITIAL_CAPACITY_SHARE),
        settings.durationUs(ConfigKeys.SLOW_START_WARM_UP_MS, DEFAULT_WARM_UP_MS),
        settings.number(ConfigKeys.SLOW_START_OVERLOAD_MULTIPLE, DEFAULT_OVERLOAD_MULTIPLE),
        Math.max(
            1, settings.durationUs(ConfigKeys.SLOW_START_WINDOW_MS, DEFAULT_OVERLOAD_WINDOW_MS)));
  }

  private static RetryPolicy retry(ConfigValues settings) {
    settings.checkSection(ConfigKeys.LIMITS);
    return new RetryPolicy(
        settings.integer(ConfigKeys.MAX_ATTEMPTS, 1, 1),
        settings.flag(ConfigKeys.HEDGING_ALLOWED),
        settings.flag(ConfigKeys.CANCELLABLE));
  }

  private static boolean isWeightPerWork(ConfigValues settings) {
    return settings
        .keyword(ConfigKeys.WEIGHT_BASIS, ConfigKeys.WEIGHT_PER_REQUEST, ConfigKeys.WEIGHT_PER_WORK)
        .equals(ConfigKeys.WEIGHT_PER_WORK);
  }

  private static DiscoveryPolicy discovery(ConfigValues settings, boolean pollRequired) {
    return new DiscoveryPolicy(
        pollRequired,
        settings.durationUs(ConfigKeys.POLL_WITHIN_MS, DEFAULT_POLL_WITHIN_MS),
        settings.flag(ConfigKeys.KEEP_REMOVED),
        hasDynamicWeights(settings));
  }

  private static boolean hasDynamicWeights(ConfigValues settings) {
    return settings
        .keyword(
            ConfigKeys.WEIGHT_SOURCE,
            ConfigKeys.WEIGHTS_ROUGH,
            ConfigKeys.WEIGHTS_NOMINAL,
            ConfigKeys.WEIGHTS_ABSENT,
            ConfigKeys.WEIGHTS_DYNAMIC)
        .equals(ConfigKeys.WEIGHTS_DYNAMIC);
  }

  private static long maxRetryAfterUs(ConfigValues settings) {
    long maxUs = settings.durationUs(ConfigKeys.MAX_RETRY_AFTER_MS, 0);
    return settings.flag(ConfigKeys.RETRY_AFTER_ALLOWED) ? maxUs : 0;
  }

  private static double crossZonePrice(ConfigValues settings) {
    settings.checkSection(ConfigKeys.PRICES);
    return settings.number(ConfigKeys.CROSS_ZONE_PRICE, 0);
  }

  private static ServiceObjective objective(ConfigValues settings) {
    settings.checkSection(ConfigKeys.OBJECTIVE);
    double slack = settings.fraction(ConfigKeys.TAIL_SLACK, 0);
    return new ServiceObjective(settings.number(ConfigKeys.TAIL_WEIGHT, 0), slack);
  }

  /** The limits of the process, from the top level of the configuration. */
  public static SidecarLimits limits(ConfigValues values) {
    return new SidecarLimits(
        maxDescriptors(values),
        values.integer(ConfigKeys.MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES, 1),
        bufferBytes(values));
  }

  private static int maxDescriptors(ConfigValues values) {
    double max = values.number(ConfigKeys.MAX_DESCRIPTORS, DEFAULT_DESCRIPTORS);
    if (max < MIN_DESCRIPTORS) {
      throw values.invalid(
          ConfigKeys.MAX_DESCRIPTORS, "has to be at least " + MIN_DESCRIPTORS + ": " + (long) max);
    }
    return (int) max;
  }

  /**
   * Bytes for buffers: half of the memory above the resident part; the rest is for garbage. Where
   * the listening socket is inherited, the limit holds for two processes while one replaces the
   * other.
   */
  private static long bufferBytes(ConfigValues values) {
    int processes = values.has(ConfigKeys.INHERITED_SOCKET) ? 2 : 1;
    double memoryMb = values.number(ConfigKeys.MAX_MEMORY_MB, DEFAULT_MEMORY_MB) / processes;
    return (long) (Math.max(MIN_BUFFER_MB, memoryMb - RESIDENT_MEMORY_MB) / 2 * BYTES_PER_MB);
  }

  /** The seed of all random choices, from the top level of the configuration. */
  public static long seed(ConfigValues values) {
    String seed = values.find(ConfigKeys.SEED).orElse(DEFAULT_SEED);
    try {
      return Long.parseUnsignedLong(seed, HEXADECIMAL);
    } catch (NumberFormatException e) {
      throw values.invalid(ConfigKeys.SEED, "not a hexadecimal number of 64 bits: " + seed);
    }
  }
}
