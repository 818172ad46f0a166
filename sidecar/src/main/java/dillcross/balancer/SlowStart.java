package dillcross.balancer;

import dillcross.model.BalancerSettings;
import dillcross.model.SlowStartPolicy;
import java.util.Random;

/**
 * Decides whether an endpoint that has just started or been readmitted may get another attempt.
 *
 * <p>Two limits apply during the warm-up time: attempts in flight, which grow by one with each
 * successful answer, and attempts sent within a window. The latter is this sidecar's part of the
 * capacity that the endpoint has so far, which rises linearly. Because that part may be below one
 * attempt, its fraction is rounded at random for each window.
 */
final class SlowStart {
  // Fraction that is used of this sidecar's part of the endpoint's capacity; the rest is margin.
  private static final double BUDGET_FRACTION = 0.7;

  private final Random random;
  private final TrafficMeter traffic;
  private final EndpointSets endpoints;
  private SlowStartPolicy policy;
  private int instances;

  SlowStart(Random random, TrafficMeter traffic, EndpointSets endpoints) {
    this.random = random;
    this.traffic = traffic;
    this.endpoints = endpoints;
  }

  void configure(BalancerSettings settings) {
    policy = settings.slowStart();
    instances = settings.instanceCount();
  }

  /**
   * Begins the slow start of an endpoint that warms up from {@code startUs} on. The endpoint counts
   * as warm if {@code startUs} is 0 or longer ago than the warm-up time.
   */
  void begin(EndpointState endpoint, long startUs, long nowUs) {
    boolean isWarm = startUs == 0 || nowUs - startUs > policy.warmUpUs();
    endpoint.slowStart.begin(isWarm ? 0 : startUs);
  }

  /** Whether the endpoint may get one more attempt now. Draws one random number for each window. */
  boolean hasBudget(EndpointState endpoint, long nowUs) {
    SlowStartState state = endpoint.slowStart;
    long elapsedUs = nowUs - state.startUs();
    if (state.isWarm() || elapsedUs >= policy.warmUpUs()) {
      state.end();
      return true;
    }
    double initialShare = policy.initialCapacityShare();
    double progress = Math.max(0, (double) elapsedUs / policy.warmUpUs());
    double capacityShare = initialShare + (1 - initialShare) * progress;
    double usualAttempts =
        traffic.successesPerUs(nowUs) * policy.windowUs() / Math.max(1, endpoints.inUse());
    double minAttempts = AdmissionControl.INITIAL_LIMIT_PER_ENDPOINT / instances;
    double budget =
        BUDGET_FRACTION
            * policy.overloadMultiple()
            * capacityShare
            * Math.max(usualAttempts, minAttempts);
    openWindow(state, nowUs / policy.windowUs());
    return endpoint.inFlightCount() < 1 + state.successes()
        && state.sentInWindow() + 1 <= budget + state.rounding();
  }

  private void openWindow(SlowStartState state, long window) {
    if (window != state.window()) {
      // The budget is rounded at random: rounding up at each of hundreds of sidecars would add up.
      state.openWindow(window, random.nextDouble());
    }
  }
}
