package dillcross.config;

import dillcross.common.NumericAddress;
import dillcross.membership.MembershipSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
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
 * Reads the operators' file, in TOML: it configures features that are off unless the file has their
 * table. An {@link InvalidConfigException} names file, line and key. An unknown key is invalid, as
 * it would be a setting without effect.
 */
public final class OperatorConfig {
  private static final String MEMBERSHIP = "membership";

  // The keys of the table [membership]. Each sets the field of MembershipConfig or
  // MembershipSettings that has the same name, unless its comment names another.

  private static final String FLEET = "fleet";
  private static final String NAME = "name";
  private static final String ZONE = "zone";
  private static final String BIND = "bind";
  private static final String ADVERTISE = "advertise";
  private static final String SEEDS = "seeds";

  /** {@code intervalUs}, in ms: shorter detects failures sooner, but costs datagrams and CPU. */
  private static final String INTERVAL_MS = "interval_ms";

  /** {@code timeoutUs}, in ms: must exceed the usual round trip between members. */
  private static final String TIMEOUT_MS = "timeout_ms";

  /** {@code maxMembers}: new members are refused while the table has that many live ones. */
  private static final String MAX_MEMBERS = "most_members";

  /** {@code datagramBytes}: has to be below the network path's MTU to avoid fragmentation. */
  private static final String DATAGRAM_BYTES = "datagram_bytes";

  /** {@code bytesPerSecond}: replies are suppressed above that rate of sent bytes. */
  private static final String BYTES_PER_SECOND = "bytes_per_s";

  private static final Set<String> MEMBERSHIP_KEYS =
      Set.of(
          FLEET,
          NAME,
          ZONE,
          BIND,
          ADVERTISE,
          SEEDS,
          INTERVAL_MS,
          TIMEOUT_MS,
          MAX_MEMBERS,
          DATAGRAM_BYTES,
          BYTES_PER_SECOND);

  private static final String DEFAULT_FLEET = "dillcross";
  private static final Range INTERVAL_MS_RANGE = new Range(50, 60_000);
  private static final long DEFAULT_INTERVAL_MS = 1000;
  private static final long MIN_TIMEOUT_MS = 10;
  private static final long DEFAULT_TIMEOUT_PERCENT = 30; // of the probe interval
  // Of the probe interval: leaves time for the indirect probe, which follows the timeout.
  private static final long MAX_TIMEOUT_PERCENT = 40;
  private static final long PERCENT = 100;
  private static final Range MAX_MEMBERS_RANGE = new Range(2, 65_536);
  private static final long DEFAULT_MAX_MEMBERS = 4096;
  private static final Range DATAGRAM_BYTES_RANGE = new Range(1000, 8192);
  private static final long DEFAULT_DATAGRAM_BYTES = 1200;
  private static final Range BYTES_PER_SECOND_RANGE = new Range(2000, 100_000_000);
  private static final long DEFAULT_BYTES_PER_SECOND = 20_000;

