package dillcross.emulator.scenario;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads and checks a scenario; all that is wrong with it is said at once. */
public final class ScenarioReader {
  private static final Pattern TROUBLE = Pattern.compile("(?m)^[ \\t]*\\[\\[ *trouble *\\]\\]");
  private static final LevenshteinDistance NEARNESS = LevenshteinDistance.getDefaultInstance();
  private static final String LIKE = "like"; // the file whose parts stand for those that are absent
  private final String file;
  private final List<String> errors = new ArrayList<>();

  private ScenarioReader(String file) {
    this.file = file;
  }

  public static Scenario read(Path file) throws InvalidScenarioException {
    return parse(file.toString(), text(file));
  }

  private static String text(Path file) throws InvalidScenarioException {
    try {
      return Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new InvalidScenarioException(List.of(file + ": can't be read: " + e));
    }
  }

  /** {@code file} is its name in messages, and where another is looked for that it is like. */
  public static Scenario parse(String file, String text) throws InvalidScenarioException {
    ScenarioReader reader = new ScenarioReader(file);
    TomlTable toml = parsed(file, text);
    Section like = null;
    if (toml.get(List.of(LIKE)) instanceof String other) {
      String from = Path.of(file).resolveSibling(other).toString();
      like = reader.new Section(parsed(from, text(Path.of(from))), "", null, from, null);
    }
    Scenario scenario = reader.scenario(reader.new Section(toml, "", null, file, like));
    if (!reader.errors.isEmpty()) {
      throw new InvalidScenarioException(reader.errors);
    }
    return scenario;
  }

  private static TomlTable parsed(String file, String text) throws InvalidScenarioException {
    TomlParseResult toml = Toml.parse(text);
    if (toml.hasErrors()) {
      throw new InvalidScenarioException(
          toml.errors().stream()
              .map(e -> file + ":" + e.position().line() + ": " + e.getMessage())
              .toList());
    }
    return toml;
  }

  /** The text of a scenario without its troubles, which stand last. */
  public static String withoutFaults(String text) {
    Matcher first = TROUBLE.matcher(text);
    return first.find() ? text.substring(0, first.start()) : text;
  }

  // ---- The parts

