package dillcross.balancer;

/** Counts the attempts that endpoints work for, and those of them that have fallen silent. */
final class InFlightTracker {
  private final TrafficMeter traffic;
  private final EndpointDirectory directory;
  private int total;
  private int unresponsive;
  private boolean capacityChanged;

  InFlightTracker(TrafficMeter traffic, EndpointDirectory directory) {
    this.traffic = traffic;
    this.directory = directory;
  }

  /** In flight, silent or not. */
  int total() {
    return total;
  }

  /** In flight and not silent; two an endpoint may be, so that a silent fleet stays bounded. */
  int responsive() {
    return total - Math.min(unresponsive, 2 * directory.all().size());
  }

  /** The mean of {@link #responsive} over time. */
  double meanResponsive(long nowUs) {
    return traffic.meanInFlight(responsive(), nowUs);
  }

  /** From now on the endpoint works for the attempt. */
  void start(Attempt attempt, long nowUs) {
    meanResponsive(nowUs);
    attempt.startLoad(nowUs);
    total++;
    attempt.endpoint.addInFlight(attempt);
  }

  /** The attempt is no load any more. */
  void release(Attempt attempt, long nowUs) {
    if (attempt.countsAsLoad()) {
      meanResponsive(nowUs);
      unresponsive -= attempt.isSilent() || attempt.isConnectionSuspect() ? 1 : 0;
      total--;
      attempt.endpoint.removeInFlight(attempt);
      attempt.endLoad();
    }
    capacityChanged = true;
  }

  /** Its silence must not use up the limit of a sidecar with little traffic. */
  void markSilent(Attempt attempt) {
    unresponsive += attempt.isConnectionSuspect() ? 0 : 1;
    attempt.markSilent();
  }

  /** Dead connections alone would hold all of the limit until their requests end. */
  void markConnectionSuspect(Attempt attempt) {
    attempt.markConnectionSuspect();
    unresponsive++;
    attempt.endpoint.removeInFlight(attempt);
    capacityChanged = true;
  }

  /** Something may be admitted that was not before. */
  void signalCapacity() {
    capacityChanged = true;
  }

  /** Whether capacity may have been freed since the last call. */
  boolean takeCapacitySignal() {
    boolean changed = capacityChanged;
    capacityChanged = false;
    return changed;
  }
}
