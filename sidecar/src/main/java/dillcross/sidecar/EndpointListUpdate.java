package dillcross.sidecar;

import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An endpoint list as discovery words it, or the entries of it that changed.
 *
 * @param version by the list's own numbering
 * @param complete whether what {@code entries} do not name is removed; else they are changes
 */
public record EndpointListUpdate(long version, boolean complete, List<EndpointEntry> entries) {
  /**
   * From a JSON object, as discovery answers and as the configuration names known endpoints.
   *
   * @throws MalformedEndpointListException if it is no endpoint list
   */
  public static EndpointListUpdate fromJson(Map<?, ?> json) {
    if (!(json.get("servers") instanceof List<?> servers)) {
      throw new MalformedEndpointListException("servers is not a list");
    }
    List<EndpointEntry> entries = new ArrayList<>();
    for (Object server : servers) {
      entries.add(entry(server));
    }
    boolean complete = !Boolean.FALSE.equals(json.get("full"));
    return new EndpointListUpdate((long) number(json, "version", 0), complete, entries);
  }

  private static EndpointEntry entry(Object json) {
    if (!(json instanceof Map<?, ?> server) || !(server.get("id") instanceof String id)) {
      throw new MalformedEndpointListException("an entry of servers has no id");
    }
    Health health =
        switch (text(server, "state")) {
          case "in_service" -> Health.UP;
          case "terminating" -> Health.DRAINING;
          default -> Health.REMOVED; // what is not known to be in service gets nothing
        };
    long startedUs = (long) (number(server, "started_ms", 0) * 1000);
    double weight = number(server, "weight", 1);
    Endpoint endpoint =
        new Endpoint(
            id,
            health,
            startedUs,
            (int) number(server, "cell", 0),
            text(server, "zone"),
            weight > 0 ? weight : 1);
    return new EndpointEntry(endpoint, text(server, "addr"));
  }

  private static String text(Map<?, ?> json, String key) {
    return json.get(key) instanceof String text ? text : "";
  }

  private static double number(Map<?, ?> json, String key, double defaultValue) {
    return json.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
  }
}