  private Scenario scenario(Section top) {
    top.word(LIKE, "");
    List<String> zones = List.of("a", "b", "c");
    Section s = top.section("sidecars");
    Scenario.SidecarGroup fleet =
        new Scenario.SidecarGroup(
            s.integer("count", 3, 1, 10_000),
            s.words("zones", zones),
            s.integer("turn_us", 20, 0, 100_000),
            s.range("start_ms", 100, 100),
            s.integer("descriptors", 256, 128, 65_536),
            s.integer("memory_mb", 128, 64, 65_536),
            s.integer("calls", 4, 0, 1000));
    s.done();
    Map<String, String> sidecarSettings = sidecarSettings(top.section("settings"));
    List<Scenario.RequestClass> requestClasses = new ArrayList<>();
    for (Section c : top.sections("category")) {
      requestClasses.add(
          new Scenario.RequestClass(
              c.word("name", null),
              c.oneOf("effect", "idempotent", "idempotent", "deduplicated", "at_most_once"),
              c.oneOf("key_scope", "zone", "all", "zone", "cell"),
              c.number("window_ms", 2000, 1, 1e7),
              c.number("target_latency_ms", 300, 1, 1e6),
              c.number("ttl_ms", 1000, 1, 1e6),
              c.number("benefit", 1, 0, 1e6),
              c.number("share", 1, 0, 1e6),
              c.number("work_ms", 20, 0.001, 1e5),
              c.number("spread", 0.5, 0, 3),
              c.integer("body_bytes", 100, 0, 32 << 20),
              c.integer("answer_bytes", 200, 0, 32 << 20)));
      c.done();
    }
    if (requestClasses.isEmpty()) {
      errors.add(file + ": category: at least one is needed");
    }
    s = top.section("clients");
    Scenario.ClientSettings clients =
        new Scenario.ClientSettings(
            s.number("per_s", 20, 0, 1e5),
            s.oneOf("retry", "none", "none", "at_once", "after"),
            s.integer("retries", 2, 0, 100),
            s.number("leave_share", 0, 0, 1),
            s.range("leave_ms", 20, 200),
            s.number("pieces_share", 0, 0, 1),
            s.number("close_share", 0, 0, 1),
            s.integer("resting", 0, 0, 100_000),
            s.number("patience_ms", 700, 0, 1e6));
    s.done();
    s = top.section("endpoints");
    Scenario.EndpointSettings endpoints =
        new Scenario.EndpointSettings(
            s.integer("count", 8, 1, 10_000),
            s.words("zones", zones),
            s.integer("cells", 3, 1, 1000),
            s.number("cores", 2, 0.1, 1000),
            s.integer("queue", 30, 0, 100_000),
            s.integer("connections", 200, 1, 100_000),
            s.number("idle_close_ms", 5000, 1, 1e7),
            s.number("choke_above", 1e6, 0, 1e6),
            s.number("choke", 0, 0, 100),
            s.range("speed", 1, 1),
            s.number("grace_ms", 1000, 0, 1e6),
            s.number("report_share", 0, 0, 1),
            s.flag("chunks", false));
    s.done();
    s = top.section("list");
    Scenario.DiscoverySettings list =
        new Scenario.DiscoverySettings(s.range("delay_ms", 1, 1), s.number("tell_ms", 5, 0, 1e6));
    s.done();
    s = top.section("network");
    Scenario.NetworkSettings net =
        new Scenario.NetworkSettings(
            s.number("near_us", 200, 0, 1e7),
            s.number("far_us", 2000, 0, 1e7),
            s.number("jitter_us", 50, 0, 1e7));
    s.done();
    s = top.section("rules");
    Scenario.Rules rules =
        new Scenario.Rules(
            s.number("answer_slack_ms", 15, 0, 1e6),
            s.number("drain_slack_ms", 1, 0, 1e6),
            s.number("cold_slack", 1.0, 0.1, 100));
    s.done();
    List<Fault> faults = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (Section t : top.sections("trouble")) {
      faults.add(fault(t, ids, fleet, endpoints));
      t.done();
    }
    Scenario scenario =
        new Scenario(
            top.word("name", "day"),
            top.number("seconds", 10, 0.01, 86_400),
            fleet,
            sidecarSettings,
            requestClasses,
            clients,
            endpoints,
            list,
            net,
            rules,
            faults);
    top.done();
    return scenario;
  }

  /** What the sidecars are told beside the request classes, by the paths of their configuration. */
  private Map<String, String> sidecarSettings(Section s) {
    Map<String, String> sidecarSettings = new LinkedHashMap<>();
    sidecarSettings.put("limits.max_pushes", "" + s.integer("max_pushes", 3, 1, 100));
    sidecarSettings.put("limits.may_duplicate", "" + s.flag("may_duplicate", true));
    sidecarSettings.put("limits.cancel", "" + s.flag("cancel", true));
    sidecarSettings.put("limits.retry_after", "" + s.flag("retry_after", true));
    sidecarSettings.put(
        "limits.max_retry_after_ms", "" + s.number("max_retry_after_ms", 1000, 0, 1e6));
    sidecarSettings.put(
        "limits.connect_timeout_ms", "" + s.number("connect_timeout_ms", 200, 1, 1e6));
    sidecarSettings.put("limits.keepalive_ms", "" + s.number("keepalive_ms", 5000, 1, 1e7));
    sidecarSettings.put("rules.ask_within_ms", "" + s.number("ask_within_ms", 5000, 1, 1e7));
    sidecarSettings.put("rules.start_capacity", "" + s.number("start_capacity", 0.3, 0.01, 1));
    sidecarSettings.put("rules.warm_up_ms", "" + s.number("warm_up_ms", 4000, 0, 1e7));
    sidecarSettings.put("rules.fall_multiple", "" + s.number("fall_multiple", 3, 0.1, 100));
    sidecarSettings.put("rules.fall_ms", "" + s.number("fall_ms", 1000, 1, 1e7));
    sidecarSettings.put("prices.cross_zone", "" + s.number("cross_zone", 0.03, 0, 100));
    s.done();
    return sidecarSettings;
  }

