package dillcross.emulator.simulation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An endpoint's entry in the endpoint list.
 *
 * @param id id of the endpoint
 * @param address where the endpoint listens, as {@code ip:port}
 * @param zone name of the endpoint's zone
 * @param cell number of the endpoint's cell
 * @param state in_service, terminating or terminated
 * @param weight relative capacity; 1 for a nominal endpoint
 * @param startedMs start of the endpoint's process in ms since 1970; 0 if it has no slow start
 * @param version version of the list that the latest change of this entry led to
 */
record ListedEndpoint(
    String id,
    String address,
    String zone,
    int cell,
    String state,
    double weight,
    long startedMs,
    long version) {
  static final String IN_SERVICE = "in_service";
  static final String TERMINATING = "terminating";
  static final String TERMINATED = "terminated";

  boolean isInService() {
    return state.equals(IN_SERVICE);
  }

  boolean isTerminated() {
    return state.equals(TERMINATED);
  }

  /** The same entry with the state {@code terminated}. */
  ListedEndpoint terminated(long newVersion) {
    return new ListedEndpoint(id, address, zone, cell, TERMINATED, weight, startedMs, newVersion);
  }

  /** The same entry with another version. */
  ListedEndpoint withVersion(long newVersion) {
    return new ListedEndpoint(id, address, zone, cell, state, weight, startedMs, newVersion);
  }

  /** The entry as the discovery protocol's JSON has it. */
  Map<String, Object> toJson() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("id", id);
    json.put("addr", address);
    json.put("zone", zone);
    json.put("kind", "any");
    json.put("cell", cell);
    json.put("state", state);
    json.put("weight", weight);
    json.put("started_ms", startedMs);
    return json;
  }
}
