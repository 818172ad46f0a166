package dillcross.balancer;

/**
 * Measures how long the requests of one class take, in microseconds: every formula that derives an
 * expected latency is here.
 *
 * <p>The mean is smoothed exponentially over successful answers, with a plain mean over the first
 * ones. The baseline is the lowest mean seen, which rises slowly towards the current one; it stands
 * for the latency without queueing.
 */
final class LatencyEstimate {
  private static final double INITIAL_OBJECTIVE_DIVISOR = 4;
  private static final int MIN_SAMPLES = 10;
  private static final double MIN_SAMPLE_WEIGHT = 0.02;
  private static final double PESSIMISTIC_FACTOR = 1.5;
  private static final double AMPLE_FACTOR = 2;
  private static final double OVERDUE_FACTOR = 8;
  private static final double TIMEOUT_FAILURE_FACTOR = 3;
  private static final double MAX_RATIO = 20;
  private static final double MIN_BASELINE_FRACTION = 0.2; // of the latency objective
  private static final double MAX_BASELINE_FRACTION = 0.33; // of the latency objective

  private double meanUs;
  private double baselineUs;
  private int samples;

  /**
   * Creates an estimate whose mean is a quarter of the class's latency objective until the first
   * answer.
   */
  LatencyEstimate(long objectiveUs) {
    meanUs = objectiveUs / INITIAL_OBJECTIVE_DIVISOR;
  }

  /**
   * Adds the latency of a successful answer.
   *
   * @param baselineRise the fraction, 0 to 1, of the distance from the baseline to a higher mean by
   *     which the baseline rises
   */
  void record(double latencyUs, double baselineRise) {
    samples++;
    meanUs += (latencyUs - meanUs) * Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples);
    boolean isLowest = samples < MIN_SAMPLES || meanUs < baselineUs;
    baselineUs = isLowest ? meanUs : baselineUs + baselineRise * (meanUs - baselineUs);
  }

  /** Number of successful answers so far. */
  int samples() {
    return samples;
  }

  /** Smoothed latency of successful answers. */
  double meanUs() {
    return meanUs;
  }

  /** The latency to plan for: most answers take less. */
  double pessimisticUs() {
    return PESSIMISTIC_FACTOR * meanUs;
  }

  /** The latency within which nearly every answer comes. */
  double ampleUs() {
    return AMPLE_FACTOR * meanUs;
  }

  /**
   * How long after it was sent an attempt is overdue, in microseconds, at an endpoint with {@code
   * latencyRatio}; long enough that the ordinary spread of latencies does not count as failures.
   */
  long overdueAfterUs(double latencyRatio) {
    return (long) (OVERDUE_FACTOR * meanUs * latencyRatio);
  }

  /** Whether a timeout after {@code tookUs} left the endpoint enough time to answer. */
  boolean isTimeoutFailure(long tookUs) {
    return tookUs > TIMEOUT_FAILURE_FACTOR * meanUs;
  }

  /** The latency {@code latencyUs} as a multiple of the mean. */
  double ratioToMean(long latencyUs) {
    return latencyUs / meanUs;
  }

  /**
   * The latency {@code latencyUs} as a multiple of the mean, bounded so that one sample can't
   * dominate an average.
   */
  double boundedRatioToMean(long latencyUs) {
    return Math.min(MAX_RATIO, ratioToMean(latencyUs));
  }

  /** The latency without queueing; 0 before the first answer. */
  double baselineUs() {
    return baselineUs;
  }

  /**
   * The baseline, limited to a plausible range: under load from the start it is measured too high.
   */
  double boundedBaselineUs(long objectiveUs) {
    return Clamp.between(
        MIN_BASELINE_FRACTION * objectiveUs, baselineUs, MAX_BASELINE_FRACTION * objectiveUs);
  }

  /** The mean as a measure of a request's work, no less than the smallest plausible baseline. */
  double workUs(long objectiveUs) {
    return Math.max(meanUs, MIN_BASELINE_FRACTION * objectiveUs);
  }
}
