package dillcross.balancer;

/**
 * Decides whether a request may wait for capacity, for how long, and how many may wait.
 *
 * <p>A request waits only while an answer can still come within its latency objective, and the
 * queue holds no more requests than are answered within the queue timeout. A request that may not
 * wait is given up at once.
 */
final class RequestQueue {
  // Smallest queue timeout (time from arrival until a waiting request is given up), as a fraction
  // of the latency objective.
  private static final double QUEUE_FRACTION = 0.3;

  // Queue timeout, as a fraction of the latency objective less the pessimistic latency of an
  // answer.
  private static final double SPARE_FRACTION = 0.8;

  private final RequestTable requests;
  private final EndpointSets endpoints;
  private final AdmissionControl admission;
  private final InFlightTracker inFlight;
  private final CheckQueue checks;
  private final FinalAnswer finalAnswer;

  RequestQueue(
      RequestTable requests,
      EndpointSets endpoints,
      AdmissionControl admission,
      InFlightTracker inFlight,
      CheckQueue checks,
      FinalAnswer finalAnswer) {
    this.requests = requests;
    this.endpoints = endpoints;
    this.admission = admission;
    this.inFlight = inFlight;
    this.checks = checks;
    this.finalAnswer = finalAnswer;
  }

  /** Queues the request for capacity while it can still be answered in time, or gives it up. */
  void addOrGiveUp(Request request, boolean isFirst, long nowUs) {
    long untilUs = waitUntilUs(request);
    // A retry waits only if the concurrency limit holds it back: if no endpoint may take the
    // retry, waiting changes nothing.
    boolean mayWait = isFirst || (!admission.admits(request, nowUs) && !request.mayHaveRun());
    boolean isInTime = untilUs > nowUs && untilUs < request.deadlineUs();
    if (mayWait && isInTime && !endpoints.available().isEmpty()) {
      requests.addWaiting(request);
      inFlight.signalCapacity();
      checks.schedule(untilUs, checkUs -> expire(request, checkUs));
    } else {
      finalAnswer.giveUp(request, nowUs);
    }
  }

  private static long waitUntilUs(Request request) {
    long objectiveUs = request.requestClass.latencyObjectiveUs();
    double spareUs = objectiveUs - request.classState.latency.pessimisticUs();
    double waitUs = Math.max(QUEUE_FRACTION * objectiveUs, SPARE_FRACTION * spareUs);
    return request.arrivalUs + (long) waitUs;
  }

  private void expire(Request request, long nowUs) {
    if (!request.isOver() && requests.removeWaiting(request)) {
      finalAnswer.giveUp(request, nowUs);
    }
  }

  /**
   * Gives up the lowest-ranked requests while the queue holds more requests than are answered
   * within the queue timeout.
   */
  void shed(double successesPerUs, long meanObjectiveUs, long nowUs) {
    while (requests.waitingCount() > 1 + successesPerUs * QUEUE_FRACTION * meanObjectiveUs) {
      finalAnswer.giveUp(requests.lowestWaiting(), nowUs);
    }
  }
}
