package dillcross.balancer;

import dillcross.model.Endpoint;
import java.util.ArrayDeque;

/**
 * Keeps what is known of one endpoint: its entry in the endpoint list, the attempts in flight, and
 * what its answers have shown. Times and latencies are in microseconds.
 */
final class EndpointState {
  private static final double WEIGHT_SAMPLE_WEIGHT = 0.2;
  private static final double LATENCY_SAMPLE_WEIGHT = 0.15;
  private static final long HASH_SEED = 17;
  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  final EjectionState ejection = new EjectionState();
  final SlowStartState slowStart = new SlowStartState();

  /** Place on the ring by which subsets are chosen; the same at all sidecars. */
  final long ringPosition;

  private final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();
  private Endpoint entry;
  private boolean isListed;
  private long removedUs;
  private double nominalWeight;
  private double occupancy;
  private long lastAttemptUs;
  private long lastSuccessUs;
  private long lastSucceededSentUs;
  private long lastOutcomeUs;
  private double latencyRatio = 1;
  private int latencySamples;
  private long backoffUntilUs;
  private int consecutiveOverloads;
  private double reportedLoad;

  EndpointState(Endpoint entry) {
    this.entry = entry;
    long position = HASH_SEED;
    for (char letter : entry.id().toCharArray()) {
      position = (position ^ letter) * HASH_FACTOR;
    }
    ringPosition = position;
  }

  // Its entry in the endpoint list

  /** The newest entry of the endpoint list. */
  Endpoint entry() {
    return entry;
  }

  String id() {
    return entry.id();
  }

  String zone() {
    return entry.zone();
  }

  int cell() {
    return entry.cell();
  }

  void updateEntry(Endpoint newEntry) {
    entry = newEntry;
  }

  /** Whether attempts may be sent to it. */
  boolean isListed() {
    return isListed;
  }

  void updateListing(boolean newListed) {
    isListed = newListed;
  }

  /** Since when endpoint lists leave it out although it did not drain; 0 while they name it. */
  long removedUs() {
    return removedUs;
  }

  /** It was removed without draining; an earlier time of removal stays. */
  void markRemoved(long nowUs) {
    removedUs = removedUs == 0 ? nowUs : removedUs;
  }

  /** It is named as up again. */
  void clearRemoval() {
    removedUs = 0;
  }

  /**
   * Takes the weight from the endpoint list. Where weights fall with load, the largest seen is the
   * nominal weight and the rest is occupancy, smoothed so that sidecars that all see the same
   * delayed figure do not move together.
   */
  void updateWeight(double weight, boolean dynamic) {
    nominalWeight = dynamic ? Math.max(nominalWeight, weight) : weight;
    double sample = nominalWeight / weight - 1 - occupancy;
    occupancy = dynamic ? occupancy + WEIGHT_SAMPLE_WEIGHT * sample : 0;
  }

  /** Its weight without load. */
  double nominalWeight() {
    return nominalWeight;
  }

  /** Requests in flight per unit of weight, as its weights show; smoothed. */
  double occupancy() {
    return occupancy;
  }

  /** Its weight, less the part that is occupied. */
  double effectiveWeight() {
    return nominalWeight / (1 + occupancy);
  }

  // Attempts

  /** Attempts of this sidecar that count as load. */
  int inFlightCount() {
    return inFlight.size();
  }

  /** The one of them that was sent first; null if there is none. */
  Attempt oldestInFlight() {
    return inFlight.peekFirst();
  }

  /** How long the oldest of them has waited that was sent after that time; 0 if there is none. */
  long longestWaitUs(long sentAfterUs, long nowUs) {
    long longestUs = 0;
    for (Attempt attempt : inFlight) {
      if (attempt.sentUs() > sentAfterUs) {
        longestUs = Math.max(longestUs, nowUs - attempt.sentUs());
      }
    }
    return longestUs;
  }

  void addInFlight(Attempt attempt) {
    inFlight.addLast(attempt);
  }

  void removeInFlight(Attempt attempt) {
    inFlight.remove(attempt);
  }

  /** When the latest attempt was sent; 0 where its connections were released since. */
  long lastAttemptUs() {
    return lastAttemptUs;
  }

  void recordSent(long nowUs) {
    lastAttemptUs = nowUs;
    slowStart.recordSent();
  }

  void recordConnectionsReleased() {
    lastAttemptUs = 0;
  }

  // What its answers have shown

  long lastSuccessUs() {
    return lastSuccessUs;
  }

  /** When the latest-sent of the attempts that succeeded was sent. */
  long lastSucceededSentUs() {
    return lastSucceededSentUs;
  }

  /** It has answered an attempt that was sent at that time successfully. */
  void recordSuccess(long sentUs, long nowUs) {
    lastSuccessUs = nowUs;
    lastSucceededSentUs = Math.max(lastSucceededSentUs, sentUs);
    consecutiveOverloads = 0;
    slowStart.recordSuccess();
  }

  /** When an attempt last ended. */
  long lastOutcomeUs() {
    return lastOutcomeUs;
  }

  /**
   * Records that an attempt ended. If the previous one ended more than {@code staleAfterUs}
   * earlier, a latency ratio above 1 is reset to 1.
   */
  void recordOutcome(long nowUs, long staleAfterUs) {
    if (nowUs - lastOutcomeUs > staleAfterUs) {
      latencyRatio = Math.min(1, latencyRatio);
    }
    lastOutcomeUs = nowUs;
  }

  /** Smoothed latency as a multiple of the mean of the request class. */
  double latencyRatio() {
    return latencyRatio;
  }

  /** The latency ratio, at least 1 and at most {@code max}. */
  double boundedLatencyRatio(double max) {
    return Clamp.between(1, latencyRatio, max);
  }

  /** Takes a new ratio in; the first ones weigh more. */
  void recordLatencyRatio(double ratio) {
    double weight = Math.max(LATENCY_SAMPLE_WEIGHT, 1.0 / (2 + latencySamples));
    latencySamples++;
    latencyRatio += weight * (ratio - latencyRatio);
  }

  /** Has the latency ratio be no lower than {@code ratio}. */
  void raiseLatencyRatio(double ratio) {
    latencyRatio = Math.max(latencyRatio, ratio);
  }

  /** It is a new process: what was measured of the old one does not hold. */
  void forgetLatency() {
    latencyRatio = 1;
    latencySamples = 0;
  }

  /**
   * End of the backoff after an overload response: no attempt is sent before it; 0 if there was
   * none.
   */
  long backoffUntilUs() {
    return backoffUntilUs;
  }

  /** Such answers since its last success. */
  int consecutiveOverloads() {
    return consecutiveOverloads;
  }

  void recordOverload(long newBackoffUntilUs) {
    consecutiveOverloads++;
    backoffUntilUs = newBackoffUntilUs;
  }

  /** Requests that it reported in flight, per unit of weight. */
  double reportedLoad() {
    return reportedLoad;
  }

  void recordReportedLoad(double load) {
    reportedLoad = load;
  }
}
