package dillcross.sidecar;

import java.util.ArrayList;
import java.util.List;

/** One request, kept until it is answered and none of its attempts is in flight. Plain state. */
final class OpenRequest {
  private static final long BODY_INCOMPLETE = Long.MAX_VALUE;

  final Object client;
  final Object content;
  final long timeoutUs;
  final List<OpenAttempt> attempts = new ArrayList<>(2);
  int attemptsInFlight;

  /** Whether all of its body can still be sent. */
  boolean isReplayable = true;

  /** Whose answer is streamed to the client; null before. */
  OpenAttempt streaming;

  boolean isOver;
  private long deadlineUs = BODY_INCOMPLETE;

  /** One attempt. */
  static final class OpenAttempt {
    /** Where the endpoint was when it was sent. */
    final EndpointEntry target;

    /** When it was sent; where the request's body came later, when that was complete. */
    long sentUs;

    /** When its answer began to be streamed; 0 before. */
    long streamingSinceUs;

    /** Abandoned because its time was over. */
    boolean hasTimedOut;

    boolean hasEnded;

    OpenAttempt(EndpointEntry target, long sentUs) {
      this.target = target;
      this.sentUs = sentUs;
    }
  }

  OpenRequest(Object client, Object content, long timeoutUs) {
    this.client = client;
    this.content = content;
    this.timeoutUs = timeoutUs;
  }

  /** The client's time counts from the last byte of the body. */
  void startDeadline(long nowUs) {
    deadlineUs = nowUs + timeoutUs;
  }

  /** {@code Long.MAX_VALUE} while its body is incomplete. */
  long deadlineUs() {
    return deadlineUs;
  }

  boolean isBodyIncomplete() {
    return deadlineUs == BODY_INCOMPLETE;
  }

  /** The attempt of that number; null where there is none. */
  OpenAttempt attempt(int number) {
    return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
  }
}
