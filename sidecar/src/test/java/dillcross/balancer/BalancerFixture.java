package dillcross.balancer;

import dillcross.model.*;
import dillcross.model.Endpoint.Health;
import java.util.*;
import java.util.function.Predicate;

/** One sidecar under test: keeps its clock in milliseconds, its wakes, and what it has out. */
final class BalancerFixture implements Decision.Handler {
  static final SlowStartPolicy SLOW_START = new SlowStartPolicy(0.3, 8_000_000, 3, 1_500_000);
  static final RetryPolicy RETRIES = new RetryPolicy(4, true, true);

  static final List<RequestClass> REQUEST_CLASSES =
      List.of(
          requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
          requestClass("cell", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL),
          requestClass("zone", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE),
          requestClass("any", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL),
          requestClass("once", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));

  /** Stands for an answer of the endpoint, or for a client that has disconnected. */
  static final Decision ENDPOINT_ANSWER = new Decision.Fail(-1);

  /** What became of a request. */
  enum NextStep {
    SEND,
    REJECT,
    FAIL,
    NONE
  }

  /**
   * An attempt as the load balancer sent it; {@code untilMs} is 0 where it has no deadline of its
   * own.
   */
  record SentAttempt(long requestId, int number, String endpoint, long atMs, long untilMs) {}

  final LoadBalancer balancer;
  private final String zone;
  private final int instanceIndex;
  private final int instances;
  final List<SentAttempt> inFlight = new ArrayList<>();
  final List<SentAttempt> sent = new ArrayList<>();
  final Map<Long, Decision> answers = new HashMap<>();
  final List<Long> watches = new ArrayList<>();
  final List<String> released = new ArrayList<>();
  final Map<Long, Long> clientDeadlines =
      new HashMap<>(); // when the client gives up, which ends what is out
  final Map<SentAttempt, AttemptOutcome> outcomes = new HashMap<>();
  final Map<Long, Integer> attempts = new HashMap<>();
  private final List<Long> timers = new ArrayList<>();
  long nowMs = 1_000_000;
  boolean honoursAttemptDeadlines; // keeps those that the load balancer asks for
  private final List<SentAttempt> cancelled = new ArrayList<>();
  private long lastRequest = 100;

  BalancerFixture(RetryPolicy retry, boolean pollRequired, Tenant... tenants) {
    this(retry, pollRequired, "east", 0, 3, tenants);
  }

  BalancerFixture(
      RetryPolicy retry,
      boolean pollRequired,
      String zone,
      int instanceIndex,
      int instances,
      Tenant... tenants) {
    this(retry, pollRequired, false, zone, instanceIndex, instances, tenants);
  }

  BalancerFixture(
      RetryPolicy retry,
      boolean pollRequired,
      boolean keepRemoved,
      String zone,
      int instanceIndex,
      int instances,
      Tenant... tenants) {
    this(
        new ServiceObjective(0, 0),
        REQUEST_CLASSES,
        retry,
        pollRequired,
        keepRemoved,
        zone,
        instanceIndex,
        instances,
        tenants);
  }

  BalancerFixture(
      ServiceObjective objective,
      List<RequestClass> requestClasses,
      RetryPolicy retry,
      boolean pollRequired,
      boolean keepRemoved,
      String zone,
      int instanceIndex,
      int instances,
      Tenant... tenants) {
    this.zone = zone;
    this.instanceIndex = instanceIndex;
    this.instances = instances;
    DiscoveryPolicy discovery = new DiscoveryPolicy(pollRequired, 10_000_000, keepRemoved, false);
    balancer =
        new LoadBalancer(
            7 + instanceIndex,
            new BalancerSettings(
                zone,
                instanceIndex,
                instances,
                requestClasses,
                List.of(tenants),
                SLOW_START,
                retry,
                false,
                discovery,
                1_000_000,
                0.03,
                objective));
  }

  /** One of many in a large fleet, its zone one of three. */
  static BalancerFixture oneOf(int instances, int instanceIndex, String... endpoints) {
    BalancerFixture s =
        new BalancerFixture(
            RETRIES,
            false,
            List.of("east", "west", "north").get(instanceIndex % 3),
            instanceIndex,
            instances);
    s.updateList(true, endpoints);
    return s;
  }

