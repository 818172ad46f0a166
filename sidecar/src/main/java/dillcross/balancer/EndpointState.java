package dillcross.balancer;

import dillcross.model.Endpoint;
import java.util.ArrayDeque;

/**
 * Keeps the state of one endpoint: its entry in the endpoint list, the attempts in flight, and
 * measurements from its answers. Times and latencies are in microseconds.
 */
final class EndpointState {
  private static final double WEIGHT_SAMPLE_WEIGHT = 0.2;
  private static final double LATENCY_SAMPLE_WEIGHT = 0.15;
  private static final long HASH_SEED = 17;
  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  final EjectionState ejection = new EjectionState();
  final SlowStartState slowStart = new SlowStartState();

  /** Position on the ring from which subsets are selected; the same at all sidecars. */
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

  // Entry in the endpoint list

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

  /**
   * Whether attempts may be sent to the endpoint: discovery names it as up, or {@link RemovalGrace}
   * retains it.
   */
  boolean isListed() {
    return isListed;
  }

  void updateListing(boolean newListed) {
    isListed = newListed;
  }

  /**
   * When an endpoint list removed the endpoint although it had not drained; 0 if none has since the
   * endpoint was last up.
   */
  long removedUs() {
    return removedUs;
  }

  /** Records that the endpoint was removed without draining; an earlier time of removal is kept. */
  void markRemoved(long nowUs) {
    removedUs = removedUs == 0 ? nowUs : removedUs;
  }

  /** Clears the removal, because an endpoint list names the endpoint as up again. */
  void clearRemoval() {
    removedUs = 0;
  }

  /**
   * Updates the weight from the endpoint list. If weights fall with load ({@code dynamic}), the
   * largest weight seen is the nominal weight, and a lower weight shows the occupancy. The
   * occupancy is smoothed, so that sidecars that all see the same delayed weight do not all shift
   * their load at once.
   */
  void updateWeight(double weight, boolean dynamic) {
    nominalWeight = dynamic ? Math.max(nominalWeight, weight) : weight;
    double sample = nominalWeight / weight - 1 - occupancy;
    occupancy = dynamic ? occupancy + WEIGHT_SAMPLE_WEIGHT * sample : 0;
  }

  /** The endpoint's weight without load. */
  double nominalWeight() {
    return nominalWeight;
  }

  /**
   * Requests in flight per unit of weight, smoothed, as dynamic weights show them; 0 if weights are
   * not dynamic.
   */
  double occupancy() {
    return occupancy;
  }

  /** The nominal weight, reduced by the occupancy. */
  double effectiveWeight() {
    return nominalWeight / (1 + occupancy);
  }

  // Attempts

  /** Number of this sidecar's attempts that count as load on the endpoint. */
  int inFlightCount() {
    return inFlight.size();
  }

  /** The oldest of the attempts that count as load; null if there is none. */
  Attempt oldestInFlight() {
    return inFlight.peekFirst();
  }

  /**
   * The longest time that an attempt has waited, among those that count as load and were sent after
   * {@code sentAfterUs}; 0 if there is none.
   */
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

  /**
   * When the latest attempt was sent; 0 if there was none, or if the idle connections were released
   * since.
   */
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

  // Measurements from answers

  /** When an attempt last succeeded or its response began to stream; 0 if none has. */
  long lastSuccessUs() {
    return lastSuccessUs;
  }

  /** The latest time at which an attempt was sent that succeeded; 0 if none has. */
  long lastSucceededSentUs() {
    return lastSucceededSentUs;
  }

  /** Records a successful answer to an attempt that was sent at {@code sentUs}. */
  void recordSuccess(long sentUs, long nowUs) {
    lastSuccessUs = nowUs;
    lastSucceededSentUs = Math.max(lastSucceededSentUs, sentUs);
    consecutiveOverloads = 0;
    slowStart.recordSuccess();
  }

  /** When an attempt last ended; 0 if none has. */
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

  /**
   * Smoothed latency as a multiple of the mean of the request class; 1 until an answer is measured.
   */
  double latencyRatio() {
    return latencyRatio;
  }

  /** The latency ratio, at least 1 and at most {@code max}. */
  double boundedLatencyRatio(double max) {
    return Clamp.between(1, latencyRatio, max);
  }

  /** Adds a sample to the smoothed latency ratio; the first samples weigh more. */
  void recordLatencyRatio(double ratio) {
    double weight = Math.max(LATENCY_SAMPLE_WEIGHT, 1.0 / (2 + latencySamples));
    latencySamples++;
    latencyRatio += weight * (ratio - latencyRatio);
  }

  /** Raises the latency ratio to {@code ratio} if it is lower. */
  void raiseLatencyRatio(double ratio) {
    latencyRatio = Math.max(latencyRatio, ratio);
  }

  /**
   * Resets the latency ratio for a new process, to which measurements of the old one do not apply.
   */
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

  /** Number of overload responses since the endpoint's last success. */
  int consecutiveOverloads() {
    return consecutiveOverloads;
  }

  void recordOverload(long newBackoffUntilUs) {
    consecutiveOverloads++;
    backoffUntilUs = newBackoffUntilUs;
  }

  /** Requests in flight per unit of weight by the endpoint's latest report; 0 before the first. */
  double reportedLoad() {
    return reportedLoad;
  }

  void recordReportedLoad(double load) {
    reportedLoad = load;
  }
}
