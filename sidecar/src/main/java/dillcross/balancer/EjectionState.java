package dillcross.balancer;

/**
 * Keeps the failures and the ejection of one endpoint. {@link OutlierEjection} decides by this
 * state and changes it; {@link AttemptDispatcher} starts a probation. Times are in microseconds.
 */
final class EjectionState {
  private static final double SAMPLE_WEIGHT = 0.1; // of a new outcome in the failure fraction

  private int consecutiveFailures;
  private double failureFraction;
  private boolean isEjected;
  private boolean isEjectedBySilence;
  private long untilUs;
  private long penaltyUs;
  private Attempt probation;

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Smoothed fraction of failures, 0 to 1. */
  double failureFraction() {
    return failureFraction;
  }

  boolean isEjected() {
    return isEjected;
  }

  /**
   * Whether the ejection was triggered by an attempt without a response in the expected time, and
   * no probation since has ended with a failure. Failures counted before that attempt may have been
   * error answers.
   */
  boolean isEjectedBySilence() {
    return isEjectedBySilence;
  }

  /**
   * When the latest penalty (the time for which the endpoint is ejected) ends or ended; 0 if there
   * was none.
   */
  long untilUs() {
    return untilUs;
  }

  /** Length of the latest penalty, before jitter; 0 if there was none. */
  long penaltyUs() {
    return penaltyUs;
  }

  /** Whether an attempt is on probation. */
  boolean hasProbation() {
    return probation != null;
  }

  /** Whether {@code attempt} is the one on probation. */
  boolean isProbation(Attempt attempt) {
    return probation == attempt;
  }

  void recordFailure() {
    consecutiveFailures++;
    failureFraction += SAMPLE_WEIGHT * (1 - failureFraction);
  }

  void recordSuccess() {
    consecutiveFailures = 0;
    failureFraction *= 1 - SAMPLE_WEIGHT;
  }

  /**
   * Ejects the endpoint until {@code newUntilUs}; {@code bySilence} says whether a silent attempt
   * triggered the ejection.
   */
  void eject(long newPenaltyUs, long newUntilUs, boolean bySilence) {
    penaltyUs = newPenaltyUs;
    untilUs = newUntilUs;
    isEjectedBySilence = bySilence;
    isEjected = true;
    probation = null;
  }

  /** Ends the ejection and sets the failure fraction to {@code newFailureFraction}. */
  void readmit(double newFailureFraction) {
    isEjected = false;
    failureFraction = newFailureFraction;
  }

  void startProbation(Attempt attempt) {
    probation = attempt;
  }

  void endProbation() {
    probation = null;
  }
}
