package dillcross.simulator;

import dillcross.balancer.LoadBalancer;
import dillcross.model.AttemptOutcome;
import dillcross.model.Endpoint;
import java.util.List;
import java.util.Map;

/** Turns events of the simulator's wire into calls of a load balancer. */
final class EventDispatcher {
  private static final String ACTIVE_REQUESTS = "active:"; // in a load report
  private static final long REPEAT_FLAG = 2;

  private final Map<Integer, List<Endpoint>> snapshots;

  /** {@code snapshots} are the endpoint lists by their numbers, a live view. */
  EventDispatcher(Map<Integer, List<Endpoint>> snapshots) {
    this.snapshots = snapshots;
  }

  void dispatch(String name, WireFields fields, LoadBalancer balancer, long nowUs) {
    switch (name) {
      case "endpoints" -> onEndpoints(fields, balancer, nowUs);
      case "knock" -> onRequest(fields, balancer, nowUs);
      case "response" -> onAttemptEnded(fields, balancer, nowUs);
      case "opened" -> onResponseStarted(fields, balancer, nowUs);
      case "withdrawn" -> balancer.onClientDisconnected(nowUs, fields.wholeNumber(0));
      case "fired" -> balancer.onTimer(nowUs);
      default -> {
        // nothing asks for health checks or for other sidecars' messages
      }
    }
  }

  private void onEndpoints(WireFields fields, LoadBalancer balancer, long nowUs) {
    fields.wholeNumber(0);
    int snapshot = fields.index();
    String form = fields.text();
    if (form.equals("Error")) {
      balancer.onEndpointListFailure(nowUs, Long.MAX_VALUE);
      return;
    }
    List<Endpoint> entries = snapshots.get(snapshot);
    if (entries == null) {
      throw fields.malformed("no such list");
    }
    balancer.onEndpointList(nowUs, !form.equals("Partial"), entries);
  }

  private static void onRequest(WireFields fields, LoadBalancer balancer, long nowUs) {
    long requestId = fields.wholeNumber(0);
    String tenant = fields.optionalText();
    long timeoutUs = fields.microseconds();
    fields.skip();
    fields.skip();
    boolean isRepeat = (fields.wholeNumber(0) & REPEAT_FLAG) != 0;
    balancer.onRequest(nowUs, requestId, tenant, fields.text(), timeoutUs, isRepeat);
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
    fields.text();
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
    for (String part : report.split(",")) {
      if (part.startsWith(ACTIVE_REQUESTS)) {
        double inFlight = fields.numberOf(part.substring(ACTIVE_REQUESTS.length()));
        balancer.onLoadReport(nowUs, endpoint, inFlight);
      }
    }
  }

  private static AttemptOutcome outcome(WireFields fields) {
    int code = fields.index();
    return switch (code) {
      case 0 -> AttemptOutcome.SUCCEEDED;
      case 1 -> AttemptOutcome.CANCELLED;
      case 4 -> AttemptOutcome.TIMED_OUT;
      case 8 -> AttemptOutcome.OVERLOADED;
      case 9 -> AttemptOutcome.NOT_SENT;
      case 10 -> AttemptOutcome.RESET;
      case 13 -> AttemptOutcome.ERROR;
      case 14 -> AttemptOutcome.CONNECT_FAILED;
      default -> throw fields.malformed("unknown outcome " + code);
    };
  }
}
