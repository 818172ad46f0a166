package dillcross.sidecar;

import dillcross.model.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

  /**
   * Finds endpoints that have gone, because another one is listed at their address. Of two that one
   * update lists, the one that started last is there, or else the later entry.
   *
   * @return the entries of the endpoints that have gone, as draining ones
   */
  List<EndpointEntry> findReplaced(List<EndpointEntry> updates) {
    Set<String> updatedIds = new HashSet<>(); // they may have moved
    Map<String, EndpointEntry> byAddress = new HashMap<>();
    List<EndpointEntry> replaced = new ArrayList<>();
    for (EndpointEntry entry : updates) {
      updatedIds.add(entry.endpoint().id());
      EndpointEntry other = isAtAddress(entry) ? byAddress.get(entry.address()) : null;
      boolean isOlder = other != null && startedUs(entry) < startedUs(other);
      if (isAtAddress(entry) && !isOlder) {
        byAddress.put(entry.address(), entry);
      }
      if (other != null && !isSameId(other, entry)) {
        replaced.add((isOlder ? entry : other).draining());
      }
    }
    entries.values().stream()
        .filter(entry -> byAddress.containsKey(entry.address()))
        .filter(entry -> !updatedIds.contains(entry.endpoint().id()))
        .map(EndpointEntry::draining)
        .forEach(replaced::add);
    return replaced;
  }

  private static boolean isAtAddress(EndpointEntry entry) {
    return entry.endpoint().health() == Endpoint.Health.UP && !entry.address().isEmpty();
  }

  private static boolean isSameId(EndpointEntry one, EndpointEntry other) {
    return one.endpoint().id().equals(other.endpoint().id());
  }

  private static long startedUs(EndpointEntry entry) {
    return entry.endpoint().startedUs();
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
