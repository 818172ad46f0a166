package dillcross.balancer;

/**
 * Decides what happens next to each request: an attempt, a wait for capacity, or its final answer.
 * Consults the rule classes in a fixed order and contains no rule itself.
 */
final class RequestScheduler {
  private final RequestTable requests;
  private final AttemptPolicy attemptPolicy;
  private final AdmissionControl admission;
  private final AttemptRouter router;
  private final RequestQueue queue;
  private final FinalAnswer finalAnswer;

  RequestScheduler(
      RequestTable requests,
      AttemptPolicy attemptPolicy,
      AdmissionControl admission,
      AttemptRouter router,
      RequestQueue queue,
      FinalAnswer finalAnswer) {
    this.requests = requests;
    this.attemptPolicy = attemptPolicy;
    this.admission = admission;
    this.router = router;
    this.queue = queue;
    this.finalAnswer = finalAnswer;
  }

  /** Sends, queues or answers every request that has nothing in flight. */
  void placeAll(long nowUs) {
    Request request = requests.nextToPlace();
    while (request != null) {
      place(request, nowUs);
      request = requests.nextToPlace();
    }
  }

  private void place(Request request, long nowUs) {
    boolean isFirst = request.attempts().isEmpty();
    if (isFirst && router.sendOnProbation(request, nowUs)) {
      return;
    }
    if (!attemptPolicy.allowsNext(request)) {
      finalAnswer.giveUp(request, nowUs);
      return;
    }
    double price = attemptPolicy.price(request);
    boolean mustQueue = isFirst && requests.hasWaiting();
    if (!mustQueue && admission.admits(request, nowUs) && router.sendToPicked(request, nowUs)) {
      attemptPolicy.charge(price);
    } else {
      queue.addOrGiveUp(request, isFirst, nowUs);
    }
  }

  /** Sends waiting requests, the highest rank first, as far as the concurrency limit allows. */
  void placeWaiting(long nowUs) {
    while (requests.hasWaiting() && admission.admits(requests.highestWaiting(), nowUs)) {
      Request request = requests.highestWaiting();
      if (router.sendToPicked(request, nowUs)) {
        requests.removeWaiting(request);
      } else if (request.attempts().isEmpty()) {
        return;
      } else {
        // A retry that no endpoint may take must not block the requests that wait behind it.
        finalAnswer.giveUp(request, nowUs);
      }
    }
  }

  /**
   * Sends a second attempt beside a slow one, if the retry budget and the concurrency limit allow
   * it.
   */
  void hedge(Request request, long nowUs) {
    boolean isSent =
        attemptPolicy.allowsHedge(request)
            && admission.admits(request, nowUs)
            && router.sendToPicked(request, nowUs);
    if (isSent) {
      attemptPolicy.chargeHedge();
    }
  }
}
