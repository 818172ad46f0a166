package dillcross.fleet;

import dillcross.emulator.scenario.InvalidScenarioException;
import dillcross.emulator.scenario.Range;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * An experiment as described by its TOML file. Fault times are ranges, from which a run draws by
 * its seed. Errors in the file are reported with file, line and key.
 *
 * @param sidecars the number of sidecars
 * @param zones zone names, assigned to the sidecars in rotation
 * @param seeds the numbers of the sidecars that all others contact at their start
 * @param intervalMs the probe interval of the membership protocol
 * @param lengthS the duration of a run, in seconds, if there are no faults; with faults, a run
 *     lasts until the last fault ends
 * @param settleS the time, in seconds, within which all members must agree after the last fault
 */
record Experiment(
    String name,
    int sidecars,
    List<String> zones,
    List<Integer> seeds,
    int intervalMs,
    double lengthS,
    double settleS,
    List<Fault> faults) {
  /** The kinds of faults; the experiment file has their names in lower case. */
  enum Kind {
    KILL,
    PAUSE,
    CUT,
    CUT_ONE_WAY,
    LOSS,
    DELAY,
    TWICE,
    GARBLE,
    CLOCK;

    String configName() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /**
   * One {@code [[fault]]} table of the file.
   *
   * @param atS the range of the start time, in seconds
   * @param forS the range of the duration, in seconds; a member killed for 0 s is not restarted
   * @param of the members affected: any, half, all, others, sN, zone:NAME or share:X
   * @param to the members at the other end, for faults between members; same syntax
   * @param share the share of datagrams affected, 0 to 1, for loss, twice and garble
   * @param ms in milliseconds: the delay for delay, the jitter for twice, the shift for clock
   * @param every the seconds by which each repetition is later than the one before
   * @param times how many times the fault occurs
   */
  record Fault(
      Kind kind,
      Range atS,
      Range forS,
      String of,
      String to,
      double share,
      double ms,
      double every,
      int times) {}

  private static final Set<String> EXPERIMENT_KEYS =
      Set.of("name", "sidecars", "zones", "seeds", "interval_ms", "length_s", "settle_s", "fault");
  private static final Set<String> FAULT_KEYS =
      Set.of("kind", "at_s", "for_s", "of", "to", "share", "ms", "every_s", "times");
  private static final String SELECTOR_PATTERN =
      "any|half|all|others|s[0-9]{1,3}|zone:[a-z0-9-]+|share:(0\\.[0-9]+|1)";

  /**
   * Reads and checks an experiment file.
   *
   * @throws InvalidScenarioException if the file can't be read or is invalid
   */
  static Experiment read(Path file) throws InvalidScenarioException {
    TomlParseResult toml;
    try {
      toml = Toml.parse(file);
    } catch (IOException e) {
      throw new InvalidScenarioException(List.of("dillcross: " + file + " can't be read: " + e));
    }
    if (toml.hasErrors()) {
      throw new InvalidScenarioException(
          List.of(
              "dillcross: "
                  + file
                  + " line "
                  + toml.errors().get(0).position().line()
                  + ": "
                  + toml.errors().get(0).getMessage()));
    }
    Reader reader = new Reader(file, toml);
    reader.requireKnownKeys(EXPERIMENT_KEYS);
    int sidecars = (int) reader.number("sidecars", 6, 3, 60);
    List<String> zones = new ArrayList<>();
    TomlArray configuredZones = toml.isArray("zones") ? toml.getArray("zones") : null;
    for (int i = 0; configuredZones != null && i < configuredZones.size(); i++) {
      zones.add(String.valueOf(configuredZones.get(i)));
    }
    List<Integer> seeds = new ArrayList<>();
    TomlArray configuredSeeds = toml.isArray("seeds") ? toml.getArray("seeds") : null;
    for (int i = 0; configuredSeeds != null && i < configuredSeeds.size(); i++) {
      if (!(configuredSeeds.get(i) instanceof Long seed) || seed < 0 || seed >= sidecars) {
        throw reader.error("seeds", "no sidecar has this number: " + configuredSeeds.get(i));
      }
      seeds.add((int) (long) (Long) configuredSeeds.get(i));
    }
    List<Fault> faults = new ArrayList<>();
    TomlArray tables = toml.isArray("fault") ? toml.getArray("fault") : null;
    for (int i = 0; tables != null && i < tables.size(); i++) {
      faults.add(fault(new Reader(file, tables.getTable(i))));
    }
    return new Experiment(
        toml.isString("name") ? toml.getString("name") : file.getFileName().toString(),
        sidecars,
        zones.isEmpty() ? List.of("east", "west", "north") : zones,
        seeds.isEmpty() ? List.of(0) : seeds,
        (int) reader.number("interval_ms", 500, 50, 60_000),
        reader.number("length_s", 30, 1, 7200),
        reader.number("settle_s", 30, 1, 600),
        faults);
  }

  private static Fault fault(Reader reader) throws InvalidScenarioException {
    reader.requireKnownKeys(FAULT_KEYS);
    String kindName = reader.text("kind", "", ".+");
    Kind kind = null;
    for (Kind candidate : Kind.values()) {
      kind = candidate.configName().equals(kindName) ? candidate : kind;
    }
    if (kind == null) {
      throw reader.error("kind", "unknown: " + kindName);
    }
    return new Fault(
        kind,
        reader.range("at_s", 0),
        reader.range("for_s", 5),
        reader.text("of", "any", SELECTOR_PATTERN),
        reader.text("to", "others", SELECTOR_PATTERN),
        reader.number("share", 0.3, 0, 1),
        reader.number("ms", 100, -86_400_000, 86_400_000),
        reader.number("every_s", 0, 0, 3600),
        (int) reader.number("times", 1, 1, 1000));
  }

  private record Reader(Path file, TomlTable table) {
    void requireKnownKeys(Set<String> keys) throws InvalidScenarioException {
      for (String key : table.keySet()) {
        if (!keys.contains(key)) {
          throw error(
              key, "is not known; known are " + String.join(", ", keys.stream().sorted().toList()));
        }
      }
    }

    String text(String key, String ifAbsent, String pattern) throws InvalidScenarioException {
      Object value = table.contains(key) ? table.get(key) : ifAbsent;
      if (!(value instanceof String text) || !text.matches(pattern)) {
        throw error(key, "out of range: " + value);
      }
      return (String) value;
    }

    double number(String key, double ifAbsent, double min, double max)
        throws InvalidScenarioException {
      Object value = table.contains(key) ? table.get(key) : (Object) ifAbsent;
      if (!(value instanceof Number number)
          || number.doubleValue() < min
          || number.doubleValue() > max) {
        throw error(key, "out of range: " + value);
      }
      return ((Number) value).doubleValue();
    }

    Range range(String key, double ifAbsent) throws InvalidScenarioException {
      if (table.contains(key) && table.get(key) instanceof TomlArray pair) {
        if (pair.size() != 2
            || !(pair.get(0) instanceof Number a)
            || !(pair.get(1) instanceof Number b)
            || a.doubleValue() < 0
            || b.doubleValue() < a.doubleValue()) {
          throw error(key, "has to be two numbers, the smaller first");
        }
        return new Range(
            ((Number) pair.get(0)).doubleValue(), ((Number) pair.get(1)).doubleValue());
      }
      return Range.of(number(key, ifAbsent, 0, 7200));
    }

    InvalidScenarioException error(String key, String what) {
      return new InvalidScenarioException(
          List.of(
              "dillcross: "
                  + file
                  + (table.contains(key) ? " line " + table.inputPositionOf(key).line() : "")
                  + ", "
                  + key
                  + ": "
                  + what));
    }
  }
}
