package dillcross.balancer;

import java.util.Collection;

/** Estimates how much slower answers are than without a queue: 1 is calm. */
final class SlowdownEstimator {
  private static final double MAX_SAMPLE = 2; // few that hang are no queue
  private static final double MIN_SAMPLE = 0.6;
  private static final double MAX_USUAL_RATIO = 5;
  private static final double MIN_SAMPLE_WEIGHT = 0.06;
  private static final double RATE_OFFSET_PER_SECOND = 4; // bounds the weight of one sample
  private static final int MIN_SUCCESSES_TO_COMPARE = 3;

  private final TrafficMeter traffic;
  private final Collection<ClassState> classes;
  private double slowdown = 1;

  SlowdownEstimator(TrafficMeter traffic, Collection<ClassState> classes) {
    this.traffic = traffic;
    this.classes = classes;
  }

  /** Smoothed latency over the baseline. */
  double value() {
    return slowdown;
  }

  /**
   * Takes an attempt in, against its endpoint's own usual: where one of the few in use is slow, the
   * limit of the rest must not fall for it. A baseline learned under load is kept in bounds.
   */
  void record(Attempt attempt, long tookUs, long nowUs) {
    if (!attempt.endpoint.slowStart.isWarm()) {
      return; // it is slow without a queue
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
   * How much more of a class comes late than of the least late one. What is slow wherever it goes
   * (a store behind the endpoints) is no queue there; a queue makes all late. Costs where a
   * generous objective hides a queue that a short one shows: the limit then falls later.
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
