package dillcross.balancer;

/**
 * Decides where a request's next attempt goes: to an ejected endpoint that is due for probation, or
 * to the one that {@link EndpointPicker} picks. Sends the attempt if every rule permits it.
 */
final class AttemptRouter {
  private final EndpointSets endpoints;
  private final OutlierEjection ejection;
  private final EndpointPicker picker;
  private final AttemptDispatcher dispatcher;

  AttemptRouter(
      EndpointSets endpoints,
      OutlierEjection ejection,
      EndpointPicker picker,
      AttemptDispatcher dispatcher) {
    this.endpoints = endpoints;
    this.ejection = ejection;
    this.picker = picker;
    this.dispatcher = dispatcher;
  }

  /**
   * Sends the request to an ejected endpoint that is due for probation, if there is one. Returns
   * whether it was sent.
   */
  boolean sendOnProbation(Request request, long nowUs) {
    for (EndpointState endpoint : endpoints.ejected()) {
      boolean isDue = ejection.isProbationDue(endpoint, request, nowUs);
      if (isDue && dispatcher.send(request, endpoint, true, nowUs)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Sends the request to the endpoint that is picked for it, if there is one. Returns whether it
   * was sent.
   */
  boolean sendToPicked(Request request, long nowUs) {
    return dispatcher.send(request, picker.pick(request, nowUs), false, nowUs);
  }
}
