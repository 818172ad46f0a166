package dillcross.balancer;

import dillcross.model.BalancerSettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which endpoints this sidecar uses (deterministic subsetting): some in its own zone and as
 * many in other zones, from the sidecar's own position on a ring of endpoints.
 *
 * <p>Ring positions spread sidecars evenly over endpoints, and a change of the endpoint list
 * changes few subsets. The size grows with traffic: a sidecar with little traffic that used every
 * endpoint would measure none of them.
 */
final class EndpointSubset {
  private static final double MIN_SIZE = 1.5; // in mean endpoint weights of a zone

  // Target size, in mean endpoint weights of a zone, per request per second; leaves enough samples
  // for each endpoint.
  private static final double SIZE_PER_REQUEST_PER_SECOND = 0.25;

  private static final int MIN_WARM_ENDPOINTS = 2; // the fewest that leave a choice of two
  private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

  // Once all endpoints are in use, they stay in use down to this fraction of the request rate from
  // which all are used.
  private static final double KEEP_ALL_FRACTION = 0.7;

  private static final double GROW_FACTOR = 1.2;
  private static final double SHRINK_FACTOR = 0.6;
  private static final double ROUNDING_TOLERANCE = 1e-9; // of the total weight of a zone

  private final EndpointDirectory directory;
  private final EndpointSets sets;
  private String zone;
  private double position; // on the ring, 0 to 1
  private double targetSize = MIN_SIZE; // in mean endpoint weights of a zone
  private boolean isStale;

  EndpointSubset(EndpointDirectory directory, EndpointSets sets) {
    this.directory = directory;
    this.sets = sets;
  }

  void configure(BalancerSettings settings) {
    zone = settings.zone();
    // The fractional parts of multiples of the golden ratio are spread evenly.
    position = Math.abs(settings.instanceIndex() * GOLDEN_RATIO) % 1;
    isStale = true;
  }

  /** Marks the subset as stale, so that it is selected again before the next decision. */
  void invalidate() {
    isStale = true;
  }

  /**
   * Adapts the target size to the request rate. Only a large change is adopted (hysteresis),
   * because an endpoint that leaves the subset is no longer measured.
   */
  void resize(double requestsPerSecond) {
    int known = directory.all().size();
    double threshold = known * (targetSize < known ? 1 : KEEP_ALL_FRACTION);
    double wanted =
        requestsPerSecond > threshold
            ? known + 1
            : Math.max(MIN_SIZE, SIZE_PER_REQUEST_PER_SECOND * requestsPerSecond);
    if (wanted > GROW_FACTOR * targetSize || wanted < SHRINK_FACTOR * targetSize) {
      targetSize = wanted;
      isStale = true;
    }
  }

  /** Selects the subset again if it is stale. Returns whether it was. */
  boolean refreshIfStale() {
    if (!isStale) {
      return false;
    }
    isStale = false;
    directory.forgetUnlisted();
    List<EndpointState> ring =
        directory.all().stream()
            .filter(EndpointState::isListed)
            .sorted(Comparator.comparingLong(state -> state.ringPosition))
            .toList();
    selectByHealth(ring);
    selectByZone(ring);
    return true;
  }

  private void selectByHealth(List<EndpointState> ring) {
    List<EndpointState> available = new ArrayList<>();
    List<EndpointState> ejected = new ArrayList<>();
    ring.forEach(state -> (state.ejection.isEjected() ? ejected : available).add(state));
    if (available.isEmpty()) {
      available.addAll(ejected); // ignores the ejections, as some may still answer
    }
    // Starts at this sidecar's ring position so that sidecars overflow to different endpoints.
    Collections.rotate(available, -(int) (position * available.size()));
    sets.replaceHealth(available, ejected);
  }

  private void selectByZone(List<EndpointState> ring) {
    Map<String, List<EndpointState>> zones = new HashMap<>();
    for (EndpointState state : ring) {
      zones.computeIfAbsent(state.zone(), name -> new ArrayList<>()).add(state);
    }
    List<EndpointState> local = new ArrayList<>();
    select(zones.remove(zone), local);
    List<EndpointState> remote = new ArrayList<>();
    int start = (int) (position * ring.size());
    for (int i = 0; i < ring.size() && remote.size() < targetSize; i++) {
      EndpointState state = ring.get((start + i) % ring.size());
      select(zones.remove(state.zone()), remote);
    }
    double largestWeight =
        ring.stream().mapToDouble(EndpointState::effectiveWeight).max().orElse(1);
    sets.replaceSubset(local, remote, largestWeight);
  }

  /**
   * Adds candidates to {@code selected}, from this sidecar's position on, until they have the
   * target size. Ejected endpoints are left out unless all are ejected. Endpoints in slow start do
   * not count towards the size.
   *
   * @param candidates the listed endpoints of one zone in ring order; null if it has none
   */
  private void select(List<EndpointState> candidates, List<EndpointState> selected) {
    if (candidates == null) {
      return;
    }
    double total = candidates.stream().mapToDouble(EndpointState::nominalWeight).sum();
    int start = startIndex(candidates, position * total);
    double missing = targetSize * total / candidates.size();
    int warm = 0;
    boolean isAllEjected = sets.available().get(0).ejection.isEjected();
    for (int i = 0; i < candidates.size(); i++) {
      if (missing <= ROUNDING_TOLERANCE * total && warm >= MIN_WARM_ENDPOINTS) {
        return;
      }
      EndpointState state = candidates.get((start + i) % candidates.size());
      boolean isUsable = !state.ejection.isEjected() || isAllEjected;
      if (isUsable) {
        selected.add(state);
        boolean isWarm = state.slowStart.isWarm();
        missing -= isWarm ? state.nominalWeight() : 0;
        warm += isWarm ? 1 : 0;
      }
    }
  }

  /** The index of the candidate at which the sum of nominal weights exceeds {@code weight}. */
  private static int startIndex(List<EndpointState> candidates, double weight) {
    double remaining = weight;
    int index = 0;
    while (index < candidates.size() - 1 && remaining >= candidates.get(index).nominalWeight()) {
      remaining -= candidates.get(index).nominalWeight();
      index++;
    }
    return index;
  }
}
