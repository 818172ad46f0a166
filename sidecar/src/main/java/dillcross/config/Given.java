package dillcross.config;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.model.BalancerSettings;
import dillcross.model.DeduplicationScope;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import dillcross.model.ServiceObjective;
import dillcross.model.SlowStartPolicy;
import dillcross.model.Tenant;
import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * What an instance is told at its start, by path, from path=value pairs or from a JSON file. The
 * one place where it is read, checked and given defaults; unknown keys are skipped, absent ones get
 * a careful default.
 */
public final class Given {
  private static final int OWN_MB = 48; // resident with nothing to carry, and some garbage
  private static final String ENVIRONMENT = "NODE_"; // begins the names of its variables
  private static final List<String> MUST_LIMIT = List.of("max_pushes", "may_duplicate", "cancel");
  private static final List<String> MUST_SAY =
      List.of("name", "effect", "target_latency_ms", "ttl_ms", "benefit");
  private static final List<String> MUST_SAY_REPEATS =
      List.of("key_scope", "window_ms"); // where they are recognised

  /**
   * What comes and goes, counts at the start alone, or tells the shape of a deployment that is
   * moved forth and back.
   */
  private static final String MAY_GO =
      "known\\..*|.*\\.[0-9]+(\\..*)?|settings\\.(weight_source|discovery|benefit_basis|tenants\\.count)";

  private final Map<String, String> values;
  private final Map<?, ?> tree;

  private final String prefix; // where in the whole its paths begin, for messages

  private Given(Map<String, String> values, Map<?, ?> tree, String prefix) {
    this.values = values;
    this.tree = tree;
    this.prefix = prefix;
  }

  public static Given pairs(Map<String, String> pairs) {
    return new Given(pairs, Map.of(), "");
  }

  /**
   * The named file, or where that is null the one that the environment names, which also stands for
   * absent keys.
   */
  public static Given file(String named, Map<String, String> environment) {
    String file = named == null ? environment.get(ENVIRONMENT + "CONFIG") : named;
    if (file == null || file.isEmpty()) {
      throw new FaultyKey(ENVIRONMENT + "CONFIG", "is missing");
    }
    Map<String, String> values = new HashMap<>();
    environment.forEach(
        (key, value) -> {
          if (key.startsWith(ENVIRONMENT)) {
            values.put(key.substring(ENVIRONMENT.length()).toLowerCase(Locale.ROOT), value);
          }
        });
    try {
      Object tree = JSON.std.anyFrom(Files.readAllBytes(Path.of(file)));
      if (!(tree instanceof Map<?, ?> map)) {
        throw new FaultyKey(file, "not a JSON object");
      }
      flatten("", map, values);
      return new Given(values, map, "");
    } catch (IOException | IllegalArgumentException e) {
      boolean unread = e instanceof FileSystemException;
      throw new FaultyKey(file, unread ? "can't be read: " + e : "not JSON: " + e.getMessage());
    }
  }

  /**
   * To the form of the pairs: the length of a list under .count, its items under .0, .1 and onward.
   */
  private static void flatten(String path, Object value, Map<String, String> into) {
    String start = path.isEmpty() ? "" : path + ".";
    if (value instanceof Map<?, ?> map) {
      map.forEach((key, item) -> flatten(start + key, item, into));
    } else if (value instanceof List<?> list) {
      into.put(start + "count", String.valueOf(list.size()));
      for (int i = 0; i < list.size(); i++) {
        flatten(start + i, list.get(i), into);
      }
    } else if (value != null) {
      into.put(path, String.valueOf(value));
    }
  }

  /** What stands below a path, as one that stands for itself. */
  public Given below(String path) {
    Map<String, String> part = new HashMap<>();
    values.forEach(
        (key, value) -> {
          if (key.startsWith(path + ".")) {
            part.put(key.substring(path.length() + 1), value);
          }
        });
    return new Given(
        part, tree.get(path) instanceof Map<?, ?> map ? map : Map.of(), prefix + path + ".");
  }

  /** As it stands in the JSON file. */
  public Map<?, ?> tree() {
    return tree;
  }

