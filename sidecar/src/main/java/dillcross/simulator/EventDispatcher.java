package dillcross.simulator;

import dillcross.balancer.LoadBalancer;
import dillcross.model.AttemptOutcome;
import dillcross.model.Endpoint;
import java.util.List;
import java.util.Map;

/** Turns events of the simulator's protocol into calls of a load balancer. */
final class EventDispatcher {
  private final Map<Integer, List<Endpoint>> snapshots;

  /**
   * Creates a dispatcher.
   *
   * @param snapshots the endpoint lists by their numbers; the caller adds to the map later
   */
  EventDispatcher(Map<Integer, List<Endpoint>> snapshots) {
    this.snapshots = snapshots;
  }

  void dispatch(String name, WireFields fields, LoadBalancer balancer, long nowUs) {
    switch (name) {
      case WireFormat.ENDPOINTS_CHANGED -> onEndpoints(fields, balancer, nowUs);
      case WireFormat.REQUEST_ARRIVED -> onRequest(fields, balancer, nowUs);
      case WireFormat.ATTEMPT_ENDED -> onAttemptEnded(fields, balancer, nowUs);
      case WireFormat.RESPONSE_STARTED -> onResponseStarted(fields, balancer, nowUs);
      case WireFormat.CLIENT_DISCONNECTED ->
          balancer.onClientDisconnected(nowUs, fields.wholeNumber(0));
      case WireFormat.TIMER_DUE -> balancer.onTimer(nowUs);
      default -> {
        // health checks and messages of other load balancers are not used
      }
    }
  }

  private void onEndpoints(WireFields fields, LoadBalancer balancer, long nowUs) {
    fields.wholeNumber(0); // checked to be a number, but not used
    int snapshot = fields.index();
    String form = fields.text();
    if (form.equals(WireFormat.LIST_UNAVAILABLE)) {
      balancer.onEndpointListFailure(nowUs, Long.MAX_VALUE);
      return;
    }
    List<Endpoint> entries = snapshots.get(snapshot);
    if (entries == null) {
      throw fields.malformed("no endpoint list has this number");
    }
    balancer.onEndpointList(nowUs, !form.equals(WireFormat.LIST_OF_CHANGES), entries);
  }

  private static void onRequest(WireFields fields, LoadBalancer balancer, long nowUs) {
    long requestId = fields.wholeNumber(0);
    String tenant = fields.optionalText();
    long timeoutUs = fields.microseconds();
    fields.skip(); // the load balancer has no use for this field and the next
    fields.skip();
    boolean isClientRetry = (fields.wholeNumber(0) & WireFormat.CLIENT_RETRY_FLAG) != 0;
    balancer.onRequest(nowUs, requestId, tenant, fields.text(), timeoutUs, isClientRetry);
  }

  private static void onAttemptEnded(WireFields fields, LoadBalancer balancer, long nowUs) {
    long requestId = fields.wholeNumber(0);
    AttemptOutcome outcome = outcome(fields);
    String endpoint = fields.text();
    boolean isRequestOver = fields.flag();
    long elapsedUs = fields.microseconds();
    int attempt = fields.index();
    if (fields.hasMore()) {
      reportLoad(balancer, endpoint, fields, nowUs);
    }
    balancer.onAttemptEnded(nowUs, requestId, attempt, outcome, elapsedUs, isRequestOver);
  }

  private static void onResponseStarted(WireFields fields, LoadBalancer balancer, long nowUs) {
    long requestId = fields.wholeNumber(0);
    fields.text(); // this field and the next are read to check their form, but not used
    fields.microseconds();
    balancer.onResponseStarted(nowUs, requestId, fields.index());
  }

  /** Passes on how many requests an endpoint has in flight, where its load report says so. */
  private static void reportLoad(
      LoadBalancer balancer, String endpoint, WireFields fields, long nowUs) {
    String report = fields.optionalText();
    if (report == null) {
      return;
    }
    for (String entry : report.split(",")) {
      if (entry.startsWith(WireFormat.REQUESTS_IN_FLIGHT)) {
        String count = entry.substring(WireFormat.REQUESTS_IN_FLIGHT.length());
        double inFlight = fields.numberOf(count);
        balancer.onLoadReport(nowUs, endpoint, inFlight);
      }
    }
  }

  private static AttemptOutcome outcome(WireFields fields) {
    int code = fields.index();
    return switch (code) {
      case WireFormat.SUCCEEDED -> AttemptOutcome.SUCCEEDED;
      case WireFormat.CANCELLED -> AttemptOutcome.CANCELLED;
      case WireFormat.TIMED_OUT -> AttemptOutcome.TIMED_OUT;
      case WireFormat.OVERLOADED -> AttemptOutcome.OVERLOADED;
      case WireFormat.NOT_SENT -> AttemptOutcome.NOT_SENT;
      case WireFormat.RESET -> AttemptOutcome.RESET;
      case WireFormat.ERROR -> AttemptOutcome.ERROR;
      case WireFormat.CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
      default -> throw fields.malformed("unknown outcome " + code);
    };
  }
}
