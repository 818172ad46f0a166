package dillcross.balancer;

import dillcross.model.Decision;
import java.util.Queue;

/**
 * Decides which attempts in flight are cancelled: those whose request has its answer from another
 * attempt, or needs none, if its retry policy allows cancellation.
 */
final class AttemptCanceller {
  private final RequestTable requests;
  private final Queue<Decision> decisions;

  AttemptCanceller(RequestTable requests, Queue<Decision> decisions) {
    this.requests = requests;
    this.decisions = decisions;
  }

  /** Cancels the attempts that have become unneeded since the last call. */
  void cancelUnneeded() {
    Request request = requests.nextToCancel();
    while (request != null) {
      if (request.retryPolicy.cancellable()) {
        cancelAttempts(request);
      }
      request = requests.nextToCancel();
    }
  }

  private void cancelAttempts(Request request) {
    for (int number = 0; number < request.attempts().size(); number++) {
      Attempt attempt = request.attempts().get(number);
      if (attempt.isInFlight() && attempt != request.streaming()) {
        decisions.add(new Decision.CancelAttempt(request.id, number));
      }
    }
  }
}
