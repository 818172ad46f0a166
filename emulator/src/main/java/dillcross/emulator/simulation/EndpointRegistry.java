package dillcross.emulator.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The versioned endpoint list. Each change has a version of its own. While frozen it publishes the
 * list as it was, and keeps recording changes.
 */
final class EndpointRegistry {
  private static final long INITIAL_VERSION = 100;
  private static final long RENUMBERED_VERSION = 1;
  private static final double WEIGHT_STEPS_PER_UNIT = 100; // weights have two decimals

  /** The response to a caller that knows some version: all entries, or those changed since. */
  record Update(long version, boolean isFull, List<ListedEndpoint> entries) {
    /** The response body's JSON. */
    Map<String, Object> toJson() {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("version", version);
      json.put("full", isFull);
      json.put("servers", entries.stream().map(ListedEndpoint::toJson).toList());
      return json;
    }
  }

  private final Map<String, ListedEndpoint> entries = new LinkedHashMap<>();
  private long version = INITIAL_VERSION;
  private Map<String, ListedEndpoint> frozenEntries; // null unless frozen
  private long frozenVersion;

  /** Adds or changes the entry of an endpoint. */
  void put(EmulatedEndpoint endpoint, String state, long startedMs) {
    version++;
    double weight = Math.round(endpoint.speed() * WEIGHT_STEPS_PER_UNIT) / WEIGHT_STEPS_PER_UNIT;
    ListedEndpoint entry =
        new ListedEndpoint(
            endpoint.id(),
            endpoint.address(),
            endpoint.zone(),
            endpoint.cell(),
            state,
            weight,
            startedMs,
            version);
    entries.put(endpoint.id(), entry);
  }

  /** Marks the entry as terminated, so that callers learn of it. */
  void remove(String endpoint) {
    version++;
    entries.put(endpoint, entries.get(endpoint).terminated(version));
  }

  /** Publishes the present list until {@link #unfreeze}. */
  void freeze() {
    frozenEntries = new LinkedHashMap<>(entries);
    frozenVersion = version;
  }

  /** Publishes the current list again. */
  void unfreeze() {
    frozenEntries = null;
  }

  /** Restarts the version numbers, as a service does that lost its memory. */
  void renumber() {
    version = RENUMBERED_VERSION;
    entries.values().removeIf(ListedEndpoint::isTerminated);
    entries.replaceAll((id, entry) -> entry.withVersion(RENUMBERED_VERSION));
    frozenEntries = null;
  }

  /** The version of the published list. */
  long publishedVersion() {
    return frozenEntries == null ? version : frozenVersion;
  }

  /** The response to a caller that knows {@code sinceVersion}, or 0 for none. */
  Update updateSince(long sinceVersion) {
    Map<String, ListedEndpoint> published = frozenEntries == null ? entries : frozenEntries;
    long publishedVersion = publishedVersion();
    boolean isFull = sinceVersion == 0 || sinceVersion > publishedVersion;
    List<ListedEndpoint> selected =
        published.values().stream()
            .filter(entry -> isFull ? !entry.isTerminated() : entry.version() > sinceVersion)
            .toList();
    return new Update(publishedVersion, isFull, selected);
  }

  /** All current entries, even while frozen. */
  Update current() {
    List<ListedEndpoint> current =
        entries.values().stream().filter(entry -> !entry.isTerminated()).toList();
    return new Update(version, true, current);
  }
}
