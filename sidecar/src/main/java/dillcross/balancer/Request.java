package dillcross.balancer;

import dillcross.model.AttemptOutcome;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps one request that is open, or that still has an attempt in flight. Times are in
 * microseconds.
 */
final class Request {
  final long id;
  final ClassState classState;

  /** As it was at arrival: new settings must not change the rules of an open request. */
  final RequestClass requestClass;

  /** As it was at arrival. */
  final RetryPolicy retryPolicy;

  final long arrivalUs;

  /** Number in order of arrival. */
  final long sequence;

  /** Whether its deadline is before the client's, because a late answer has no value. */
  final boolean hasEarlyDeadline;

  private final List<Attempt> attempts = new ArrayList<>(2);
  private long deadlineUs;
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

  /** Until when it may be answered; it counts from the last byte of the body. */
  long deadlineUs() {
    return deadlineUs;
  }

  /** Whether it needs no answer any more. */
  boolean isOver() {
    return isOver;
  }

  void end() {
    isOver = true;
  }

  // Body

  /** Whether its body still arrives: no endpoint can have started on it. */
  boolean isBodyIncomplete() {
    return isBodyIncomplete;
  }

  /** Whether a part of its body was released, so that no other attempt can send it. */
  boolean isBodyReleased() {
    return isBodyReleased;
  }

  /** How far its body has arrived, and whether all of it could be sent once more. */
  void updateBody(boolean complete, boolean replayable, long nowUs) {
    isBodyIncomplete = !complete;
    isBodyReleased = !replayable;
    if (complete) {
      deadlineUs += nowUs - arrivalUs;
    }
  }

  // Attempts

  /** Its attempts so far in the order in which they were sent. */
  List<Attempt> attempts() {
    return attempts;
  }

  int attemptsInFlight() {
    return attemptsInFlight;
  }

  /** Whether any attempt may have run, or still may. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(Attempt::mayHaveRun);
  }

  /** The attempt whose answer has begun to stream to the client; null before. */
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

  /** Order in the queue, the highest first. */
  double rank() {
    return rank;
  }

  /** Its value for its time compared with the usual request's, which is 1. */
  double relativeValue() {
    return relativeValue;
  }

  void updateRank(double newRank, double newRelativeValue) {
    rank = newRank;
    relativeValue = newRelativeValue;
  }

  /** Counts the requests of its tenant; null where that has no quota. */
  DemandCounter tenant() {
    return tenant;
  }

  void assignTenant(DemandCounter newTenant) {
    tenant = newTenant;
  }
}
