package dillcross.net;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import dillcross.sidecar.EndpointEntry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A list of endpoints as discovery words it, or of those that changed. */
public record Roster(long version, boolean whole, List<EndpointEntry> entries) {
  /** From the text of an answer; null where it is none. */
  static Roster parse(byte[] text) {
    try {
      return JSON.std.anyFrom(text) instanceof Map<?, ?> map ? of(map) : null;
    } catch (IOException | IllegalArgumentException malformed) {
      return null;
    }
  }

  /**
   * @throws IllegalArgumentException that says what is wrong
   */
  public static Roster of(Map<?, ?> map) {
    List<EndpointEntry> entries = new ArrayList<>();
    if (!(map.get("servers") instanceof List<?> servers)) {
      throw new IllegalArgumentException("servers is not a list");
    }
    for (Object entry : servers) {
      if (!(entry instanceof Map<?, ?> server) || !(server.get("id") instanceof String id)) {
        throw new IllegalArgumentException("an entry of servers has no id");
      }
      Health health =
          switch (text(server, "state")) {
            case "in_service" -> Health.UP;
            case "terminating" -> Health.DRAINING;
            default -> Health.REMOVED; // what is not known to be in service gets nothing
          };
      double weight = number(server, "weight", 1);
      entries.add(
          new EndpointEntry(
              new Endpoint(
                  id,
                  health,
                  (long) (number(server, "started_ms", 0) * 1000),
                  (int) number(server, "cell", 0),
                  text(server, "zone"),
                  weight > 0 ? weight : 1),
              text(server, "addr")));
    }
    return new Roster(
        (long) number(map, "version", 0), !Boolean.FALSE.equals(map.get("full")), entries);
  }

  private static String text(Map<?, ?> map, String key) {
    return map.get(key) instanceof String text ? text : "";
  }

  private static double number(Map<?, ?> map, String key, double ifAbsent) {
    return map.get(key) instanceof Number number ? number.doubleValue() : ifAbsent;
  }
}
