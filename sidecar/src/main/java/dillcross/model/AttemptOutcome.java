package dillcross.model;

/** How one attempt ended. */
public enum AttemptOutcome {
  /** The endpoint answered successfully. */
  SUCCEEDED(true, false),
  /** The endpoint answered that it failed. */
  ERROR(true, true),
  /** Rejected unseen by an endpoint that is full or draining; does not count against its health. */
  OVERLOADED(false, false),
  /**
   * The request itself is at fault, at any endpoint; final, and no mark against this one's health.
   */
  CLIENT_ERROR(false, false),
  /** No answer within the attempt's deadline. */
  TIMED_OUT(true, true),
  /** The connection failed, or broke before the request was written completely. */
  CONNECT_FAILED(false, true),
  /** The connection broke after the request was written completely. */
  RESET(true, true),
  /** Cancelled by the sidecar. */
  CANCELLED(true, false),
  /** Never sent: the request was over, out of time or out of attempts. */
  NOT_SENT(false, false);

  /** False only where the outcome proves that the request never ran. */
  public final boolean mayHaveRun;

  /** Whether it counts as a failure of the endpoint. */
  public final boolean isFailure;

  AttemptOutcome(boolean mayHaveRun, boolean isFailure) {
    this.mayHaveRun = mayHaveRun;
    this.isFailure = isFailure;
  }
}
