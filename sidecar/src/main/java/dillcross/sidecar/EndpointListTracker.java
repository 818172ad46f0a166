package dillcross.sidecar;

import dillcross.balancer.LoadBalancer;
import dillcross.model.Endpoint;
import java.util.List;
import java.util.Queue;

/**
 * Follows the endpoint list: which version is known, where endpoints are, and when the list is
 * watched again. Tells the load balancer about endpoints, and has connections closed to those that
 * were removed, moved or restarted. Belongs to the selector thread.
 */
final class EndpointListTracker {
  /** Limits how often a list that answers at once, without an update, is watched again. */
  private static final long MIN_WATCH_INTERVAL_US = 100_000;

  private final LoadBalancer balancer;
  private final TimerQueue timers;
  private final Queue<NetworkCommand> commands;
  private final EndpointAddresses addresses = new EndpointAddresses();
  private long listVersion; // of the last update that was applied
  private long watchedVersion; // what the next watch asks to follow; 0 for the complete list
  private long lastWatchUs;
  private boolean hasReceivedWatchEvent;

  EndpointListTracker(LoadBalancer balancer, TimerQueue timers, Queue<NetworkCommand> commands) {
    this.balancer = balancer;
    this.timers = timers;
    this.commands = commands;
  }

  /**
   * Applies an update. Changes of an older version are dropped, because they could undo a drain,
   * and the complete list is requested: the version numbering has restarted, or the update was
   * overtaken.
   *
   * @param fromWatch whether a watch brought the update; the next watch is then scheduled
   */
  void onUpdate(
      long nowUs, long version, boolean complete, List<EndpointEntry> updates, boolean fromWatch) {
    boolean isOlder = !complete && version < watchedVersion;
    listVersion = isOlder ? listVersion : version;
    watchedVersion = isOlder ? 0 : version;
    apply(nowUs, complete, isOlder ? List.of() : updates);
    hasReceivedWatchEvent |= fromWatch;
    if (fromWatch) {
      long earliestUs = Math.max(nowUs, lastWatchUs + MIN_WATCH_INTERVAL_US);
      scheduleWatch(updates.isEmpty() ? earliestUs : nowUs);
    }
  }

  /** Applies an update from the former discovery address, whose versions are not comparable. */
  void onFormerUpdate(long nowUs, boolean complete, List<EndpointEntry> updates) {
    apply(nowUs, complete, updates);
  }

  private void apply(long nowUs, boolean complete, List<EndpointEntry> updates) {
    addresses.apply(updates).forEach(this::closeConnections);
    List<Endpoint> endpoints = updates.stream().map(EndpointEntry::endpoint).toList();
    balancer.onEndpointList(nowUs, complete, endpoints);
    addresses.removeIf(id -> !balancer.isListed(id)).forEach(this::closeConnections);
  }

  private void closeConnections(String endpoint) {
    commands.add(new NetworkCommand.CloseConnections(endpoint));
  }

  /** Requests the complete list now from a new discovery address. */
  void onDiscoveryMoved(long nowUs) {
    watchedVersion = 0;
    // An empty update clears failures of the former address, which are no reason to back off.
    balancer.onEndpointList(nowUs, false, List.of());
    scheduleWatch(nowUs);
  }

  private void scheduleWatch(long dueUs) {
    timers.add(dueUs, TimerKind.WATCH_ENDPOINTS, 0, 0);
  }

  /** Watches for what is newer than the known version. */
  void watch(long nowUs) {
    lastWatchUs = nowUs;
    commands.add(new NetworkCommand.WatchEndpoints(watchedVersion));
  }

  /** The version of the last update that was applied; 0 before any. */
  long listVersion() {
    return listVersion;
  }

  /** How many endpoints may be used. */
  int endpointCount() {
    return addresses.size();
  }

  /** Whether a watch has brought an update since the start. */
  boolean hasReceivedWatchEvent() {
    return hasReceivedWatchEvent;
  }

  /** The entry of an endpoint that may be used; null if there is none. */
  EndpointEntry find(String endpoint) {
    return addresses.find(endpoint);
  }

  /** Whether the entry is still the same process at the same address. */
  boolean isCurrent(EndpointEntry entry) {
    return addresses.isCurrent(entry);
  }
}
