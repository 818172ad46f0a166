package dillcross.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * What operators switch on in a file of their own, as TOML. What is not named there is off. A fault
 * names file, line and key; a key that is not known is a fault, as it would be a setting that does
 * nothing.
 */
public final class Operator {
  /**
   * The table {@code [membership]}.
   *
   * @param bind where datagrams come in; port 0 for any
   * @param advertise what others are told; empty for what was bound
   * @param seeds addresses of some others, asked at the start
   * @param mostMembers kept, the remembered dead among them
   * @param datagramBytes of the largest datagram
   * @param bytesPerS sent in the mean, at the most
   */
  public record Members(
      String fleet,
      String name,
      String zone,
      String bind,
      String advertise,
      List<String> seeds,
      long intervalUs,
      long timeoutUs,
      int mostMembers,
      int datagramBytes,
      long bytesPerS) {}

  private static final Set<String> KEYS =
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
  private static final String NAME = "[A-Za-z0-9._-]{1,48}"; // room for what a collision adds
  private static final String ADDRESS = "([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}";
  private final String file;
  private final TomlParseResult read;

  private Operator(String file, TomlParseResult read) {
    this.file = file;
    this.read = read;
  }

  public static Operator file(String file) {
    try {
      TomlParseResult read = Toml.parse(Path.of(file));
      if (read.hasErrors()) {
        throw new FaultyKey(
            file + " line " + read.errors().get(0).position().line(),
            "not TOML: " + read.errors().get(0).getMessage());
      }
      Operator operator = new Operator(file, read);
      operator.known(read, Set.of("membership"), "");
      return operator;
    } catch (IOException e) {
      throw new FaultyKey(file, "can't be read: " + e);
    }
  }

  private void known(TomlTable table, Set<String> keys, String prefix) {
    for (String key : table.keySet()) {
      if (!keys.contains(key)) {
        throw fault(
            prefix + key,
            "is not known; known are " + String.join(", ", keys.stream().sorted().toList()));
      }
    }
  }

  /**
   * Null where the file has no such table; {@code name} and {@code zone} are those of the sidecar,
   * where it names none of its own.
   */
  public Members members(String name, String zone) {
    if (!read.contains("membership")) {
      return null;
    }
    if (!read.isTable("membership")) {
      throw fault("membership", "has to be a table");
    }
    known(read.getTable("membership"), KEYS, "membership.");
    String own = text("name", name, NAME);
    if (own.isEmpty()) {
      throw fault("membership.name", "is missing, and the sidecar has no name either");
    }
    List<String> seeds = new ArrayList<>();
    if (read.contains("membership.seeds")) {
      if (!read.isArray("membership.seeds")) {
        throw fault("membership.seeds", "has to be a list of addresses");
      }
      TomlArray given = read.getArray("membership.seeds");
      for (int i = 0; i < given.size(); i++) {
        if (!(given.get(i) instanceof String seed) || !seed.matches(ADDRESS)) {
          throw fault("membership.seeds", "not a numeric address and port: " + given.get(i));
        }
        seeds.add((String) given.get(i));
      }
    }
    long interval = number("interval_ms", 1000, 50, 60_000);
    long timeout = number("timeout_ms", Math.max(10, interval * 3 / 10), 10, interval * 2 / 5);
    return new Members(
        text("fleet", "dillcross", NAME),
        own,
        text("zone", zone, "|" + NAME),
        text("bind", null, ADDRESS),
        text("advertise", "", ADDRESS),
        seeds,
        1000 * interval,
        1000 * timeout,
        (int) number("most_members", 4096, 2, 65_536),
        (int) number("datagram_bytes", 1200, 1000, 8192),
        number("bytes_per_s", 20_000, 2000, 100_000_000));
  }

  /** {@code ifAbsent} null where it has to be there. */
  private String text(String key, String ifAbsent, String pattern) {
    String path = "membership." + key;
    if (!read.contains(path)) {
      if (ifAbsent == null) {
        throw fault(path, "is missing");
      }
      return ifAbsent;
    }
    if (!read.isString(path) || !read.getString(path).matches(pattern)) {
      throw fault(path, "out of range: " + read.get(path));
    }
    return read.getString(path);
  }

  private long number(String key, long ifAbsent, long least, long most) {
    String path = "membership." + key;
    if (!read.contains(path)) {
      return ifAbsent;
    }
    if (!read.isLong(path)) {
      throw fault(path, "not a whole number: " + read.get(path));
    }
    long number = read.getLong(path);
    if (number < least || number > most) {
      throw fault(path, "out of range " + least + " to " + most + ": " + number);
    }
    return number;
  }

  private FaultyKey fault(String path, String what) {
    TomlPosition at =
        read.contains(path)
            ? read.inputPositionOf(path)
            : read.contains("membership") ? read.inputPositionOf("membership") : null;
    return new FaultyKey(file + (at == null ? "" : " line " + at.line()) + ", " + path, what);
  }
}
