package dillcross.emulator.simulation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An endpoint's entry in the endpoint list. {@code state} is the protocol's word, {@code startedMs}
 * is in ms since 1970 (0 for long ago), {@code version} that of the entry's latest change.
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

  /** The same entry after its endpoint has left. */
  ListedEndpoint terminated(long newVersion) {
    return new ListedEndpoint(id, address, zone, cell, TERMINATED, weight, startedMs, newVersion);
  }

  /** The same entry under another version. */
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
