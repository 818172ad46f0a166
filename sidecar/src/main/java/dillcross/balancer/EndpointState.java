package dillcross.balancer;

import dillcross.model.Endpoint;
import java.util.ArrayDeque;

/**
 * What is known of one endpoint. Plain state and statistics; each group names who decides by it.
 */
final class EndpointState {
  private static final double WEIGHT_RENEWAL_SHARE = 0.2;
  private static final double LATENCY_SAMPLE_WEIGHT = 0.15;
  private static final long HASH_SEED = 17;
  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  Endpoint endpoint;
  final EjectionState ejection = new EjectionState();
  final SlowStartState slowStart = new SlowStartState();

  // EndpointDirectory

  /** Whether attempts may be sent to it. */
  boolean isListed;

  /** Since when the list leaves it out though it did not drain; 0 while it is named. */
  long removedUs;

  private double nominalWeight;
  private double occupancy;

  // EndpointSubset

  /** The same at all sidecars. */
  final long ringPosition;

  /** 0 where its connections were released since. */
  long lastAttemptUs;

  // AdmissionControl and SilenceMonitor

  /** Attempts that count as load, by their time. */
  final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();

  long lastSuccessUs;

  /** When the latest attempt was sent that it answered. */
  long lastAnsweredSentUs;

  // EndpointPicker

  /** Smoothed latency over the mean of the request class. */
  double latencyRatio = 1;

  private int latencySamples;

  /** When an attempt last ended. */
  long lastOutcomeUs;

  /** It said that it is overloaded: nothing goes there before. */
  long retryAfterUs;

  int consecutiveOverloads;

  /** Requests that it reported in flight, for its weight. */
  double reportedLoad;

  EndpointState(Endpoint endpoint) {
    this.endpoint = endpoint;
    long position = HASH_SEED;
    for (char letter : endpoint.id().toCharArray()) {
      position = (position ^ letter) * HASH_FACTOR;
    }
    ringPosition = position;
  }

  int inFlightCount() {
    return inFlight.size();
  }

  /** How long the oldest attempt has waited of those sent after that time; 0 if there is none. */
  long longestWaitUs(long sentAfterUs, long nowUs) {
    long longestUs = 0;
    for (Attempt attempt : inFlight) {
      if (attempt.sentUs > sentAfterUs) {
        longestUs = Math.max(longestUs, nowUs - attempt.sentUs);
      }
    }
    return longestUs;
  }

  /** A new process at its place: no measured latency holds. */
  void forgetLatency() {
    latencyRatio = 1;
    latencySamples = 0;
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

  /**
   * Takes the list's weight. Where weights fall with load the largest seen is the size, and the
   * rest is occupancy, smoothed: sidecars that all follow one late figure would herd.
   */
  void updateWeight(double weight, boolean dynamic) {
    nominalWeight = dynamic ? Math.max(nominalWeight, weight) : weight;
    double sample = nominalWeight / weight - 1 - occupancy;
    occupancy = dynamic ? occupancy + WEIGHT_RENEWAL_SHARE * sample : 0;
  }

  /** Its size with no load. */
  double nominalWeight() {
    return nominalWeight;
  }

  /** Requests in flight per unit of size, as its weights tell; smoothed. */
  double occupancy() {
    return occupancy;
  }

  /** Its size, less what it has in flight. */
  double effectiveWeight() {
    return nominalWeight / (1 + occupancy);
  }
}
