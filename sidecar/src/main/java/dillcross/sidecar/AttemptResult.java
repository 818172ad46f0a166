package dillcross.sidecar;

import dillcross.model.AttemptOutcome;

/**
 * How an attempt ended on the network. Failures are reported by this value, not by exceptions.
 *
 * @param progress how far the request was written
 * @param content the endpoint's answer, an object of the network; null where there is none
 */
public record AttemptResult(Kind kind, WriteProgress progress, Object content) {
  /** What ended the attempt. */
  public enum Kind {
    /** A successful answer. */
    SUCCEEDED,
    /** An answer that says the endpoint failed. */
    ERROR,
    /** An answer that says the endpoint did not start on the request. */
    OVERLOADED,
    /** An answer that says the request itself is at fault. */
    CLIENT_ERROR,
    /** The connection failed or broke. */
    CONNECTION_BROKEN,
    /** The coordinator abandoned the attempt. */
    ABANDONED,
    /** The attempt was never sent, through no fault of the endpoint. */
    NOT_SENT
  }

  /**
   * The outcome for the load balancer.
   *
   * @param timedOut whether the attempt was abandoned because its deadline had passed
   */
  AttemptOutcome outcome(boolean timedOut) {
    return switch (kind) {
      case SUCCEEDED -> AttemptOutcome.SUCCEEDED;
      case ERROR -> AttemptOutcome.ERROR;
      case OVERLOADED -> AttemptOutcome.OVERLOADED;
      case CLIENT_ERROR -> AttemptOutcome.CLIENT_ERROR;
      case CONNECTION_BROKEN -> ifWritten(AttemptOutcome.RESET);
      case NOT_SENT -> AttemptOutcome.NOT_SENT;
      case ABANDONED -> timedOut ? ifWritten(AttemptOutcome.TIMED_OUT) : AttemptOutcome.CANCELLED;
    };
  }

  /** Whether the endpoint surely did not execute the request, and will not. */
  public boolean isNeverRun() {
    return kind == Kind.OVERLOADED || progress != WriteProgress.FULLY_WRITTEN;
  }

  /** An endpoint executes a request only after its last byte: one not fully written has not run. */
  private AttemptOutcome ifWritten(AttemptOutcome outcome) {
    return progress == WriteProgress.FULLY_WRITTEN ? outcome : AttemptOutcome.CONNECT_FAILED;
  }
}
