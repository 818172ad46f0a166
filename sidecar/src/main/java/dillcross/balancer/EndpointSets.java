package dillcross.balancer;

import java.util.ArrayList;
import java.util.List;

/** What {@link EndpointSubset} has selected. Plain state. */
final class EndpointSets {
  /** Not ejected, from this sidecar's position on; all that are listed where all are ejected. */
  final List<EndpointState> available = new ArrayList<>();

  final List<EndpointState> ejected = new ArrayList<>();

  /** In use, of our own zone. */
  final List<EndpointState> local = new ArrayList<>();

  /** In use, of the next zones. */
  final List<EndpointState> remote = new ArrayList<>();

  double largestWeight;

  /** How many endpoints are in use. */
  int inUse() {
    return local.size() + remote.size();
  }

  boolean isInUse(EndpointState endpoint) {
    return local.contains(endpoint) || remote.contains(endpoint);
  }

  void clear() {
    available.clear();
    ejected.clear();
    local.clear();
    remote.clear();
  }
}