  private Fault fault(
      Section t,
      Set<String> ids,
      Scenario.SidecarGroup fleet,
      Scenario.EndpointSettings endpoints) {
    String word = t.word("kind", null);
    Fault.Kind kind =
        Arrays.stream(Fault.Kind.values())
            .filter(k -> k.word().equals(word))
            .findFirst()
            .orElse(null);
    if (kind == null && word != null) {
      t.error(
          "kind",
          "unknown: "
              + word
              + "; known are "
              + String.join(
                  ", ", Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList()));
    }
    int number =
        1; // among those of its kind, so that another kind's coming or going shifts no draw
    while (ids.contains(word + "-" + number)) {
      number++;
    }
    String id = t.word("id", word + "-" + number);
    if (!ids.add(id)) {
      t.error("id", "stands twice: " + id);
    }
    String target = t.word("target", "any");
    Fault.On on = kind == null ? Fault.On.NETWORK : kind.on;
    Set<String> known = new HashSet<>(Set.of("any", "all"));
    if (on == Fault.On.ENDPOINT) {
      for (int i = 0; i < endpoints.count(); i++) {
        known.add("e" + i);
      }
      endpoints.zones().forEach(z -> known.add("zone " + z));
    } else if (on == Fault.On.SIDECAR || on == Fault.On.CLIENTS) {
      for (int i = 0; i < fleet.count(); i++) {
        known.add("s" + i);
      }
    } else if (on == Fault.On.ZONE) {
      known.addAll(fleet.zones());
      known.addAll(endpoints.zones());
    }
    if (!known.contains(target)) {
      t.error("target", "there is no " + target + " that this kind could strike");
    }
    return new Fault(
        id,
        kind,
        t.range("at_ms", 0, 0),
        t.range("for_ms", 1000, 1000),
        target,
        t.range("factor", 4, 4),
        t.number("share", 0.5, 0, 1),
        t.oneOf("mode", "after", "before", "after", "answer", "refuse", "silent", "error"),
        t.integer("count", 1, 1, 1000));
  }

  /**
   * One table of the file, whose keys are asked for one by one; what nobody asked for is unknown.
   */
  private final class Section {
    private final TomlTable table;
    private final String path;
    private final TomlPosition at;
    private final String in; // the file
    private final Section like; // whose parts stand for those that are absent; null where none do
    private final Set<String> requested = new HashSet<>();

    Section(TomlTable table, String path, TomlPosition at, String in, Section like) {
      this.table = table;
      this.path = path;
      this.at = at;
      this.in = in;
      this.like = like;
    }

    void error(String key, String what) {
      TomlPosition where = table.inputPositionOf(List.of(key));
      where = where == null ? at : where;
      errors.add(in + (where == null ? "" : ":" + where.line()) + ": " + path + key + ": " + what);
    }

    private Object take(String key) {
      requested.add(key);
      return table.get(List.of(key));
    }

    Section section(String key) {
      Object value = take(key);
      if (value == null && like != null) {
        return like.section(key);
      } else if (value != null && !(value instanceof TomlTable)) {
        error(key, "has to be a table");
      }
      return new Section(
          value instanceof TomlTable t ? t : Toml.parse(""),
          path + key + ".",
          table.inputPositionOf(List.of(key)),
          in,
          null);
    }

