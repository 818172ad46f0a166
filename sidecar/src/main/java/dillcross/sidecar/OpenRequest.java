package dillcross.sidecar;

import java.util.ArrayList;
import java.util.List;

/**
 * One request and its attempts, kept until it is finished and none of its attempts is in flight.
 * Times are in microseconds. Belongs to the selector thread.
 */
final class OpenRequest {
  private static final long BODY_INCOMPLETE = Long.MAX_VALUE;

  private final Object client;
  private final Object content;
  private final long timeoutUs;
  private final DeadlineLimit limit;
  private final List<OpenAttempt> attempts = new ArrayList<>(2);
  private int attemptsInFlight;
  private boolean isReplayable = true;
  private OpenAttempt streaming; // null until a response is streamed to the client
  private boolean isFinished;
  private long deadlineUs = BODY_INCOMPLETE;
  private long mayHaveEndedSinceUs; // 0 unless the last byte of the body may have been sent unseen

  OpenRequest(Object client, Object content, long timeoutUs, DeadlineLimit limit) {
    this.client = client;
    this.content = content;
    this.timeoutUs = timeoutUs;
    this.limit = limit;
  }

  /** The client that waits for the answer: an object of the network. */
  Object client() {
    return client;
  }

  /** The request that is sent to endpoints: an object of the network. */
  Object content() {
    return content;
  }

  /** Starts the client's timeout, when the last byte of the body was sent. */
  void startDeadline(long sentUs) {
    deadlineUs = sentUs + timeoutUs;
  }

  /**
   * When the client may stop waiting, or the request has to be answered because of a {@link
   * DeadlineLimit}; {@code Long.MAX_VALUE} while the client can't have sent the last byte of the
   * body and there is no limit.
   */
  long deadlineUs() {
    if (!isBodyIncomplete()) {
      return Math.min(deadlineUs, limit.answerUs());
    }
    long bodyUs = mayHaveEndedSinceUs > 0 ? mayHaveEndedSinceUs + timeoutUs : Long.MAX_VALUE;
    return Math.min(bodyUs, limit.arrivalUs());
  }

  /** Records since when the client may have sent the last byte of the body; 0 if it can't have. */
  void setMayHaveEndedSince(long sinceUs) {
    mayHaveEndedSinceUs = sinceUs;
  }

  /** Since when the client may have sent the last byte of the body; 0 if it can't have. */
  long mayHaveEndedSinceUs() {
    return mayHaveEndedSinceUs;
  }

  /** The client's deadline; while it is not known, as if the last byte of the body came now. */
  long earliestDeadlineUs(long nowUs) {
    return Math.min(deadlineUs(), nowUs + timeoutUs);
  }

  boolean isBodyIncomplete() {
    return deadlineUs == BODY_INCOMPLETE;
  }

  /** Records that the last byte of the body has arrived: attempts in flight are timed from now. */
  void completeBody(long nowUs) {
    for (OpenAttempt attempt : attempts) {
      attempt.restartTimeUnlessEnded(nowUs);
    }
  }

  /** Records that a part of the body was released, so that no later attempt can send all of it. */
  void releaseBody() {
    isReplayable = false;
  }

  /** Whether all of the body can still be sent. */
  boolean isReplayable() {
    return isReplayable;
  }

  /** Starts an attempt, and returns its number within the request. */
  int startAttempt(EndpointEntry target, long nowUs) {
    attempts.add(new OpenAttempt(target, nowUs));
    attemptsInFlight++;
    return attempts.size() - 1;
  }

  /** The attempt of that number, which must have been started. */
  OpenAttempt attempt(int number) {
    return attempts.get(number);
  }

  /** The attempt of that number; null if it has ended or was never started. */
  OpenAttempt findInFlight(int number) {
    boolean isStarted = number >= 0 && number < attempts.size();
    return isStarted && !attempts.get(number).hasEnded() ? attempts.get(number) : null;
  }

  /** How many attempts were started, those that have ended included. */
  int attemptCount() {
    return attempts.size();
  }

  /** Ends an attempt that is in flight. */
  void endAttempt(OpenAttempt attempt) {
    attempt.end();
    attemptsInFlight--;
  }

  /** Streams the attempt's response to the client from now on. */
  void startStreaming(OpenAttempt attempt, long nowUs) {
    streaming = attempt;
    attempt.startStreaming(nowUs);
  }

  /** Whether a response has begun to be streamed to the client. */
  boolean isStreaming() {
    return streaming != null;
  }

  /** Whether the response of {@code attempt} is streamed to the client. */
  boolean isStreaming(OpenAttempt attempt) {
    return streaming == attempt;
  }

  /** The number of the attempt whose response is streamed; -1 if none is. */
  int streamingNumber() {
    return attempts.indexOf(streaming);
  }

  /** Records that the client gets no further answer: it has one, or has disconnected. */
  void finish() {
    isFinished = true;
  }

  boolean isFinished() {
    return isFinished;
  }

  /** Whether the request is finished and none of its attempts is in flight. */
  boolean isRemovable() {
    return isFinished && attemptsInFlight == 0;
  }
}
