package dillcross.balancer;

import dillcross.model.AttemptOutcome;
import dillcross.model.Endpoint;

/**
 * Keeps the state of one attempt of a request at one endpoint. {@link InFlightTracker} changes
 * whether the attempt counts as load, as silent (overdue at an endpoint that has answered nothing
 * meanwhile), or as on a suspect connection (one that seems dead); {@link Request#endAttempt} ends
 * it.
 */
final class Attempt {
  final Request request;
  final EndpointState endpoint;

  /** The entry of the endpoint when the attempt was sent: another process may get its id later. */
  private final Endpoint target;

  private long sentUs;
  private AttemptOutcome outcome;
  private boolean countsAsLoad;
  private boolean isSilent;
  private boolean isConnectionSuspect;

  Attempt(Request request, EndpointState endpoint, long sentUs) {
    this.request = request;
    this.endpoint = endpoint;
    target = endpoint.entry();
    this.sentUs = sentUs;
  }

  /** The zone of the process that the attempt was sent to. */
  String zone() {
    return target.zone();
  }

  /** The cell of the process that the attempt was sent to. */
  int cell() {
    return target.cell();
  }

  /**
   * When the attempt was sent, in microseconds; if the request's body was complete only later, the
   * time at which the body was complete.
   */
  long sentUs() {
    return sentUs;
  }

  /** How the attempt ended; null while it is in flight. */
  AttemptOutcome outcome() {
    return outcome;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** Whether the endpoint may have executed the request, or may still do so. */
  boolean mayHaveRun() {
    return outcome == null || outcome.mayHaveRun;
  }

  /**
   * Whether the attempt counts as load on its endpoint: not while the request's body arrives, nor
   * once the response streams or the attempt has ended.
   */
  boolean countsAsLoad() {
    return countsAsLoad;
  }

  /** Whether the lack of a response was already counted as a failure of the endpoint. */
  boolean isSilent() {
    return isSilent;
  }

  /**
   * Whether the attempt's connection seems dead, so that the attempt is no load on its endpoint.
   */
  boolean isConnectionSuspect() {
    return isConnectionSuspect;
  }

  /**
   * Counts the attempt as load from {@code nowUs} on, the time at which the endpoint has the
   * complete request.
   */
  void startLoad(long nowUs) {
    countsAsLoad = true;
    sentUs = nowUs;
  }

  /** Stops counting the attempt as load, because the endpoint no longer works on it. */
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