    List<Section> sections(String key) {
      List<Section> all = new ArrayList<>();
      Object value = take(key);
      if (value == null && like != null) {
        return like.sections(key);
      } else if (value instanceof TomlArray array
          && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
        for (int i = 0; i < array.size(); i++) {
          all.add(
              new Section(
                  array.getTable(i),
                  path + key + "[" + i + "].",
                  array.inputPositionOf(i),
                  in,
                  null));
        }
      } else if (value != null) {
        error(key, "has to be a list of tables");
      }
      return all;
    }

    double number(String key, double ifAbsent, double min, double max) {
      Object value = take(key);
      if (value == null) {
        return like == null ? ifAbsent : like.number(key, ifAbsent, min, max);
      }
      if (!(value instanceof Number number)) {
        error(key, "has to be a number");
        return ifAbsent;
      }
      return within(key, number.doubleValue(), min, max);
    }

    private double within(String key, double value, double min, double max) {
      if (!(value >= min && value <= max)) {
        error(
            key,
            String.format(
                Locale.ROOT,
                "out of range: %s; from %s to %s",
                plain(value),
                plain(min),
                plain(max)));
        return min;
      }
      return value;
    }

    int integer(String key, int ifAbsent, int min, int max) {
      double value = number(key, ifAbsent, min, max);
      if (value != Math.rint(value)) {
        error(key, "has to be a whole number");
      }
      return (int) value;
    }

    boolean flag(String key, boolean ifAbsent) {
      Object value = take(key);
      if (value != null && !(value instanceof Boolean)) {
        error(key, "neither true nor false");
      }
      return value instanceof Boolean flag ? flag : ifAbsent;
    }

    /** Without a default it has to be there. */
    String word(String key, String ifAbsent) {
      Object value = take(key);
      if (value == null && ifAbsent == null) {
        error(key, "is missing");
      } else if (value != null && !(value instanceof String)) {
        error(key, "has to be text");
      }
      return value instanceof String word ? word : ifAbsent;
    }

    String oneOf(String key, String ifAbsent, String... known) {
      String word = word(key, ifAbsent);
      if (!List.of(known).contains(word)) {
        error(key, "unknown: " + word + "; known are " + String.join(", ", known));
      }
      return word;
    }

    List<String> words(String key, List<String> ifAbsent) {
      Object value = take(key);
      if (value == null) {
        return ifAbsent;
      }
      if (value instanceof TomlArray array
          && array.size() > 0
          && array.toList().stream().allMatch(String.class::isInstance)) {
        return array.toList().stream().map(String.class::cast).toList();
      }
      error(key, "has to be a list of texts, and not an empty one");
      return ifAbsent;
    }

    /** One number, or two between which each day draws. */
    Range range(String key, double min, double max) {
      Object value = take(key);
      if (value instanceof Number number) {
        return Range.of(within(key, number.doubleValue(), 0, 1e9));
      } else if (value instanceof TomlArray array
          && array.size() == 2
          && array.toList().stream().allMatch(Number.class::isInstance)) {
        double from = within(key, ((Number) array.get(0)).doubleValue(), 0, 1e9);
        return new Range(from, within(key, ((Number) array.get(1)).doubleValue(), from, 1e9));
      } else if (value != null) {
        error(key, "has to be a number, or two of which the second is not smaller");
      }
      return new Range(min, max);
    }

    void done() {
      for (String key : table.keySet()) {
        if (!requested.contains(key)) {
          String near =
              requested.stream()
                  .min(
                      java.util.Comparator.<String>comparingInt(k -> NEARNESS.apply(k, key))
                          .thenComparing(k -> k))
                  .orElse("");
          error(
              key,
              "unknown key"
                  + (NEARNESS.apply(near, key) <= 3 ? "; did you mean " + near + "?" : ""));
        }
      }
    }
  }

  private static String plain(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? String.valueOf((long) value)
        : String.valueOf(value);
  }
}
