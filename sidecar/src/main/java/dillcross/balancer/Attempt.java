package dillcross.balancer;

import dillcross.model.AttemptOutcome;

/**
 * Keeps one attempt of a request at one endpoint. {@link InFlightTracker} changes what it counts
 * as, and its request ends it.
 */
final class Attempt {
  final Request request;
  final EndpointState endpoint;
  private long sentUs;
  private AttemptOutcome outcome;
  private boolean countsAsLoad;
  private boolean isSilent;
  private boolean isConnectionSuspect;

  Attempt(Request request, EndpointState endpoint, long sentUs) {
    this.request = request;
    this.endpoint = endpoint;
    this.sentUs = sentUs;
  }

  /** When it was sent; where the request's body was complete later, when that was. */
  long sentUs() {
    return sentUs;
  }

  /** How it ended; null while in flight. */
  AttemptOutcome outcome() {
    return outcome;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** Whether the request may have run at the endpoint, or still may. */
  boolean mayHaveRun() {
    return outcome == null || outcome.mayHaveRun;
  }

  /**
   * Whether it counts as in flight at its endpoint: not while the request's body arrives, nor once
   * its response streams or it has ended.
   */
  boolean countsAsLoad() {
    return countsAsLoad;
  }

  /** Whether its silence was counted as a failure of the endpoint. */
  boolean isSilent() {
    return isSilent;
  }

  /** Whether its connection seems dead, so that it is no load on its endpoint. */
  boolean isConnectionSuspect() {
    return isConnectionSuspect;
  }

  /** The endpoint has the complete request from now on. */
  void startLoad(long nowUs) {
    countsAsLoad = true;
    sentUs = nowUs;
  }

  /** The endpoint no longer works for it. */
  void endLoad() {
    countsAsLoad = false;
  }

  void markSilent() {
    isSilent = true;
  }

  void markConnectionSuspect() {
    isConnectionSuspect = true;
  }

  void end(AttemptOutcome newOutcome) {
    outcome = newOutcome;
  }
}
