package dillcross.emulator.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The versioned endpoint list of the discovery service. Each change increments the version. While
 * frozen, the list is published as it was when it was frozen, and changes are still recorded.
 */
final class EndpointRegistry {
  private static final long INITIAL_VERSION = 100;
  private static final long RENUMBERED_VERSION = 1;
  private static final double WEIGHT_STEPS_PER_UNIT = 100; // weights have two decimals

  /**
   * The content of a response: all entries if {@code isFull}, otherwise those that changed since
   * the version that the caller has.
   */
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

  /** Marks the entry as terminated; updates then contain it as a change. */
  void remove(String endpoint) {
    version++;
    entries.put(endpoint, entries.get(endpoint).terminated(version));
  }

  /** Publishes the list in its current state until {@link #unfreeze}. */
  void freeze() {
    frozenEntries = new LinkedHashMap<>(entries);
    frozenVersion = version;
  }

  /** Publishes the list with all changes again. */
  void unfreeze() {
    frozenEntries = null;
  }

  /**
   * Restarts the version numbers, as a service that lost its state. Removes terminated entries and
   * ends a freeze.
   */
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

  /** The update for a caller that has the version {@code sinceVersion} of the list; 0 for none. */
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
