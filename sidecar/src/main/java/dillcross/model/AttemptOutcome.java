package dillcross.model;

/** How one attempt ended, in the categories that the load balancer distinguishes. Immutable. */
public enum AttemptOutcome {
  /** The endpoint answered successfully. */
  SUCCEEDED(true, false),
  /** The endpoint answered that it failed. */
  ERROR(true, true),
  /**
   * Rejected before execution by an overloaded or draining endpoint; no failure of the endpoint.
   */
  OVERLOADED(false, false),
  /** The endpoint found the request invalid: a final answer, and no failure of the endpoint. */
  CLIENT_ERROR(false, false),
  /** No answer came within the attempt's deadline. */
  TIMED_OUT(true, true),
  /** The connect failed, or the connection broke before the request was written completely. */
  CONNECT_FAILED(false, true),
  /** The connection broke after the request was written completely. */
  RESET(true, true),
  /** The sidecar cancelled the attempt. */
  CANCELLED(true, false),
  /** The attempt was not sent: its request had ended, or had no time or attempts left. */
  NOT_SENT(false, false);

  /** Whether the endpoint may have executed the request; false only where it provably has not. */
  public final boolean mayHaveRun;

  /** Whether this outcome counts as a failure of the endpoint. */
  public final boolean isFailure;

  AttemptOutcome(boolean mayHaveRun, boolean isFailure) {
    this.mayHaveRun = mayHaveRun;
    this.isFailure = isFailure;
  }
}
