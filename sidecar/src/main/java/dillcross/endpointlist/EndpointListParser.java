package dillcross.endpointlist;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import dillcross.sidecar.EndpointEntry;
import dillcross.sidecar.EndpointListUpdate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads endpoint lists from JSON. A field that is absent or of another type takes its default; only
 * the list of entries and their ids are required.
 */
public final class EndpointListParser {
  private static final int MICROS_PER_MILLI = 1000;

  private EndpointListParser() {}

  /**
   * Reads the body of a discovery response.
   *
   * @throws MalformedEndpointListException if the body is not JSON, or not an endpoint list
   */
  public static EndpointListUpdate parse(byte[] text) {
    Object json;
    try {
      json = JSON.std.anyFrom(text);
    } catch (IOException | IllegalArgumentException malformed) {
      throw new MalformedEndpointListException("not JSON", malformed);
    }
    if (!(json instanceof Map<?, ?> fields)) {
      throw new MalformedEndpointListException("not a JSON object");
    }
    return fromJson(fields);
  }

  /**
   * Reads an endpoint list from a parsed JSON object.
   *
   * @throws MalformedEndpointListException if the object is not an endpoint list
   */
  public static EndpointListUpdate fromJson(Map<?, ?> json) {
    if (!(json.get(EndpointListFields.ENTRIES) instanceof List<?> servers)) {
      throw new MalformedEndpointListException(EndpointListFields.ENTRIES + " is not a list");
    }
    List<EndpointEntry> entries = new ArrayList<>();
    for (Object server : servers) {
      entries.add(entry(server));
    }
    boolean complete = !Boolean.FALSE.equals(json.get(EndpointListFields.IS_COMPLETE));
    long version = (long) number(json, EndpointListFields.VERSION, 0);
    return new EndpointListUpdate(version, complete, entries);
  }

  private static EndpointEntry entry(Object json) {
    if (!(json instanceof Map<?, ?> fields)
        || !(fields.get(EndpointListFields.ID) instanceof String id)) {
      throw new MalformedEndpointListException(
          "an entry of " + EndpointListFields.ENTRIES + " has no id");
    }
    double startedMs = number(fields, EndpointListFields.STARTED_MS, 0);
    double weight = number(fields, EndpointListFields.WEIGHT, 1);
    Endpoint endpoint =
        new Endpoint(
            id,
            health(fields),
            (long) (startedMs * MICROS_PER_MILLI),
            (int) number(fields, EndpointListFields.CELL, 0),
            text(fields, EndpointListFields.ZONE),
            weight > 0 ? weight : 1);
    return new EndpointEntry(endpoint, text(fields, EndpointListFields.ADDRESS));
  }

  /** An unknown health counts as removed, so that the endpoint gets no requests. */
  private static Health health(Map<?, ?> fields) {
    return switch (text(fields, EndpointListFields.HEALTH)) {
      case EndpointListFields.HEALTH_UP -> Health.UP;
      case EndpointListFields.HEALTH_DRAINING -> Health.DRAINING;
      default -> Health.REMOVED;
    };
  }

  private static String text(Map<?, ?> json, String key) {
    return json.get(key) instanceof String text ? text : "";
  }

  private static double number(Map<?, ?> json, String key, double defaultValue) {
    return json.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
  }
}
