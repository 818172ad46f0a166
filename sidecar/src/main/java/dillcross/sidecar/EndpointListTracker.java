package dillcross.sidecar;

import dillcross.balancer.LoadBalancer;
import dillcross.model.Endpoint;
import java.util.List;
import java.util.Queue;
import java.util.stream.Stream;

/**
 * Tracks the endpoint list: its known version, the addresses of endpoints, and when the list is
 * watched again. Passes updates on to the load balancer, and issues commands to close connections
 * to endpoints that were removed, moved or restarted. Belongs to the selector thread.
 */
final class EndpointListTracker {
  /** Shortest time between two watches while discovery answers at once without an update. */
  private static final long MIN_WATCH_INTERVAL_US = 100_000;

  private final LoadBalancer balancer;
  private final TimerQueue timers;
  private final Queue<NetworkCommand> commands;
  private final EndpointAddresses addresses = new EndpointAddresses();
  private long listVersion; // version of the last update that was applied; 0 before the first
  private long watchedVersion; // next watch: changes since this version; 0: complete list
  private long lastWatchUs;
  private boolean hasReceivedWatchEvent;

  EndpointListTracker(LoadBalancer balancer, TimerQueue timers, Queue<NetworkCommand> commands) {
    this.balancer = balancer;
    this.timers = timers;
    this.commands = commands;
  }

  /**
   * Applies an update. Changes of an older version are dropped, because they could undo a drain,
   * and the complete list is requested: the version numbering has restarted, or a newer update has
   * overtaken this one.
   *
   * @param fromWatch whether the update answers a watch; the next watch is then scheduled
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
    // An endpoint whose address another one has is gone, even where removed ones are used on.
    List<EndpointEntry> replaced = addresses.findReplaced(updates);
    addresses.apply(updates).forEach(this::closeConnections);
    List<Endpoint> endpoints =
        Stream.concat(updates.stream(), replaced.stream()).map(EndpointEntry::endpoint).toList();
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

  /** Requests the changes since the known version, or the complete list where none is known. */
  void watch(long nowUs) {
    lastWatchUs = nowUs;
    commands.add(new NetworkCommand.WatchEndpoints(watchedVersion));
  }

  /** The version of the last update that was applied; 0 before the first. */
  long listVersion() {
    return listVersion;
  }

  /** The number of endpoints that attempts may be sent to. */
  int endpointCount() {
    return addresses.size();
  }

  /** Whether a watch has brought an update since the start. */
  boolean hasReceivedWatchEvent() {
    return hasReceivedWatchEvent;
  }

  /** The entry of an endpoint; null if no attempts may be sent to it. */
  EndpointEntry find(String endpoint) {
    return addresses.find(endpoint);
  }

  /** Whether the endpoint of the entry is still listed as the same process at the same address. */
  boolean isCurrent(EndpointEntry entry) {
    return addresses.isCurrent(entry);
  }
}
