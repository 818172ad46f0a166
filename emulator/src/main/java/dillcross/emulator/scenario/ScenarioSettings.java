package dillcross.emulator.scenario;

import dillcross.emulator.scenario.Setting.ChoiceSetting;
import dillcross.emulator.scenario.Setting.DecimalSetting;
import dillcross.emulator.scenario.Setting.FlagSetting;
import dillcross.emulator.scenario.Setting.IntegerSetting;
import dillcross.emulator.scenario.Setting.RangeSetting;
import dillcross.emulator.scenario.Setting.RequiredTextSetting;
import dillcross.emulator.scenario.Setting.TextListSetting;
import dillcross.emulator.scenario.Setting.TextSetting;
import java.util.List;

/**
 * The keys of a scenario file: default, minimum and maximum of each, in the order of the file's
 * tables. A key names its unit ({@code _ms}, {@code _us}, {@code _mb}, {@code _s}); a share is from
 * 0 to 1, and the remaining numbers are counts or factors.
 */
final class ScenarioSettings {
  private static final List<String> DEFAULT_ZONES = List.of("a", "b", "c");
  private static final int MAX_BODY_BYTES = 32 << 20;

  private ScenarioSettings() {}

  /** Keys outside any table. */
  static final class Top {
    /**
     * Path of a scenario file, relative to this one, that supplies the tables and top-level numbers
     * absent here.
     */
    static final TextSetting LIKE = text("like", "");

    static final TextSetting NAME = text("name", "day");

    /** Time in seconds during which requests arrive. */
    static final DecimalSetting SECONDS = decimal("seconds", 10, 0.01, 86_400);

    private Top() {}
  }

  /** Keys of {@code [sidecars]}. */
  static final class Sidecars {
    static final IntegerSetting COUNT = integer("count", 3, 1, 10_000);
    static final TextListSetting ZONES = textList("zones", DEFAULT_ZONES);
    static final IntegerSetting TURN_US = integer("turn_us", 20, 0, 100_000);
    static final RangeSetting START_MS = range("start_ms", 100, 100);
    static final IntegerSetting DESCRIPTORS = integer("descriptors", 256, 128, 65_536);
    static final IntegerSetting MEMORY_MB = integer("memory_mb", 128, 64, 65_536);
    static final IntegerSetting CALLS = integer("calls", 4, 0, 1000);

    private Sidecars() {}
  }

  /** Keys of {@code [settings]}, which go into the sidecars' configuration. */
  static final class SidecarConfiguration {
    static final IntegerSetting MAX_PUSHES = integer("max_pushes", 3, 1, 100);
    static final FlagSetting MAY_DUPLICATE = flag("may_duplicate", true);
    static final FlagSetting CANCEL = flag("cancel", true);
    static final FlagSetting RETRY_AFTER = flag("retry_after", true);
    static final DecimalSetting MAX_RETRY_AFTER_MS = decimal("max_retry_after_ms", 1000, 0, 1e6);
    static final DecimalSetting CONNECT_TIMEOUT_MS = decimal("connect_timeout_ms", 200, 1, 1e6);
    static final DecimalSetting KEEPALIVE_MS = decimal("keepalive_ms", 5000, 1, 1e7);
    static final DecimalSetting ASK_WITHIN_MS = decimal("ask_within_ms", 5000, 1, 1e7);

    /** Share of its full capacity that an endpoint has when its slow start begins. */
    static final DecimalSetting START_CAPACITY = decimal("start_capacity", 0.3, 0.01, 1);

    static final DecimalSetting WARM_UP_MS = decimal("warm_up_ms", 4000, 0, 1e7);
    static final DecimalSetting FALL_MULTIPLE = decimal("fall_multiple", 3, 0.1, 100);
    static final DecimalSetting FALL_MS = decimal("fall_ms", 1000, 1, 1e7);
    static final DecimalSetting CROSS_ZONE = decimal("cross_zone", 0.03, 0, 100);

    private SidecarConfiguration() {}
  }

  /** Keys of each {@code [[category]]}. */
  static final class RequestClasses {
    static final RequiredTextSetting NAME = requiredText("name");
    static final ChoiceSetting EFFECT =
        choice("effect", "idempotent", "idempotent", "deduplicated", "at_most_once");
    static final ChoiceSetting KEY_SCOPE = choice("key_scope", "zone", "all", "zone", "cell");
    static final DecimalSetting WINDOW_MS = decimal("window_ms", 2000, 1, 1e7);
    static final DecimalSetting TARGET_LATENCY_MS = decimal("target_latency_ms", 300, 1, 1e6);
    static final DecimalSetting TTL_MS = decimal("ttl_ms", 1000, 1, 1e6);
    static final DecimalSetting BENEFIT = decimal("benefit", 1, 0, 1e6);

    /** Share of the requests, relative to the other classes. */
    static final DecimalSetting SHARE = decimal("share", 1, 0, 1e6);

    static final DecimalSetting WORK_MS = decimal("work_ms", 20, 0.001, 1e5);
    static final DecimalSetting SPREAD = decimal("spread", 0.5, 0, 3);
    static final IntegerSetting BODY_BYTES = integer("body_bytes", 100, 0, MAX_BODY_BYTES);
    static final IntegerSetting ANSWER_BYTES = integer("answer_bytes", 200, 0, MAX_BODY_BYTES);