  static BalancerFixture withEndpoints(String... endpoints) {
    BalancerFixture s = new BalancerFixture(RETRIES, false);
    s.updateList(true, endpoints);
    return s;
  }

  /** New settings for one that runs. */
  void applySettings(RetryPolicy retry, boolean dynamicWeights, List<RequestClass> requestClasses) {
    DiscoveryPolicy discovery = new DiscoveryPolicy(false, 10_000_000, false, dynamicWeights);
    balancer.applySettings(
        nowMs * 1000,
        new BalancerSettings(
            zone,
            instanceIndex,
            instances,
            requestClasses,
            List.of(),
            SLOW_START,
            retry,
            false,
            discovery,
            1_000_000,
            0.03,
            new ServiceObjective(0, 0)));
    pull();
  }

  static RequestClass requestClass(String name, Idempotency idempotency, DeduplicationScope scope) {
    return new RequestClass(name, idempotency, scope, 1_000_000, 400_000, 1, 1);
  }

  /** Endpoints as {@code id:health:cell:zone:startedMs:weight}, all but the id optional. */
  void updateList(boolean complete, String... endpoints) {
    List<Endpoint> entries = new ArrayList<>();
    for (String text : endpoints) {
      String[] p = text.split(":");
      entries.add(
          new Endpoint(
              p[0],
              p.length > 1 ? Health.valueOf(p[1]) : Health.UP,
              p.length > 4 ? Long.parseLong(p[4]) * 1000 : 0,
              p.length > 2 ? Integer.parseInt(p[2]) : 1,
              p.length > 3 ? p[3] : "east",
              p.length > 5 ? Double.parseDouble(p[5]) : 1));
    }
    balancer.onEndpointList(nowMs * 1000, complete, entries);
    pull();
  }

  long arrive(String requestClass) {
    return arrive(requestClass, null, 2000);
  }

  long arrive(String requestClass, String tenant, long timeoutMs) {
    long request = ++lastRequest;
    clientDeadlines.put(request, nowMs + timeoutMs);
    balancer.onRequest(nowMs * 1000, request, tenant, requestClass, timeoutMs * 1000, false);
    pull();
    return request;
  }

  /** A request whose content still comes, so that its client's time has not begun. */
  long arriveWithoutBody(String requestClass) {
    long request = ++lastRequest;
    clientDeadlines.put(request, Long.MAX_VALUE);
    balancer.onRequest(nowMs * 1000, request, null, requestClass, 2_000_000, false);
    body(request, false, true);
    return request;
  }

  void body(long request, boolean complete, boolean replayable) {
    balancer.onRequestBody(nowMs * 1000, request, complete, replayable);
    pull();
  }

  /** Ends the attempt; a success ends its request with it. */
  void endAttempt(SentAttempt attempt, AttemptOutcome outcome) {
    inFlight.remove(attempt);
    outcomes.put(attempt, outcome);
    if (outcome == AttemptOutcome.SUCCEEDED || outcome == AttemptOutcome.CANCELLED) {
      answers.putIfAbsent(attempt.requestId(), ENDPOINT_ANSWER);
    }
    balancer.onAttemptEnded(
        nowMs * 1000,
        attempt.requestId(),
        attempt.number(),
        outcome,
        (nowMs - attempt.atMs()) * 1000,
        answers.containsKey(attempt.requestId()));
    pull();
  }

  /** Ends every such attempt that is out now. */
  void endAttempts(Predicate<SentAttempt> which, AttemptOutcome outcome) {
    inFlight.stream().filter(which).toList().forEach(p -> endAttempt(p, outcome));
  }

  /** How the request was answered by the load balancer; NONE where it was not. */
  NextStep nextStep(long request) {
    Decision answer = answers.get(request);
    if (answer instanceof Decision.Reject) {
      return NextStep.REJECT;
    }
    return answer instanceof Decision.Fail ? NextStep.FAIL : NextStep.NONE;
  }

  /** How many of the requests were rejected. */
  long countRejected(Collection<Long> requests) {
    return requests.stream().filter(request -> nextStep(request) == NextStep.REJECT).count();
  }

