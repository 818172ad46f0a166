package dillcross.balancer;

import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import java.util.ArrayList;
import java.util.List;

/** One request that is open, or that still has an attempt in flight. Plain state. */
final class Request {
  final long id;
  final ClassState classState;

  /** As it was at arrival: new settings must not change the rules of an open request. */
  final RequestClass requestClass;

  /** As it was at arrival. */
  final RetryPolicy retryPolicy;

  final long arrivalUs;

  /** Arrival order. */
  final long sequence;

  /** Whether its deadline is before the client's, because a late answer earns nothing. */
  final boolean hasEarlyDeadline;

  /** Counts from the last byte of the body. */
  long deadlineUs;

  /** Order in the queue, the highest first. */
  double rank;

  /** Its value for its time compared with the usual request's, which is 1. */
  double relativeValue;

  /** Null where its tenant has no quota. */
  DemandCounter tenant;

  final List<Attempt> attempts = new ArrayList<>(2);
  int attemptsInFlight;
  boolean isOver;

  /** The attempt whose answer has begun to stream to the client; null before. */
  Attempt streaming;

  /** Whether its body still arrives: no endpoint can have started on it. */
  boolean isBodyIncomplete;

  /** Whether a part of its body was released, so that no other attempt can send it. */
  boolean isBodyReleased;

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

  /** Whether any attempt may have run, or still may. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(Attempt::mayHaveRun);
  }
}
