package dillcross.balancer;

import dillcross.model.AttemptOutcome;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the state of one request that is open, or that still has an attempt in flight. Times are in
 * microseconds.
 */
final class Request {
  final long id;
  final ClassState classState;

  /**
   * The request class as it was at arrival: new settings must not change the rules of an open
   * request.
   */
  final RequestClass requestClass;

  /**
   * The retry policy as it was at arrival: new settings must not change the rules of an open
   * request.
   */
  final RetryPolicy retryPolicy;

  final long arrivalUs;

  /** Number of the request in the order of arrival. */
  final long sequence;

  /**
   * Whether the deadline is bounded by the latency objective, because a late answer has no value.
   */
  final boolean hasEarlyDeadline;

  private final List<Attempt> attempts = new ArrayList<>(2);
  private long deadlineUs;
  private long bodyDeadlineUs = Long.MAX_VALUE; // the client's, once it may have sent all
  private boolean mayHaveAttempts = true;
  private double rank;
  private double relativeValue;
  private DemandCounter tenant;
  private int attemptsInFlight;
  private boolean isOver;
  private Attempt streaming;
  private boolean isBodyIncomplete;
  private boolean isBodyReleased;

  Request(
      long id,
      ClassState classState,
      RetryPolicy retryPolicy,
      long arrivalUs,
      long deadlineUs,
      boolean hasEarlyDeadline,
      long sequence) {
    this.id = id;
    this.classState = classState;
    this.requestClass = classState.requestClass();
    this.retryPolicy = retryPolicy;
    this.arrivalUs = arrivalUs;
    this.deadlineUs = deadlineUs;
    this.hasEarlyDeadline = hasEarlyDeadline;
    this.sequence = sequence;
  }

  boolean isIdempotent() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  boolean hasIdempotencyKey() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
  }

  /** Until when the request may be answered; the timeout counts from the last byte of the body. */
  long deadlineUs() {
    return Math.min(deadlineUs, bodyDeadlineUs);
  }

  /** Whether the request may be answered at {@code nowUs}. */
  boolean isInTime(long nowUs) {
    return nowUs < (isBodyIncomplete ? bodyDeadlineUs : deadlineUs());
  }

  /**
   * Sets the client's deadline; {@code Long.MAX_VALUE} while the client can't have sent the last
   * byte of the body.
   */
  void updateBodyDeadline(long newDeadlineUs) {
    bodyDeadlineUs = newDeadlineUs;
  }

  /** Whether the request may get another attempt, as far as its client is concerned. */
  boolean mayHaveAttempts() {
    return mayHaveAttempts;
  }

  void forbidAttempts() {
    mayHaveAttempts = false;
  }

  /** Whether the request needs no answer any more. */
  boolean isOver() {
    return isOver;
  }

  void end() {
    isOver = true;
  }

  // Body

  /**
   * Whether the request's body is still arriving, so that no endpoint can have started on the
   * request.
   */
  boolean isBodyIncomplete() {
    return isBodyIncomplete;
  }

  /**
   * Whether a part of the request's body was released, so that no other attempt can send the body.
   */
  boolean isBodyReleased() {
    return isBodyReleased;
  }

  /** Updates whether the whole body has arrived, and whether the whole body could be sent again. */
  void updateBody(boolean complete, boolean replayable, long nowUs) {
    isBodyIncomplete = !complete;
    isBodyReleased = !replayable;
    if (complete) {
      deadlineUs += nowUs - arrivalUs;
    }
  }

  // Attempts

  /** The request's attempts so far, in the order in which they were sent. */
  List<Attempt> attempts() {
    return attempts;
  }

  int attemptsInFlight() {
    return attemptsInFlight;
  }

  /** Whether an endpoint may have executed any attempt, or may still do so. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(Attempt::mayHaveRun);
  }

  /** The attempt whose response has begun to stream to the client; null if none has. */
  Attempt streaming() {
    return streaming;
  }

  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  void startStreaming(Attempt attempt) {
    streaming = attempt;
  }

  void endAttempt(Attempt attempt, AttemptOutcome outcome) {
    attempt.end(outcome);
    attemptsInFlight--;
  }

  // Ranking

  /** Rank in the queue of waiting requests: the highest goes first. */
  double rank() {
    return rank;
  }

  /**
   * The request's value rate relative to that of the usual request, which is 1; see {@link
   * RequestRanking}.
   */
  double relativeValue() {
    return relativeValue;
  }

  void updateRank(double newRank, double newRelativeValue) {
    rank = newRank;
    relativeValue = newRelativeValue;
  }

  /** The counter of the request's tenant; null if the tenant has no quota. */
  DemandCounter tenant() {
    return tenant;
  }

  void assignTenant(DemandCounter newTenant) {
    tenant = newTenant;
  }
}
