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
 * An experiment as its file has it. Times are ranges, drawn from the seed; a fault names file, line
 * and key.
 *
 * @param lengthS how long it lasts where the file has no faults; otherwise until the last is over
 * @param settleS within which all must agree again once the last fault is over
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
  /** What can go wrong. */
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

    String word() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /**
   * One line of the file.
   *
   * @param of whom it strikes: any, half, all, sN, zone:NAME or share:X; what is between members is
   *     between these and {@code to}
   * @param forS how long it lasts; killed for 0 s stays away
   * @param every seconds after which it comes again, 0 for once
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

  private static final Set<String> KEYS =
      Set.of("name", "sidecars", "zones", "seeds", "interval_ms", "length_s", "settle_s", "fault");
  private static final Set<String> OF_FAULT =
      Set.of("kind", "at_s", "for_s", "of", "to", "share", "ms", "every_s", "times");
  private static final String WHOM =
      "any|half|all|others|s[0-9]{1,3}|zone:[a-z0-9-]+|share:(0\\.[0-9]+|1)";

  static Experiment read(Path file) throws InvalidScenarioException {
    TomlParseResult all;
    try {
      all = Toml.parse(file);
    } catch (IOException e) {
      throw new InvalidScenarioException(List.of("dillcross: " + file + " can't be read: " + e));
    }
    if (all.hasErrors()) {
      throw new InvalidScenarioException(
          List.of(
              "dillcross: "
                  + file
                  + " line "
                  + all.errors().get(0).position().line()
                  + ": "
                  + all.errors().get(0).getMessage()));
    }
    Reader at = new Reader(file, all);
    at.known(KEYS);
    int sidecars = (int) at.number("sidecars", 6, 3, 60);
    List<String> zones = new ArrayList<>();
    TomlArray given = all.isArray("zones") ? all.getArray("zones") : null;
    for (int i = 0; given != null && i < given.size(); i++) {
      zones.add(String.valueOf(given.get(i)));
    }
    List<Integer> seeds = new ArrayList<>();
    TomlArray configuredSeeds = all.isArray("seeds") ? all.getArray("seeds") : null;
    for (int i = 0; configuredSeeds != null && i < configuredSeeds.size(); i++) {
      if (!(configuredSeeds.get(i) instanceof Long seed) || seed < 0 || seed >= sidecars) {
        throw at.fault("seeds", "names no sidecar: " + configuredSeeds.get(i));
      }
      seeds.add((int) (long) (Long) configuredSeeds.get(i));
    }
    List<Fault> faults = new ArrayList<>();
    TomlArray tables = all.isArray("fault") ? all.getArray("fault") : null;
    for (int i = 0; tables != null && i < tables.size(); i++) {
      faults.add(fault(new Reader(file, tables.getTable(i))));
    }
    return new Experiment(
        all.isString("name") ? all.getString("name") : file.getFileName().toString(),
        sidecars,
        zones.isEmpty() ? List.of("east", "west", "north") : zones,
        seeds.isEmpty() ? List.of(0) : seeds,
        (int) at.number("interval_ms", 500, 50, 60_000),
        at.number("length_s", 30, 1, 7200),
        at.number("settle_s", 30, 1, 600),
        faults);
  }

  private static Fault fault(Reader at) throws InvalidScenarioException {
    at.known(OF_FAULT);
    String word = at.text("kind", "", ".+");
    Kind kind = null;
    for (Kind one : Kind.values()) {
      kind = one.word().equals(word) ? one : kind;
    }
    if (kind == null) {
      throw at.fault("kind", "unknown: " + word);
    }
    return new Fault(
        kind,
        at.range("at_s", 0),
        at.range("for_s", 5),
        at.text("of", "any", WHOM),
        at.text("to", "others", WHOM),
        at.number("share", 0.3, 0, 1),
        at.number("ms", 100, -86_400_000, 86_400_000),
        at.number("every_s", 0, 0, 3600),
        (int) at.number("times", 1, 1, 1000));
  }

  private record Reader(Path file, TomlTable table) {
    void known(Set<String> keys) throws InvalidScenarioException {
      for (String key : table.keySet()) {
        if (!keys.contains(key)) {
          throw fault(
              key, "is not known; known are " + String.join(", ", keys.stream().sorted().toList()));
        }
      }
    }

    String text(String key, String ifAbsent, String pattern) throws InvalidScenarioException {
      Object value = table.contains(key) ? table.get(key) : ifAbsent;
      if (!(value instanceof String text) || !text.matches(pattern)) {
        throw fault(key, "out of range: " + value);
      }
      return (String) value;
    }

    double number(String key, double ifAbsent, double min, double max)
        throws InvalidScenarioException {
      Object value = table.contains(key) ? table.get(key) : (Object) ifAbsent;
      if (!(value instanceof Number number)
          || number.doubleValue() < min
          || number.doubleValue() > max) {
        throw fault(key, "out of range: " + value);
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
          throw fault(key, "has to be two numbers, the smaller first");
        }
        return new Range(
            ((Number) pair.get(0)).doubleValue(), ((Number) pair.get(1)).doubleValue());
      }
      return Range.of(number(key, ifAbsent, 0, 7200));
    }

    InvalidScenarioException fault(String key, String what) {
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
