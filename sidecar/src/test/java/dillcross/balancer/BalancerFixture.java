package dillcross.balancer;

import dillcross.model.AttemptOutcome;
import dillcross.model.Decision;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Drives one {@link LoadBalancer} on a virtual clock: delivers requests, responses and endpoint
 * lists, fires its timers, and carries out its decisions.
 */
final class BalancerFixture extends DecisionRecorder {
  private static final long DEFAULT_TIMEOUT_MS = 2000;
  private static final long RESPONSE_TIME_MS = 20;
  private static final long BASE_SEED = 7;

  final LoadBalancer balancer;

  /** The outcome of each attempt that has ended. */
  final Map<SentAttempt, AttemptOutcome> outcomes = new HashMap<>();

  /** When the client of each request gives up, by request id; this ends the request's attempts. */
  final Map<Long, Long> clientDeadlinesMs = new HashMap<>();

  private final SettingsBuilder settings;
  private boolean enforcesAttemptDeadlines;
  private long lastRequestId = 100;

  /** Starts a load balancer without endpoints; its seed is derived from its instance index. */
  BalancerFixture(SettingsBuilder settings) {
    this.settings = settings;
    balancer = new LoadBalancer(BASE_SEED + settings.instanceIndex(), settings.build());
  }

  /** A load balancer with default settings and the given endpoints; see {@link TestEndpoints}. */
  static BalancerFixture withEndpoints(String... endpoints) {
    return withSettings(new SettingsBuilder(), endpoints);
  }

  /** A load balancer with the given settings and endpoints. */
  static BalancerFixture withSettings(SettingsBuilder settings, String... endpoints) {
    BalancerFixture fixture = new BalancerFixture(settings);
    fixture.updateEndpoints(true, endpoints);
    return fixture;
  }

  /**
   * One of {@code instanceCount} sidecars that share the endpoints and are spread over three zones.
   */
  static BalancerFixture inFleet(int instanceCount, int instanceIndex, String... endpoints) {
    String zone = TestEndpoints.zoneOf(instanceIndex);
    return withSettings(
        new SettingsBuilder().instance(zone, instanceIndex, instanceCount), endpoints);
  }

  /**
   * A builder, with default values, for settings of the same sidecar; see {@link #applySettings}.
   */
  SettingsBuilder newSettings() {
    return settings.forSameInstance();
  }

  /** Replaces the settings of the running load balancer. */
  void applySettings(SettingsBuilder newSettings) {
    balancer.applySettings(nowUs(), newSettings.build());
    applyDecisions();
  }

  /** Has attempts time out at the deadlines that the load balancer sets for them. */
  void enforceAttemptDeadlines() {
    enforcesAttemptDeadlines = true;
  }

  /**
   * Delivers an update of the endpoint list.
   *
   * @param complete whether endpoints that the update does not name are removed
   */
  void updateEndpoints(boolean complete, String... endpoints) {
    balancer.onEndpointList(nowUs(), complete, TestEndpoints.parse(endpoints));
    applyDecisions();
  }

  /** Has a call for the endpoint list fail. */
  void failEndpointListCall() {
    balancer.onEndpointListFailure(nowUs(), Long.MAX_VALUE);
    applyDecisions();
  }

  /** Delivers a request whose client waits for 2 s. Returns the request's id. */
  long startRequest(String requestClass) {
    return startRequest(requestClass, null, DEFAULT_TIMEOUT_MS);
  }

  /** Delivers a request; {@code tenant} is null if it belongs to none. Returns the request's id. */
  long startRequest(String requestClass, String tenant, long timeoutMs) {
    long request = ++lastRequestId;
    clientDeadlinesMs.put(request, nowMs + timeoutMs);
    balancer.onRequest(nowUs(), request, tenant, requestClass, timeoutMs * MICROS_PER_MILLI, false);
    applyDecisions();
    return request;
  }

  /**
   * Delivers the head of a request whose body is still arriving and whose client does not give up;
   * returns its id.
   */
  long startStreamingRequest(String requestClass) {
    long request = ++lastRequestId;
    clientDeadlinesMs.put(request, Long.MAX_VALUE);
    balancer.onRequest(
        nowUs(), request, null, requestClass, DEFAULT_TIMEOUT_MS * MICROS_PER_MILLI, false);
    receiveBody(request, false, true);
    return request;
  }

  /**
   * Delivers a part of a request's body.
   *
   * @param complete whether it is the last part
   * @param replayable whether the whole body could be sent again
   */
  void receiveBody(long request, boolean complete, boolean replayable) {
    balancer.onRequestBody(nowUs(), request, complete, replayable);
    applyDecisions();
  }

  /** Has the response of an attempt begin; its body is still to come. */
  void startResponse(long request, int attemptNumber) {
    balancer.onResponseStarted(nowUs(), request, attemptNumber);
    applyDecisions();
  }

  /** Has the client of a request disconnect. */
  void disconnectClient(long request) {
    balancer.onClientDisconnected(nowUs(), request);
    applyDecisions();
  }

  /** Has an endpoint report how many requests it has in flight. */
  void reportLoad(String endpoint, double load) {
    balancer.onLoadReport(nowUs(), endpoint, load);
  }

