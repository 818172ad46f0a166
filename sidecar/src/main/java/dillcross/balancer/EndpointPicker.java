package dillcross.balancer;

import dillcross.model.BalancerSettings;
import java.util.List;
import java.util.Random;

/** Picks the better of two random choices, by smoothed latency x (own in flight + 1). */
final class EndpointPicker {
  private static final long FORGET_US = 10_000_000; // then one that lost every draw is tried again
  private static final double CROSS_ZONE_FACTOR = 20; // what the price of leaving the zone weighs
  private static final double MAX_LIMIT_SHARES = 1.5; // of the limit, that one endpoint may hold
  private static final double REPORT_WEIGHT = 0.1; // of a new load report in their mean
  private static final double LOAD_OFFSET = 0.5; // keeps the ratio of small loads moderate
  private static final int MAX_DRAWS = 5;
  private static final double MIN_JITTER_FACTOR = 0.5; // the largest is 1 more
  private static final int MAX_OVERLOAD_DOUBLINGS = 6;
  private static final double OVERLOADED_LATENCY_RATIO = 8; // its queue is full

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

  /** The endpoint reports that many requests in flight. */
  void recordLoadReport(EndpointState endpoint, double inFlight) {
    endpoint.recordReportedLoad(inFlight / endpoint.effectiveWeight());
    meanReportedLoad += REPORT_WEIGHT * (endpoint.reportedLoad() - meanReportedLoad);
  }

  /** Others send there too, or it hangs behind a full queue: back off, longer each time. */
  void recordOverload(EndpointState endpoint, double meanLatencyUs, long nowUs) {
    int doublings = Math.min(endpoint.consecutiveOverloads(), MAX_OVERLOAD_DOUBLINGS);
    double factor = (MIN_JITTER_FACTOR + random.nextDouble()) * (1 << doublings);
    endpoint.recordOverload(nowUs + (long) (meanLatencyUs * factor));
    endpoint.raiseLatencyRatio(OVERLOADED_LATENCY_RATIO);
  }

  /** The endpoint for the request's next attempt; null if none may take it. */
  EndpointState pick(Request request, long nowUs) {
    if (request.isIdempotent() || !request.mayHaveRun()) { // else draws would miss the few that may
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

  /** Two different ones: of the few that are in use one drawn twice is no choice. */
  private EndpointState pickOfTwo(Request request, List<EndpointState> candidates, long nowUs) {
    EndpointState first = draw(request, candidates, null, nowUs);
    return cheaper(first, draw(request, candidates, first, nowUs), nowUs);
  }

  /** Draws large ones more often: what a sidecar sees tells their size late. */
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
    return nowUs >= endpoint.retryAfterUs()
        && endpoint.inFlightCount() < maxInFlight(nowUs)
        && dispatcher.permits(request, endpoint, nowUs)
        && request.attempts().stream().noneMatch(attempt -> attempt.endpoint == endpoint);
  }

  private double maxInFlight(long nowUs) {
    return 1 + MAX_LIMIT_SHARES * admission.concurrencyLimit(nowUs) / endpoints.inUse();
  }

  private double cost(EndpointState endpoint, long nowUs) {
    // Damped, or all sidecars would herd to the one that reports the least.
    double reported =
        Math.sqrt((endpoint.reportedLoad() + LOAD_OFFSET) / (meanReportedLoad + LOAD_OFFSET));
    double ratio = endpoint.latencyRatio() * reported;
    double age = (double) (nowUs - endpoint.lastOutcomeUs()) / FORGET_US;
    double freshness = ratio > 1 ? Math.max(0, 1 - age) : 1;
    double latency = 1 + (ratio - 1) * freshness;
    Attempt oldest = endpoint.oldestInFlight();
    if (oldest != null) { // an old attempt says more than answers from before it
      double waited = oldest.request.classState.latency.ratioToMean(nowUs - oldest.sentUs());
      latency = Math.max(latency, waited);
    }
    boolean isLocal = endpoint.zone().equals(zone);
    double zoneCost = isLocal ? 1 : crossZoneCost * directory.remoteCrowding();
    return latency * (endpoint.inFlightCount() + 1) * zoneCost;
  }
}
