package dillcross.balancer;

/**
 * Measures the attempts in flight that count as load, and how many of them are silent: overdue at
 * an endpoint that has answered nothing meanwhile.
 */
final class InFlightTracker {
  private static final int MAX_SILENT_PER_ENDPOINT = 2;

  private final TrafficMeter traffic;
  private final EndpointDirectory directory;
  private int total;
  private int unresponsive; // silent, or on a connection that seems dead
  private boolean capacityChanged;

  InFlightTracker(TrafficMeter traffic, EndpointDirectory directory) {
    this.traffic = traffic;
    this.directory = directory;
  }

  /** Number of attempts in flight that count as load, silent or not. */
  int total() {
    return total;
  }

  /**
   * Number of attempts in flight that count as load, less the silent ones and those on connections
   * that seem dead. At most two per endpoint are left out, so that load stays bounded if no
   * endpoint answers.
   */
  int responsive() {
    return total - Math.min(unresponsive, MAX_SILENT_PER_ENDPOINT * directory.all().size());
  }

  /** The mean of {@link #responsive} over time, up to {@code nowUs}. */
  double meanResponsive(long nowUs) {
    return traffic.meanInFlight(responsive(), nowUs);
  }

  /** Counts the attempt as load from now on. */
  void start(Attempt attempt, long nowUs) {
    meanResponsive(nowUs);
    attempt.startLoad(nowUs);
    total++;
    attempt.endpoint.addInFlight(attempt);
  }

  /** Stops counting the attempt as load and signals that waiting requests may be admitted. */
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

  /**
   * Marks the attempt as silent, so that it does not use up the concurrency limit of a sidecar with
   * little traffic.
   */
  void markSilent(Attempt attempt) {
    unresponsive += attempt.isConnectionSuspect() ? 0 : 1;
    attempt.markSilent();
  }

  /**
   * Marks the attempt's connection as seemingly dead, so that the attempt does not use up the
   * concurrency limit until it ends.
   */
  void markConnectionSuspect(Attempt attempt) {
    attempt.markConnectionSuspect();
    unresponsive++;
    attempt.endpoint.removeInFlight(attempt);
    capacityChanged = true;
  }

  /** Signals that waiting requests may be admitted. */
  void signalCapacity() {
    capacityChanged = true;
  }

  /** Returns whether capacity may have been freed since the last call, and clears the signal. */
  boolean takeCapacitySignal() {
    boolean changed = capacityChanged;
    capacityChanged = false;
    return changed;
  }
}