  /** Ends the attempt; a success ends its request with it. */
  void endAttempt(SentAttempt attempt, AttemptOutcome outcome) {
    inFlight.remove(attempt);
    outcomes.put(attempt, outcome);
    if (outcome == AttemptOutcome.SUCCEEDED || outcome == AttemptOutcome.CANCELLED) {
      answers.putIfAbsent(attempt.requestId(), ENDPOINT_ANSWER);
    }
    balancer.onAttemptEnded(
        nowUs(),
        attempt.requestId(),
        attempt.number(),
        outcome,
        (nowMs - attempt.sentMs()) * MICROS_PER_MILLI,
        answers.containsKey(attempt.requestId()));
    applyDecisions();
  }

  /** Ends with {@code outcome} every attempt that is in flight now and passes {@code filter}. */
  void endAttempts(Predicate<SentAttempt> filter, AttemptOutcome outcome) {
    inFlight.stream().filter(filter).toList().forEach(attempt -> endAttempt(attempt, outcome));
  }

  /** Has every attempt that is in flight now succeed. */
  void succeedAll() {
    endAttempts(attempt -> true, AttemptOutcome.SUCCEEDED);
  }

  /** Has every attempt succeed that was sent at least {@code latencyMs} ago. */
  void succeedAfter(long latencyMs) {
    endAttempts(attempt -> attempt.sentMs() <= nowMs - latencyMs, AttemptOutcome.SUCCEEDED);
  }

  /** Has the oldest attempt of a request in flight succeed, if there is one. */
  void succeed(long request) {
    inFlight.stream()
        .filter(attempt -> attempt.requestId() == request)
        .findFirst()
        .ifPresent(attempt -> endAttempt(attempt, AttemptOutcome.SUCCEEDED));
  }

  /** Moves the clock on, firing timers, attempt deadlines and clients' deadlines on the way. */
  void advance(long durationMs) {
    long untilMs = nowMs + durationMs;
    while (true) {
      long nextMs = Math.min(earliest(timersMs), earliest(attemptEndsMs()));
      nowMs = Math.min(untilMs, Math.max(nowMs, nextMs));
      if (nextMs > untilMs) {
        return;
      }
      endAttempts(attempt -> attemptEndMs(attempt) <= nowMs, AttemptOutcome.TIMED_OUT);
      timersMs.removeIf(timerMs -> timerMs <= nowMs);
      balancer.onTimer(nowUs());
      applyDecisions();
    }
  }

  private static long earliest(List<Long> timesMs) {
    return timesMs.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
  }

  private List<Long> attemptEndsMs() {
    return inFlight.stream().map(this::attemptEndMs).toList();
  }

  private long attemptEndMs(SentAttempt attempt) {
    long clientDeadlineMs = clientDeadlinesMs.get(attempt.requestId());
    boolean hasDeadline = enforcesAttemptDeadlines && attempt.deadlineMs() > 0;
    return hasDeadline ? Math.min(attempt.deadlineMs(), clientDeadlineMs) : clientDeadlineMs;
  }

  /**
   * Sends one request every {@code intervalMs}, each answered after 20 ms; returns how many
   * attempts each endpoint answered.
   */
  Map<String, Integer> sendAtIntervals(int requests, long intervalMs) {
    Map<String, Integer> answered = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      startRequest("read");
      advance(RESPONSE_TIME_MS);
      for (SentAttempt attempt : List.copyOf(inFlight)) {
        answered.merge(attempt.endpoint(), 1, Integer::sum);
        endAttempt(attempt, AttemptOutcome.SUCCEEDED);
      }
      advance(intervalMs - RESPONSE_TIME_MS);
    }
    return answered;
  }

  /**
   * Sends requests one after the other, each answered after 20 ms; returns how many attempts went
   * to {@code endpoint}.
   */
  long sendSequentially(int requests, String endpoint) {
    int before = sentAttempts.size();
    for (int i = 0; i < requests; i++) {
      long request = startRequest("read");
      advance(RESPONSE_TIME_MS);
      succeed(request);
    }
    return countSentTo(endpoint, before);
  }

  /**
   * Sends requests two at a time, both answered after 20 ms; returns how many attempts went to
   * {@code endpoint}.
   */
  long sendPairs(int pairs, String endpoint) {
    int before = sentAttempts.size();
    for (int i = 0; i < pairs; i++) {
      List<Long> pair = List.of(startRequest("read"), startRequest("read"));
      advance(RESPONSE_TIME_MS);
      endAttempts(attempt -> pair.contains(attempt.requestId()), AttemptOutcome.SUCCEEDED);
    }
    return countSentTo(endpoint, before);
  }

  private long countSentTo(String endpoint, int from) {
    return sentAttempts.subList(from, sentAttempts.size()).stream()
        .filter(attempt -> attempt.endpoint().equals(endpoint))
        .count();
  }

  private long nowUs() {
    return nowMs * MICROS_PER_MILLI;
  }

  private void applyDecisions() {
    Decision next = balancer.next();
    while (next != null) {
      next.accept(this);
      next = balancer.next();
    }
    while (!cancelled.isEmpty()) {
      endAttempt(cancelled.remove(0), AttemptOutcome.CANCELLED);
    }
  }
}