    private RequestClasses() {}
  }

  /** Keys of {@code [clients]}. */
  static final class Clients {
    static final DecimalSetting PER_S = decimal("per_s", 20, 0, 1e5);
    static final ChoiceSetting RETRY = choice("retry", "none", "none", "at_once", "after");
    static final IntegerSetting RETRIES = integer("retries", 2, 0, 100);
    static final DecimalSetting LEAVE_SHARE = decimal("leave_share", 0, 0, 1);
    static final RangeSetting LEAVE_MS = range("leave_ms", 20, 200);
    static final DecimalSetting PIECES_SHARE = decimal("pieces_share", 0, 0, 1);
    static final DecimalSetting CLOSE_SHARE = decimal("close_share", 0, 0, 1);
    static final IntegerSetting RESTING = integer("resting", 0, 0, 100_000);
    static final DecimalSetting PATIENCE_MS = decimal("patience_ms", 700, 0, 1e6);

    private Clients() {}
  }

  /** Keys of {@code [endpoints]}. */
  static final class Endpoints {
    static final IntegerSetting COUNT = integer("count", 8, 1, 10_000);
    static final TextListSetting ZONES = textList("zones", DEFAULT_ZONES);
    static final IntegerSetting CELLS = integer("cells", 3, 1, 1000);
    static final DecimalSetting CORES = decimal("cores", 2, 0.1, 1000);
    static final IntegerSetting QUEUE = integer("queue", 30, 0, 100_000);
    static final IntegerSetting CONNECTIONS = integer("connections", 200, 1, 100_000);
    static final DecimalSetting IDLE_CLOSE_MS = decimal("idle_close_ms", 5000, 1, 1e7);
    static final DecimalSetting CHOKE_ABOVE = decimal("choke_above", 1e6, 0, 1e6);
    static final DecimalSetting CHOKE = decimal("choke", 0, 0, 100);
    static final RangeSetting SPEED = range("speed", 1, 1);
    static final DecimalSetting GRACE_MS = decimal("grace_ms", 1000, 0, 1e6);
    static final DecimalSetting REPORT_SHARE = decimal("report_share", 0, 0, 1);
    static final FlagSetting CHUNKS = flag("chunks", false);

    private Endpoints() {}
  }

  /** Keys of {@code [list]}, the discovery service. */
  static final class Discovery {
    static final RangeSetting DELAY_MS = range("delay_ms", 1, 1);
    static final DecimalSetting TELL_MS = decimal("tell_ms", 5, 0, 1e6);

    private Discovery() {}
  }

  /** Keys of {@code [network]}. */
  static final class Network {
    static final DecimalSetting NEAR_US = decimal("near_us", 200, 0, 1e7);
    static final DecimalSetting FAR_US = decimal("far_us", 2000, 0, 1e7);
    static final DecimalSetting JITTER_US = decimal("jitter_us", 50, 0, 1e7);

    private Network() {}
  }

  /** Keys of {@code [rules]}, the tolerances of the oracle. */
  static final class OracleRules {
    static final DecimalSetting ANSWER_SLACK_MS = decimal("answer_slack_ms", 15, 0, 1e6);
    static final DecimalSetting DRAIN_SLACK_MS = decimal("drain_slack_ms", 1, 0, 1e6);
    static final DecimalSetting COLD_SLACK = decimal("cold_slack", 1.0, 0.1, 100);

    private OracleRules() {}
  }

  /** Keys of each {@code [[trouble]]}. */
  static final class Faults {
    static final RequiredTextSetting KIND = requiredText("kind");
    static final RangeSetting AT_MS = range("at_ms", 0, 0);
    static final RangeSetting FOR_MS = range("for_ms", 1000, 1000);
    static final TextSetting TARGET = text("target", "any");
    static final RangeSetting FACTOR = range("factor", 4, 4);
    static final DecimalSetting SHARE = decimal("share", 0.5, 0, 1);
    static final ChoiceSetting MODE =
        choice("mode", "after", "before", "after", "answer", "refuse", "silent", "error");
    static final IntegerSetting COUNT = integer("count", 1, 1, 1000);

    private Faults() {}
  }

  private static DecimalSetting decimal(
      String key, double defaultValue, double minimum, double maximum) {
    return new DecimalSetting(key, defaultValue, minimum, maximum);
  }

  private static IntegerSetting integer(String key, int defaultValue, int minimum, int maximum) {
    return new IntegerSetting(key, defaultValue, minimum, maximum);
  }

  private static RangeSetting range(String key, double defaultMinimum, double defaultMaximum) {
    return new RangeSetting(key, new Range(defaultMinimum, defaultMaximum));
  }

  private static FlagSetting flag(String key, boolean defaultValue) {
    return new FlagSetting(key, defaultValue);
  }

  private static ChoiceSetting choice(String key, String defaultValue, String... choices) {
    return new ChoiceSetting(key, defaultValue, List.of(choices));
  }

  private static TextSetting text(String key, String defaultValue) {
    return new TextSetting(key, defaultValue);
  }

  private static RequiredTextSetting requiredText(String key) {
    return new RequiredTextSetting(key);
  }

  private static TextListSetting textList(String key, List<String> defaultValue) {
    return new TextListSetting(key, defaultValue);
  }
}