  // At most 48 characters: on a name collision the membership appends a suffix of 7 more.
  private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,48}";
  private static final String NAME_OR_EMPTY_PATTERN = "|" + NAME_PATTERN;
  private static final int MICROS_PER_MILLI = 1000;

  /** The range of valid values of a number, both ends included. */
  private record Range(long min, long max) {
    boolean contains(long number) {
      return number >= min && number <= max;
    }
  }

  private final String file;
  private final TomlParseResult toml;

  private OperatorConfig(String file, TomlParseResult toml) {
    this.file = file;
    this.toml = toml;
  }

  /**
   * Reads the file.
   *
   * @throws InvalidConfigException if it can't be read, is not TOML or has an unknown key at its
   *     top
   */
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
        throw new InvalidConfigException(
            location(file, error.position()), "not TOML: " + error.getMessage());
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
        throw invalid(prefix + key, "unknown key; known keys are " + names);
      }
    }
  }

  /**
   * The table {@code [membership]}; empty where the file has none.
   *
   * @param sidecarName the default of the member's name; empty for none
   * @param sidecarZone the default of the member's zone; empty for none
   * @throws InvalidConfigException for the first value that is missing or invalid
   */
  public Optional<MembershipConfig> membership(String sidecarName, String sidecarZone) {
    if (!toml.contains(MEMBERSHIP)) {
      return Optional.empty();
    }
    if (!toml.isTable(MEMBERSHIP)) {
      throw invalid(MEMBERSHIP, "has to be a table");
    }
    checkKeys(toml.getTable(MEMBERSHIP), MEMBERSHIP_KEYS, MEMBERSHIP + ".");
    String name = text(NAME, NAME_PATTERN).orElse(sidecarName);
    if (name.isEmpty()) {
      throw invalid(path(NAME), "is missing, and the sidecar has no name either");
    }
    List<String> seeds = seeds();
    long intervalMs = number(INTERVAL_MS, DEFAULT_INTERVAL_MS, INTERVAL_MS_RANGE);
    long timeoutMs = timeoutMs(intervalMs);
    MembershipConfig membership =
        new MembershipConfig(
            text(FLEET, NAME_PATTERN).orElse(DEFAULT_FLEET),
            name,
            text(ZONE, NAME_OR_EMPTY_PATTERN).orElse(sidecarZone),
            address(BIND).orElseThrow(() -> invalid(path(BIND), "is missing")),
            address(ADVERTISE).orElse(""),
            new MembershipSettings(
                seeds,
                MICROS_PER_MILLI * intervalMs,
                MICROS_PER_MILLI * timeoutMs,
                (int) number(MAX_MEMBERS, DEFAULT_MAX_MEMBERS, MAX_MEMBERS_RANGE),
                (int) number(DATAGRAM_BYTES, DEFAULT_DATAGRAM_BYTES, DATAGRAM_BYTES_RANGE),
                number(BYTES_PER_SECOND, DEFAULT_BYTES_PER_SECOND, BYTES_PER_SECOND_RANGE)));
    checkReachable(membership);
    return Optional.of(membership);
  }

  private long timeoutMs(long intervalMs) {
    long defaultMs = Math.max(MIN_TIMEOUT_MS, intervalMs * DEFAULT_TIMEOUT_PERCENT / PERCENT);
    return number(
        TIMEOUT_MS,
        defaultMs,
        new Range(MIN_TIMEOUT_MS, intervalMs * MAX_TIMEOUT_PERCENT / PERCENT));
  }

  /** Rejects an ephemeral port without an advertised address: nobody could send to it. */
  private void checkReachable(MembershipConfig membership) {
    InetSocketAddress bind =
        NumericAddress.parse(membership.bind())
            .orElseThrow(
                () ->
                    new InvalidConfigException(
                        file, path(BIND), "not a numeric address and port: " + membership.bind()));
    if (membership.advertise().isEmpty() && bind.getPort() == 0) {
      throw new InvalidConfigException(
          file,
          path(BIND),
          "has port 0, so membership.advertise has to name the address that other members send to");
    }
  }

  private List<String> seeds() {
    String path = path(SEEDS);
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
      throw invalid(path(key), "not a numeric address and port: " + address.get());
    }
    return address;
  }

  private Optional<String> text(String key, String pattern) {
    Optional<String> text = string(key);
    if (text.isPresent() && !text.get().matches(pattern)) {
      throw invalid(path(key), "does not match " + pattern + ": " + text.get());
    }
    return text;
  }

  private Optional<String> string(String key) {
    String path = path(key);
    if (!toml.contains(path)) {
      return Optional.empty();
    }
    if (!toml.isString(path)) {
      throw invalid(path, "not a text: " + toml.get(path));
    }
    return Optional.of(toml.getString(path));
  }

  private long number(String key, long defaultValue, Range range) {
    String path = path(key);
    if (!toml.contains(path)) {
      return defaultValue;
    }
    if (!toml.isLong(path)) {
      throw invalid(path, "not a whole number: " + toml.get(path));
    }
    long number = toml.getLong(path);
    if (!range.contains(number)) {
      throw invalid(path, "out of range " + range.min() + " to " + range.max() + ": " + number);
    }
    return number;
  }

  private InvalidConfigException invalid(String path, String reason) {
    String location = position(path).map(position -> location(file, position)).orElse(file);
    return new InvalidConfigException(location, path, reason);
  }

  private static String location(String file, TomlPosition position) {
    return file + " line " + position.line();
  }

  /** The value's position in the file; if absent, its table's; empty if both are absent. */
  private Optional<TomlPosition> position(String path) {
    if (toml.contains(path)) {
      return Optional.of(toml.inputPositionOf(path));
    }
    return toml.contains(MEMBERSHIP)
        ? Optional.of(toml.inputPositionOf(MEMBERSHIP))
        : Optional.empty();
  }
}