  /**
   * Faults what may not take the place of an earlier configuration. At a start careful defaults
   * stand in for what is absent; in a program that serves, an absent key is a file that was cut or
   * broken, and a default would be a rule nobody asked for.
   */
  public void replaces(Given before) {
    String settings = "settings.";
    for (String key : MUST_LIMIT) {
      needed(settings + "limits." + key);
    }
    for (int i = 0; i < count(settings + "categories"); i++) {
      String at = settings + "categories." + i + ".";
      MUST_SAY.forEach(key -> needed(at + key));
      if (needed(at + "effect").equals("deduplicated")) {
        MUST_SAY_REPEATS.forEach(key -> needed(at + key));
      }
    }
    before.values.keySet().stream()
        .filter(key -> !key.matches(MAY_GO) && !values.containsKey(key))
        .sorted()
        .findFirst()
        .ifPresent(
            key -> {
              throw fault(key.replaceAll("\\.count$", ""), "is missing, and stood in the last one");
            });
  }

  /** Whether the same stands at and below a path in both. */
  public boolean same(Given other, String path) {
    return Objects.equals(values.get(path), other.values.get(path))
        && below(path).values.equals(other.below(path).values);
  }

  /** The load balancer's settings; {@code pollRequired} where the list has to be asked for. */
  public BalancerSettings balancerSettings(boolean pollRequired) {
    return new BalancerSettings(
        zone(),
        me(),
        sidecars(),
        categories(),
        tenants(),
        cold(),
        pushes(),
        byWork(),
        list(pollRequired),
        mostRetryAfterUs(),
        crossingPrice(),
        goal());
  }

  /** Whether the list has to be asked for news, as far as the settings say. */
  public boolean subscribes() {
    return word("discovery", "subscribe", "automatic").equals("subscribe");
  }

  public String zone() {
    return text("locality", "");
  }

  private int me() {
    return whole("me", 0, 0);
  }

  private int sidecars() {
    return whole("balancers", 1, 1);
  }

