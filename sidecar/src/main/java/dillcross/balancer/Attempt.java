package dillcross.balancer;

import dillcross.model.AttemptOutcome;

/** One attempt of a request at one endpoint. Plain state. */
final class Attempt {
  final Request request;
  final EndpointState endpoint;

  /** When it was sent; where the request's body came later, when that was complete. */
  long sentUs;

  /** Null while in flight. */
  AttemptOutcome outcome;

  /**
   * Whether it counts as in flight: not while its body arrives, its answer streams, or it ended.
   */
  boolean countsAsLoad;

  /** Whether its silence was counted as a failure. */
  boolean isSilent;

  /** Whether its connection seems dead, so that it is no load on its endpoint. */
  boolean isConnectionSuspect;

  Attempt(Request request, EndpointState endpoint, long sentUs) {
    this.request = request;
    this.endpoint = endpoint;
    this.sentUs = sentUs;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** Whether the request may have run at the endpoint, or still may. */
  boolean mayHaveRun() {
    return outcome == null || outcome.mayHaveRun;
  }
}
