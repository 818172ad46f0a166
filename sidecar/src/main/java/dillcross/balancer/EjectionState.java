package dillcross.balancer;

/** What {@link OutlierEjection} keeps of one endpoint. Plain state. */
final class EjectionState {
  int consecutiveFailures;

  /** Smoothed share of failures, 0 to 1. */
  double failureShare;

  boolean isEjected;

  /** Whether silence alone ejected it, with no failed answer. */
  boolean isEjectedBySilence;

  /** When the penalty ends. */
  long untilUs;

  long penaltyUs;

  /** The one attempt on probation; null while there is none. */
  Attempt probation;
}
