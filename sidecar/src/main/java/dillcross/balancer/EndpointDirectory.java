package dillcross.balancer;

import dillcross.model.BalancerSettings;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Keeps the endpoints that the endpoint lists from discovery have named. */
final class EndpointDirectory {
  private static final double MIN_WEIGHT = 1e-9; // prevents a division by zero

  private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
  private final SlowStart slowStart;
  private final RemovalGrace removal;
  private DiscoveryPolicy policy;
  private String zone;
  private double remoteOccupancyRatio = 1;
  private boolean changed; // whether an update requires that the subset be selected again

  EndpointDirectory(SlowStart slowStart, RemovalGrace removal) {
    this.slowStart = slowStart;
    this.removal = removal;
  }

  void configure(BalancerSettings settings) {
    zone = settings.zone();
    policy = settings.discovery();
    // Reinterprets the known weights by the new policy, until an endpoint list brings new ones.
    for (EndpointState state : endpoints.values()) {
      boolean isDynamic = policy.dynamicWeights() && state.occupancy() > 0;
      state.updateWeight(state.entry().weight(), isDynamic);
    }
  }

  /**
   * All endpoints of the directory, as a live view, in the order in which they were first named.
   */
  Collection<EndpointState> all() {
    return endpoints.values();
  }

  /** The endpoint of that id; null if the directory does not hold it. */
  EndpointState find(String id) {
    return endpoints.get(id);
  }

  /** Whether attempts may be sent to the endpoint of that id. */
  boolean isListed(String id) {
    EndpointState state = endpoints.get(id);
    return state != null && state.isListed();
  }

  /**
   * (1 + mean occupancy of other zones) / (1 + mean occupancy of this sidecar's zone), where
   * occupancy is {@link EndpointState#occupancy}.
   */
  double remoteOccupancyRatio() {
    return remoteOccupancyRatio;
  }

  /**
   * Applies an update of the endpoint list. Returns whether the subset must be selected again.
   *
   * @param complete whether endpoints that {@code entries} do not name are removed
   */
  boolean apply(long nowUs, boolean complete, List<Endpoint> entries) {
    changed = complete;
    if (complete) {
      endpoints.values().forEach(state -> remove(state, nowUs));
    }
    entries.forEach(entry -> applyEntry(entry, nowUs));
    remoteOccupancyRatio = measureRemoteOccupancyRatio();
    return changed;
  }

  @SuppressWarnings("ReferenceEquality") // equal only if the state was just created
  private void applyEntry(Endpoint entry, long nowUs) {
    EndpointState state = endpoints.computeIfAbsent(entry.id(), id -> new EndpointState(entry));
    Endpoint before = state.entry();
    boolean isNew = before == entry;
    boolean isUp = entry.health() == Endpoint.Health.UP;
    boolean isRetained = entry.health() == Endpoint.Health.REMOVED && remove(state, nowUs);
    changed |= isNew || (isUp || isRetained) != state.isListed() || differs(before, entry);
    if (isNew || entry.startedUs() > before.startedUs()) { // a new process
      state.forgetLatency();
      slowStart.begin(state, entry.startedUs(), nowUs);
    }
    state.updateEntry(entry);
    state.updateListing(isUp || isRetained);
    if (isUp) {
      state.clearRemoval();
    }
    state.updateWeight(entry.weight(), policy.dynamicWeights());
  }

  /**
   * Whether a changed entry requires that the subset be selected again. Changes of dynamic weights
   * do not, because these weights change all the time with load.
   */
  private boolean differs(Endpoint before, Endpoint entry) {
    return entry.startedUs() != before.startedUs()
        || entry.cell() != before.cell()
        || !entry.zone().equals(before.zone())
        || (!policy.dynamicWeights() && entry.weight() != before.weight());
  }

  /**
   * Handles the removal of an endpoint from the endpoint list. Returns whether attempts may still
   * be sent to it.
   */
  private boolean remove(EndpointState state, long nowUs) {
    boolean isRetained = removal.retains(state);
    if (isRetained) {
      state.markRemoved(nowUs);
    }
    changed |= state.isListed() != isRetained;
    state.updateListing(isRetained);
    return isRetained;
  }

  private double measureRemoteOccupancyRatio() {
    double localLoad = 0;
    double localSize = MIN_WEIGHT;
    double remoteLoad = 0;
    double remoteSize = MIN_WEIGHT;
    for (EndpointState state : endpoints.values()) {
      double load = state.isListed() ? state.nominalWeight() * state.occupancy() : 0;
      double size = state.isListed() ? state.nominalWeight() : 0;
      if (state.zone().equals(zone)) {
        localLoad += load;
        localSize += size;
      } else {
        remoteLoad += load;
        remoteSize += size;
      }
    }
    return (1 + remoteLoad / remoteSize) / (1 + localLoad / localSize);
  }

  /**
   * Unlists removed endpoints whose grace period is over. Returns whether any endpoint is unlisted.
   */
  boolean expireRemoved(long nowUs) {
    boolean isAnyUnlisted = false;
    for (EndpointState state : endpoints.values()) {
      if (removal.isExpired(state, nowUs)) {
        state.updateListing(false);
      }
      isAnyUnlisted |= !state.isListed();
    }
    return isAnyUnlisted;
  }

  /** Forgets endpoints that are unlisted and have nothing in flight. */
  void forgetUnlisted() {
    endpoints.values().removeIf(state -> !state.isListed() && state.inFlightCount() == 0);
  }

  /**
   * The longest time, in microseconds, that an attempt in flight in the zone has waited; only
   * attempts count that were sent after every attempt that succeeded in the zone. 0 if there is
   * none. So an endpoint that hangs while others in the zone succeed does not count.
   */
  long unansweredUs(String zoneName, long nowUs) {
    long lastSucceededSentUs = 0;
    for (EndpointState state : endpoints.values()) {
      if (state.zone().equals(zoneName)) {
        lastSucceededSentUs = Math.max(lastSucceededSentUs, state.lastSucceededSentUs());
      }
    }
    long longestUs = 0;
    for (EndpointState state : endpoints.values()) {
      if (state.zone().equals(zoneName)) {
        longestUs = Math.max(longestUs, state.longestWaitUs(lastSucceededSentUs, nowUs));
      }
    }
    return longestUs;
  }
}
