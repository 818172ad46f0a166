package dillcross.config;

import dillcross.common.NumericAddress;
import dillcross.membership.MembershipSettings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * What operators switch on in a file of their own, as TOML. What is not named there is off. An
 * {@link InvalidConfigException} names file, line and key; an unknown key is invalid, as it would
 * be a setting that does nothing.
 */
public final class OperatorConfig {
  private static final String MEMBERSHIP = "membership";
  private static final Set<String> MEMBERSHIP_KEYS =
      Set.of(
          "fleet",
          "name",
          "zone",
          "bind",
          "advertise",
          "seeds",
          "interval_ms",
          "timeout_ms",
          "most_members",
          "datagram_bytes",
          "bytes_per_s");
  private static final String NAME = "[A-Za-z0-9._-]{1,48}"; // a collision adds some more
  private static final String NAME_OR_EMPTY = "|" + NAME;
  private static final int MICROS_PER_MILLI = 1000;

  private final String file;
  private final TomlParseResult toml;

  private OperatorConfig(String file, TomlParseResult toml) {
    this.file = file;
    this.toml = toml;
  }

  /** Reads the file; throws {@link InvalidConfigException} where it can't be used. */
  public static OperatorConfig read(String file) {
    OperatorConfig config = new OperatorConfig(file, parse(file));
    config.checkKeys(config.toml, Set.of(MEMBERSHIP), "");
    return config;
  }

  private static TomlParseResult parse(String file) {
    try {
      TomlParseResult toml = Toml.parse(Path.of(file));
      if (toml.hasErrors()) {
        TomlParseError error = toml.errors().get(0);
        String where = file + " line " + error.position().line();
        throw new InvalidConfigException(where, "not TOML: " + error.getMessage());
      }
      return toml;
    } catch (IOException e) {
      throw new InvalidConfigException(file, "can't be read: " + e);
    }
  }

  private void checkKeys(TomlTable table, Set<String> known, String prefix) {
    for (String key : table.keySet()) {
      if (!known.contains(key)) {
        String names = String.join(", ", known.stream().sorted().toList());
        throw invalid(prefix + key, "is not known; known are " + names);
      }
    }
  }

  /**
   * The table {@code [membership]}; empty where the file has none.
   *
   * @param sidecarName where it names no member
   * @param sidecarZone where it names no zone
   */
  public Optional<MembershipConfig> membership(String sidecarName, String sidecarZone) {
    if (!toml.contains(MEMBERSHIP)) {
      return Optional.empty();
    }
    if (!toml.isTable(MEMBERSHIP)) {
      throw invalid(MEMBERSHIP, "has to be a table");
    }
    checkKeys(toml.getTable(MEMBERSHIP), MEMBERSHIP_KEYS, MEMBERSHIP + ".");
    String name = text("name", NAME).orElse(sidecarName);
    if (name.isEmpty()) {
      throw invalid(path("name"), "is missing, and the sidecar has no name either");
    }
    List<String> seeds = seeds();
    long intervalMs = number("interval_ms", 1000, 50, 60_000);
    long defaultTimeoutMs = Math.max(10, intervalMs * 3 / 10);
    long timeoutMs = number("timeout_ms", defaultTimeoutMs, 10, intervalMs * 2 / 5);
    return Optional.of(
        new MembershipConfig(
            text("fleet", NAME).orElse("dillcross"),
            name,
            text("zone", NAME_OR_EMPTY).orElse(sidecarZone),
            address("bind").orElseThrow(() -> invalid(path("bind"), "is missing")),
            address("advertise").orElse(""),
            new MembershipSettings(
                seeds,
                MICROS_PER_MILLI * intervalMs,
                MICROS_PER_MILLI * timeoutMs,
                (int) number("most_members", 4096, 2, 65_536),
                (int) number("datagram_bytes", 1200, 1000, 8192),
                number("bytes_per_s", 20_000, 2000, 100_000_000))));
  }

  private List<String> seeds() {
    String path = path("seeds");
    if (!toml.contains(path)) {
      return List.of();
    }
    if (!toml.isArray(path)) {
      throw invalid(path, "has to be a list of addresses");
    }
    List<String> seeds = new ArrayList<>();
    TomlArray array = toml.getArray(path);
    for (int i = 0; i < array.size(); i++) {
      if (!(array.get(i) instanceof String seed) || !NumericAddress.hasForm(seed)) {
        throw invalid(path, "not a numeric address and port: " + array.get(i));
      }
      seeds.add((String) array.get(i));
    }
    return seeds;
  }

  private static String path(String key) {
    return MEMBERSHIP + "." + key;
  }

  private Optional<String> address(String key) {
    Optional<String> address = string(key);
    if (address.isPresent() && !NumericAddress.hasForm(address.get())) {
      throw invalid(path(key), "out of range: " + address.get());
    }
    return address;
  }

  private Optional<String> text(String key, String pattern) {
    Optional<String> text = string(key);
    if (text.isPresent() && !text.get().matches(pattern)) {
      throw invalid(path(key), "out of range: " + text.get());
    }
    return text;
  }

  private Optional<String> string(String key) {
    String path = path(key);
    if (!toml.contains(path)) {
      return Optional.empty();
    }
    if (!toml.isString(path)) {
      throw invalid(path, "out of range: " + toml.get(path));
    }
    return Optional.of(toml.getString(path));
  }

  private long number(String key, long defaultValue, long min, long max) {
    String path = path(key);
    if (!toml.contains(path)) {
      return defaultValue;
    }
    if (!toml.isLong(path)) {
      throw invalid(path, "not a whole number: " + toml.get(path));
    }
    long number = toml.getLong(path);
    if (number < min || number > max) {
      throw invalid(path, "out of range " + min + " to " + max + ": " + number);
    }
    return number;
  }

  private InvalidConfigException invalid(String path, String reason) {
    String line = position(path).map(position -> " line " + position.line()).orElse("");
    return new InvalidConfigException(file + line + ", " + path, reason);
  }

  /** Where the value stands, or its table where it is absent. */
  private Optional<TomlPosition> position(String path) {
    if (toml.contains(path)) {
      return Optional.of(toml.inputPositionOf(path));
    }
    return toml.contains(MEMBERSHIP)
        ? Optional.of(toml.inputPositionOf(MEMBERSHIP))
        : Optional.empty();
  }
}
