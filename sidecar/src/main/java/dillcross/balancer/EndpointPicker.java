package dillcross.balancer;

import dillcross.model.BalancerSettings;
import java.util.List;
import java.util.Random;

/**
 * Decides which endpoint gets a request's next attempt: the cheaper of two random choices (P2C) in
 * this sidecar's zone and of two in other zones.
 *
 * <pre>cost = latencyRatio x (inFlight + 1) x zoneCost</pre>
 *
 * The latency ratio is the smoothed latency over the mean of the request class, adjusted by the
 * reported load, by the time since an attempt last ended there, and by how long the oldest attempt
 * in flight has waited. Draws are weighted by capacity. If no drawn endpoint is usable, or if the
 * request may have run and few endpoints may get it again, all available endpoints are compared.
 */
final class EndpointPicker {
  // Time since an endpoint's last answer after which a high latency ratio no longer counts.
  private static final long FORGET_US = 10_000_000;

  private static final double CROSS_ZONE_FACTOR = 20; // weight of crossZonePrice in the cost

  // Most attempts in flight at one endpoint, beyond the first, as a multiple of its equal share of
  // the concurrency limit.
  private static final double MAX_LIMIT_SHARES = 1.5;

  // Weight of a new load report in the mean of all reports.
  private static final double REPORT_WEIGHT = 0.1;

  // Added to a reported load and to the mean, which keeps the ratio of small loads moderate.
  private static final double LOAD_OFFSET = 0.5;

  private static final int MAX_DRAWS = 5;

  // Smallest factor of a backoff; the largest is 1 more.
  private static final double MIN_JITTER_FACTOR = 0.5;

  private static final int MAX_OVERLOAD_DOUBLINGS = 6;

  // Assumed for an endpoint that answers that it is overloaded, because its queue is full.
  private static final double OVERLOADED_LATENCY_RATIO = 8;

  private final Random random;
  private final EndpointDirectory directory;
  private final EndpointSets endpoints;
  private final AdmissionControl admission;
  private final AttemptDispatcher dispatcher;
  private String zone;
  private double crossZoneCost;
  private double meanReportedLoad;

  EndpointPicker(
      Random random,
      EndpointDirectory directory,
      EndpointSets endpoints,
      AdmissionControl admission,
      AttemptDispatcher dispatcher) {
    this.random = random;
    this.directory = directory;
    this.endpoints = endpoints;
    this.admission = admission;
    this.dispatcher = dispatcher;
  }

  void configure(BalancerSettings settings) {
    zone = settings.zone();
    crossZoneCost = 1 + CROSS_ZONE_FACTOR * settings.crossZonePrice();
  }

  /** Records an endpoint's report of how many requests, of all sidecars, it has in flight. */
  void recordLoadReport(EndpointState endpoint, double inFlight) {
    endpoint.recordReportedLoad(inFlight / endpoint.effectiveWeight());
    meanReportedLoad += REPORT_WEIGHT * (endpoint.reportedLoad() - meanReportedLoad);
  }

  /**
   * Backs off from an endpoint that answered that it is overloaded, longer after each such answer
   * in a row.
   */
  void recordOverload(EndpointState endpoint, double meanLatencyUs, long nowUs) {
    int doublings = Math.min(endpoint.consecutiveOverloads(), MAX_OVERLOAD_DOUBLINGS);
    double factor = (MIN_JITTER_FACTOR + random.nextDouble()) * (1 << doublings);
    endpoint.recordOverload(nowUs + (long) (meanLatencyUs * factor));
    endpoint.raiseLatencyRatio(OVERLOADED_LATENCY_RATIO);
  }

  /** The endpoint for the request's next attempt; null if none may take it. */
  EndpointState pick(Request request, long nowUs) {
    boolean mayGoAnywhere = request.isIdempotent() || !request.mayHaveRun();
    if (mayGoAnywhere) {
      EndpointState localChoice = pickOfTwo(request, endpoints.local(), nowUs);
      EndpointState remoteChoice = pickOfTwo(request, endpoints.remote(), nowUs);
      EndpointState choice = cheaper(localChoice, remoteChoice, nowUs);
      if (choice != null) {
        return choice;
      }
    }
    EndpointState best = null;
    for (EndpointState candidate : endpoints.available()) {
      if (isUsable(request, candidate, nowUs)) {
        best = cheaper(best, candidate, nowUs);
      }
    }
    return best;
  }

  /** The cheaper of two different candidates: drawing one twice would leave no choice. */
  private EndpointState pickOfTwo(Request request, List<EndpointState> candidates, long nowUs) {
    EndpointState first = draw(request, candidates, null, nowUs);
    return cheaper(first, draw(request, candidates, first, nowUs), nowUs);
  }

  /**
   * Draws a candidate weighted by capacity, because latency reveals a small endpoint only after it
   * is overloaded. Returns null if the drawn candidate is {@code excluded} or not usable.
   */
  private EndpointState draw(
      Request request, List<EndpointState> candidates, EndpointState excluded, long nowUs) {
    EndpointState drawn = null;
    for (int i = 0; i < MAX_DRAWS && !candidates.isEmpty(); i++) {
      boolean drawAgain =
          drawn == null
              || drawn == excluded
              || random.nextDouble() * endpoints.largestWeight() > drawn.effectiveWeight();
      if (drawAgain) {
        drawn = candidates.get(random.nextInt(candidates.size()));
      }
    }
    boolean isCandidate = drawn != null && drawn != excluded && isUsable(request, drawn, nowUs);
    return isCandidate ? drawn : null;
  }

  private EndpointState cheaper(EndpointState first, EndpointState second, long nowUs) {
    if (first == null) {
      return second;
    }
    return second == null || cost(first, nowUs) <= cost(second, nowUs) ? first : second;
  }

  private boolean isUsable(Request request, EndpointState endpoint, long nowUs) {
    return nowUs >= endpoint.backoffUntilUs()
        && endpoint.inFlightCount() < maxInFlight(nowUs)
        && dispatcher.permits(request, endpoint, nowUs)
        && request.attempts().stream().noneMatch(attempt -> attempt.endpoint == endpoint);
  }

  private double maxInFlight(long nowUs) {
    return 1 + MAX_LIMIT_SHARES * admission.concurrencyLimit(nowUs) / endpoints.inUse();
  }

  private double cost(EndpointState endpoint, long nowUs) {
    // The square root damps reported load: otherwise all sidecars would choose the same endpoint.
    double reported =
        Math.sqrt((endpoint.reportedLoad() + LOAD_OFFSET) / (meanReportedLoad + LOAD_OFFSET));
    double ratio = endpoint.latencyRatio() * reported;
    double age = (double) (nowUs - endpoint.lastOutcomeUs()) / FORGET_US;
    double freshness = ratio > 1 ? Math.max(0, 1 - age) : 1;
    double latency = 1 + (ratio - 1) * freshness;
    Attempt oldest = endpoint.oldestInFlight();
    if (oldest != null) { // its wait is newer information than past answers
      double waited = oldest.request.classState.latency.ratioToMean(nowUs - oldest.sentUs());
      latency = Math.max(latency, waited);
    }
    boolean isLocal = endpoint.zone().equals(zone);
    double zoneCost = isLocal ? 1 : crossZoneCost * directory.remoteOccupancyRatio();
    return latency * (endpoint.inFlightCount() + 1) * zoneCost;
  }
}
