package dillcross.balancer;

import java.util.Collection;

/**
 * Measures how much slower answers are than without queueing, as a smoothed ratio: 1 is no slower.
 * {@link AdmissionControl} lowers the concurrency limit by it.
 */
final class SlowdownEstimator {
  // Bounds the effect of a few attempts that hang, which do not show queueing.
  private static final double MAX_SAMPLE = 2;

  private static final double MIN_SAMPLE = 0.6;
  private static final double MAX_USUAL_RATIO = 5;
  private static final double MIN_SAMPLE_WEIGHT = 0.06;

  // Added to the rate of successes, by whose inverse a sample is weighted; bounds the weight of
  // one sample.
  private static final double RATE_OFFSET_PER_SECOND = 4;

  private static final int MIN_SUCCESSES_TO_COMPARE = 3;

  private final TrafficMeter traffic;
  private final Collection<ClassState> classes;
  private double slowdown = 1;

  SlowdownEstimator(TrafficMeter traffic, Collection<ClassState> classes) {
    this.traffic = traffic;
    this.classes = classes;
  }

  /** Smoothed ratio of latency to baseline latency. */
  double value() {
    return slowdown;
  }

  /**
   * Adds the latency of an attempt, divided by its endpoint's usual latency ratio: one slow
   * endpoint must not lower the limit for the others.
   */
  void record(Attempt attempt, long tookUs, long nowUs) {
    if (!attempt.endpoint.slowStart.isWarm()) {
      return; // an endpoint in slow start is slow without queueing
    }
    long objectiveUs = attempt.request.requestClass.latencyObjectiveUs();
    ClassState classState = attempt.request.classState;
    double baselineUs = classState.latency.boundedBaselineUs(objectiveUs);
    double usualRatio = attempt.endpoint.boundedLatencyRatio(MAX_USUAL_RATIO);
    double sample = Clamp.between(MIN_SAMPLE, tookUs / usualRatio / baselineUs, MAX_SAMPLE);
    double successesPerSecond = Units.MICROS_PER_SECOND * traffic.successesPerUs(nowUs);
    double weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / (RATE_OFFSET_PER_SECOND + successesPerSecond));
    slowdown += weight * (1 - excessLateness(classState)) * (sample - slowdown);
  }

  /**
   * How much more often a class is late than the class that is late least often. Queueing at the
   * endpoints delays all classes; a class that alone is late waits for something that the endpoints
   * depend on, which a lower limit would not help. If latency objectives differ much, a queue may
   * be noticed later.
   */
  private double excessLateness(ClassState classState) {
    double lowest =
        classes.stream()
            .filter(other -> other.latency.samples() > MIN_SUCCESSES_TO_COMPARE)
            .mapToDouble(ClassState::lateFraction)
            .min()
            .orElse(1);
    return Math.max(0, classState.lateFraction() - lowest);
  }
}
