package dillcross.balancer;

import java.util.List;

/**
 * Keeps the endpoints of the last selection by {@link EndpointSubset}, which alone replaces them.
 */
final class EndpointSets {
  private List<EndpointState> available = List.of();
  private List<EndpointState> ejected = List.of();
  private List<EndpointState> local = List.of();
  private List<EndpointState> remote = List.of();
  private double largestWeight;

  /**
   * Listed endpoints that are not ejected, from this sidecar's ring position on; all listed
   * endpoints if all are ejected.
   */
  List<EndpointState> available() {
    return available;
  }

  /** Listed endpoints that are ejected, in ring order. */
  List<EndpointState> ejected() {
    return ejected;
  }

  /** The part of the subset in this sidecar's zone. */
  List<EndpointState> local() {
    return local;
  }

  /** The part of the subset in other zones. */
  List<EndpointState> remote() {
    return remote;
  }

  /** The largest effective weight of a listed endpoint; 1 if none is listed. */
  double largestWeight() {
    return largestWeight;
  }

  /** How many endpoints are in the subset. */
  int inUse() {
    return local.size() + remote.size();
  }

  boolean isInUse(EndpointState endpoint) {
    return local.contains(endpoint) || remote.contains(endpoint);
  }

  void replaceHealth(List<EndpointState> newAvailable, List<EndpointState> newEjected) {
    available = List.copyOf(newAvailable);
    ejected = List.copyOf(newEjected);
  }

  void replaceSubset(
      List<EndpointState> newLocal, List<EndpointState> newRemote, double newLargestWeight) {
    local = List.copyOf(newLocal);
    remote = List.copyOf(newRemote);
    largestWeight = newLargestWeight;
  }
}