  private List<Tenant> tenants() {
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < count("tenants"); i++) {
      String at = "tenants." + i + ".";
      tenants.add(new Tenant(needed(at + "name"), number(at + "quota_per_s", 0)));
    }
    return tenants;
  }

  private SlowStartPolicy cold() {
    section("rules");
    double share = number("rules.start_capacity", 0.1);
    if (share > 1) {
      throw fault("rules.start_capacity", "out of range: " + share);
    }
    return new SlowStartPolicy(
        share,
        micros("rules.warm_up_ms", 30_000),
        number("rules.fall_multiple", 2),
        Math.max(1, micros("rules.fall_ms", 1000)));
  }

  private RetryPolicy pushes() {
    section("limits");
    return new RetryPolicy(
        whole("limits.max_pushes", 1, 1), flag("limits.may_duplicate"), flag("limits.cancel"));
  }

  private boolean byWork() {
    return word("benefit_basis", "request", "work").equals("work");
  }

  private DiscoveryPolicy list(boolean asks) {
    return new DiscoveryPolicy(
        asks, micros("rules.ask_within_ms", 5000), flag("rules.dropped_stay_open"), liveWeights());
  }

  private ServiceObjective goal() {
    section("goal");
    double slack = number("goal.tail_slack", 0);
    if (slack > 1) {
      throw fault("goal.tail_slack", "out of range: " + slack);
    }
    return new ServiceObjective(number("goal.punctual", 0), slack);
  }

  private long mostRetryAfterUs() {
    long most = micros("limits.max_retry_after_ms", 0);
    return flag("limits.retry_after") ? most : 0;
  }

  private double crossingPrice() {
    section("prices");
    return number("prices.cross_zone", 0);
  }

  /**
   * Whether the weights of the list move with load; where nothing is said they are sizes, as ever.
   */
  private boolean liveWeights() {
    return word("weight_source", "rough", "nominal", "silent", "live").equals("live");
  }

  public List<RequestClass> categories() {
    List<RequestClass> categories = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < count("categories"); i++) {
      String at = "categories." + i + ".";
      if (!names.add(needed(at + "name"))) {
        throw fault(at + "name", "stands twice: " + needed(at + "name"));
      }
      categories.add(
          new RequestClass(
              needed(at + "name"),
              effect(at + "effect"),
              group(at + "key_scope"),
              micros(at + "window_ms", 0),
              time(at + "target_latency_ms", 1000),
              number(at + "benefit", 1),
              number(at + "overdue_benefit", 1)));
    }
    if (categories.isEmpty()) {
      throw fault("categories", "is missing or empty");
    }
    return categories;
  }

  /** The longest that a client of any category waits. */
  public long mostTtlUs() {
    long most = 0;
    for (int i = 0; i < count("categories"); i++) {
      most = Math.max(most, time("categories." + i + ".ttl_ms", 3000));
    }
    return most == 0 ? 3_000_000 : most;
  }

  public long connectUs() {
    return Math.max(1000, micros("limits.connect_timeout_ms", 250));
  }

  public long keepUs() {
    return Math.max(1000, micros("limits.keepalive_ms", 15_000));
  }

  public int descriptors() {
    double most = number("limits.sockets", 1024);
    if (most < 128) {
      throw fault("limits.sockets", "has to be 128 at least: " + (long) most);
    }
    return (int) most;
  }

  /** Bytes of the largest body that is taken or passed on. */
  public long mostBody() {
    return whole("limits.body_bytes", 32 << 20, 1);
  }

  /**
   * Bytes that all buffers may take together: half of what the limit of memory leaves beside the
   * program itself.
   */
  public long room() {
    return (long) (Math.max(8, number("limits.memory_mb", 192) - OWN_MB) / 2 * (1 << 20));
  }

  public long seed() {
    String seed = text("seed", "0");
    try {
      return Long.parseUnsignedLong(seed, 16);
    } catch (NumberFormatException e) {
      throw fault("seed", "not a hexadecimal number of 64 bits: " + seed);
    }
  }

  public boolean has(String path) {
    return text(path, null) != null;
  }

  /** What has to be there. */
  public String needed(String path) {
    String value = text(path, null);
    if (value == null) {
      throw fault(path, "is missing");
    }
    return value;
  }

  /** What is not known to be harmless is taken to be harmful. */
  private Idempotency effect(String path) {
    return switch (word(path, "at_most_once", "deduplicated", "idempotent")) {
      case "idempotent" -> Idempotency.IDEMPOTENT;
      case "deduplicated" -> Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private DeduplicationScope group(String path) {
    return switch (word(path, "cell", "zone", "all")) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }

  private FaultyKey fault(String path, String what) {
    return new FaultyKey(prefix + path, what);
  }

  /**
   * One of the words that are known, the first where it is absent: a wrong one must not pass for a
   * default.
   */
  private String word(String path, String... known) {
    String word = text(path, known[0]);
    if (!List.of(known).contains(word)) {
      throw fault(path, "unknown word: " + word + "; known are " + String.join(", ", known));
    }
    return word;
  }

  /** The length of a list. */
  private int count(String path) {
    section(path);
    return whole(path + ".count", 0, 0);
  }

  /** Faults what holds a plain value where a list or an object belongs. */
  private void section(String path) {
    String value = plain(path);
    if (value != null) {
      throw fault(path, "is a plain value: " + value);
    }
  }

  private int whole(String path, int ifAbsent, int least) {
    double number = number(path, ifAbsent);
    if (number != Math.rint(number) || number < least || number > Integer.MAX_VALUE) {
      throw fault(path, "out of range: " + text(path, ""));
    }
    return (int) number;
  }

  private String text(String path, String ifAbsent) {
    String value = plain(path);
    if (value == null && values.keySet().stream().anyMatch(key -> key.startsWith(path + "."))) {
      throw fault(path, "is a list or an object and not a plain value");
    }
    return value == null ? ifAbsent : value;
  }

  /** What stands there as a value, or null. */
  private String plain(String path) {
    String value = values.get(path);
    return value == null || value.isEmpty() || value.equals("-") ? null : value;
  }

  private boolean flag(String path) {
    String value = text(path, "false");
    if (!Set.of("true", "false", "1", "0").contains(value)) {
      throw fault(path, "neither true nor false: " + value);
    }
    return value.equals("true") || value.equals("1");
  }

  private double number(String path, double ifAbsent) {
    String value = text(path, null);
    try {
      double number = value == null ? ifAbsent : Double.parseDouble(value);
      if (number >= 0 && number < 1e15) {
        return number;
      }
    } catch (NumberFormatException e) {
      throw fault(path, "not a number: " + value);
    }
    throw fault(path, "out of range: " + value);
  }

  /** A time that can't be nothing. */
  private long time(String path, double ifAbsentMs) {
    long us = micros(path, ifAbsentMs);
    if (us < 1) {
      throw fault(path, "has to be above 0: " + text(path, ""));
    }
    return us;
  }

  private long micros(String path, double ifAbsentMs) {
    return Math.round(number(path, ifAbsentMs) * 1000);
  }
}