  SentAttempt lastAttemptOf(long request) {
    return inFlight.stream()
        .filter(p -> p.requestId() == request)
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  /** When its attempt time-out comes, or its client gives up. */
  private long outcomes(SentAttempt attempt) {
    return honoursAttemptDeadlines && attempt.untilMs() > 0
        ? Math.min(attempt.untilMs(), clientDeadlines.get(attempt.requestId()))
        : clientDeadlines.get(attempt.requestId());
  }

  /** Moves the clock on, waking the load balancer where it asked for it. */
  void pass(long ms) {
    long until = nowMs + ms;
    while (true) {
      long next =
          Math.min(
              timers.stream().mapToLong(w -> w).min().orElse(Long.MAX_VALUE),
              inFlight.stream().mapToLong(this::outcomes).min().orElse(Long.MAX_VALUE));
      nowMs = Math.min(until, Math.max(nowMs, next));
      if (next > until) {
        return;
      }
      endAttempts(p -> outcomes(p) <= nowMs, AttemptOutcome.TIMED_OUT);
      timers.removeIf(w -> w <= nowMs);
      balancer.onTimer(nowMs * 1000);
      pull();
    }
  }

  /**
   * One request every so often, each answered 20 ms later; the endpoints that got one, with how
   * many.
   */
  Map<String, Integer> thinTraffic(int requests, long everyMs) {
    Map<String, Integer> got = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      arrive("read");
      pass(20);
      for (SentAttempt p : List.copyOf(inFlight)) {
        got.merge(p.endpoint(), 1, Integer::sum);
        endAttempt(p, AttemptOutcome.SUCCEEDED);
      }
      pass(everyMs - 20);
    }
    return got;
  }

  /**
   * Sends requests that are each answered after a while; returns how many attempts the endpoint
   * got.
   */
  long traffic(int requests, String endpoint) {
    int from = sent.size();
    for (int i = 0; i < requests; i++) {
      long request = arrive("read");
      pass(20);
      inFlight.stream()
          .filter(p -> p.requestId() == request)
          .findFirst()
          .ifPresent(p -> endAttempt(p, AttemptOutcome.SUCCEEDED));
    }
    return sent.subList(from, sent.size()).stream()
        .filter(p -> p.endpoint().equals(endpoint))
        .count();
  }

  /**
   * Sends requests two at a time, both answered after a while; returns how many attempts the
   * endpoint got.
   */
  long pairTraffic(int pairTraffic, String endpoint) {
    int from = sent.size();
    for (int i = 0; i < pairTraffic; i++) {
      List<Long> two = List.of(arrive("read"), arrive("read"));
      pass(20);
      endAttempts(p -> two.contains(p.requestId()), AttemptOutcome.SUCCEEDED);
    }
    return sent.subList(from, sent.size()).stream()
        .filter(p -> p.endpoint().equals(endpoint))
        .count();
  }

  /** Takes every decision that is ready. */
  void pull() {
    Decision next = balancer.next();
    while (next != null) {
      next.accept(this);
      next = balancer.next();
    }
    while (!cancelled.isEmpty()) {
      endAttempt(cancelled.remove(0), AttemptOutcome.CANCELLED);
    }
  }

  @Override
  public void onSendAttempt(Decision.SendAttempt decision) {
    long requestId = decision.requestId();
    int number = attempts.merge(requestId, 1, Integer::sum) - 1;
    SentAttempt attempt =
        new SentAttempt(
            requestId, number, decision.endpoint(), nowMs, decision.deadlineUs() / 1000);
    inFlight.add(attempt);
    sent.add(attempt);
  }

  @Override
  public void onReject(Decision.Reject decision) {
    answer(decision.requestId(), decision);
  }

  @Override
  public void onFail(Decision.Fail decision) {
    answer(decision.requestId(), decision);
  }

  private void answer(long requestId, Decision answer) {
    if (answers.put(requestId, answer) != null) {
      throw new AssertionError("answered twice: " + answer);
    }
  }

  @Override
  public void onCancelAttempt(Decision.CancelAttempt decision) {
    inFlight.stream()
        .filter(a -> a.requestId() == decision.requestId() && a.number() == decision.attempt())
        .forEach(cancelled::add);
  }

  @Override
  public void onReleaseConnections(Decision.ReleaseConnections decision) {
    released.add(decision.endpoint());
  }

  @Override
  public void onWatchEndpoints(Decision.WatchEndpoints decision) {
    watches.add(nowMs);
  }

  @Override
  public void onScheduleTimer(Decision.ScheduleTimer decision) {
    timers.add(nowMs + (decision.delayUs() + 999) / 1000);
  }
}
