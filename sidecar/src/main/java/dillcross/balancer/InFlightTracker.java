package dillcross.balancer;

/** Measures the attempts in flight that count as load, and how many of them are silent. */
final class InFlightTracker {
  private static final int MAX_SILENT_PER_ENDPOINT = 2;

  private final TrafficMeter traffic;
  private final EndpointDirectory directory;
  private int total;
  private int unresponsive;
  private boolean capacityChanged;

  InFlightTracker(TrafficMeter traffic, EndpointDirectory directory) {
    this.traffic = traffic;
    this.directory = directory;
  }

  /** Attempts in flight, silent or not. */
  int total() {
    return total;
  }

  /**
   * Attempts in flight that are not silent. At most two an endpoint are left out as silent, so that
   * load stays bounded where no endpoint answers.
   */
  int responsive() {
    return total - Math.min(unresponsive, MAX_SILENT_PER_ENDPOINT * directory.all().size());
  }

  /** The mean of {@link #responsive} over time. */
  double meanResponsive(long nowUs) {
    return traffic.meanInFlight(responsive(), nowUs);
  }

  /** The attempt counts as load from now on. */
  void start(Attempt attempt, long nowUs) {
    meanResponsive(nowUs);
    attempt.startLoad(nowUs);
    total++;
    attempt.endpoint.addInFlight(attempt);
  }

  /** The attempt no longer counts as load. */
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

  /** The attempt is silent: it must not use up the limit of a sidecar with little traffic. */
  void markSilent(Attempt attempt) {
    unresponsive += attempt.isConnectionSuspect() ? 0 : 1;
    attempt.markSilent();
  }

  /** Its connection seems dead: such attempts must not use up the limit until they end. */
  void markConnectionSuspect(Attempt attempt) {
    attempt.markConnectionSuspect();
    unresponsive++;
    attempt.endpoint.removeInFlight(attempt);
    capacityChanged = true;
  }

  /** Waiting requests may be admitted from now on. */
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
