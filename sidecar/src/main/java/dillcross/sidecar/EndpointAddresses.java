package dillcross.sidecar;

import dillcross.model.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The address and process of each endpoint that attempts may be sent to, as the endpoint list last
 * gave them.
 */
final class EndpointAddresses {
  private final Map<String, EndpointEntry> entries = new HashMap<>();

  /** Stores the entries that are up; returns the ids of those that moved or restarted, in order. */
  List<String> apply(List<EndpointEntry> updates) {
    List<String> changed = new ArrayList<>();
    for (EndpointEntry entry : updates) {
      Endpoint endpoint = entry.endpoint();
      boolean isUp = endpoint.health() == Endpoint.Health.UP;
      EndpointEntry before = isUp ? entries.put(endpoint.id(), entry) : null;
      if (before != null && !before.isSameProcess(entry)) {
        changed.add(endpoint.id());
      }
    }
    return changed;
  }

  /** Removes the entries whose id matches, and returns those ids, sorted. */
  List<String> removeIf(Predicate<String> filter) {
    List<String> removed = entries.keySet().stream().filter(filter).sorted().toList();
    entries.keySet().removeAll(removed);
    return removed;
  }

  /** The entry of that id; null where there is none. */
  EndpointEntry find(String id) {
    return entries.get(id);
  }

  /** The number of endpoints that attempts may be sent to. */
  int size() {
    return entries.size();
  }

  /** Whether the endpoint of the entry is still listed as the same process at the same address. */
  boolean isCurrent(EndpointEntry entry) {
    return entry.isSameProcess(entries.get(entry.endpoint().id()));
  }
}
