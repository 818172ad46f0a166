package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.AttemptOutcome;
import dillcross.model.Decision;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers the limit on attempts in flight and which requests are rejected for it; see {@link
 * AdmissionControl}.
 */
class AdmissionControlTest {
  private static final int INTERVAL_MS = 250;

  @ParameterizedTest
  @ValueSource(strings = {"read", "once"})
  void limitsAttemptsToFleetThatDoesNotRespond(String requestClass) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b", "c");
    int warmUpRequests = 100;
    fixture.sendSequentially(warmUpRequests, "a");

    List<Long> requests = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      requests.add(fixture.startRequest(requestClass));
      fixture.advance(5);
    }

    int attempts = fixture.sentAttempts.size() - warmUpRequests;
    assertTrue(fixture.inFlight.size() <= 12, "in flight " + fixture.inFlight.size());
    assertTrue(attempts < 60, "attempts " + attempts);
    long rejected =
        requests.stream()
            .filter(
                request ->
                    fixture.answers.get(request) instanceof Decision.Reject rejection
                        && rejection.retryAfterUs() > 0)
            .count();
    assertTrue(rejected > 200, "rejected " + rejected);
  }

  /** Without a limit, 80 or more attempts would be in flight. */
  @Test
  void lowersLimitAsResponsesSlowDown() {
    BalancerFixture fixture = BalancerFixture.withEndpoints(TestEndpoints.inOneZone(20));
    fixture.sendSequentially(200, "e0");

    int maxInFlight = 0;
    for (int i = 0; i < 800; i++) {
      fixture.startRequest("read");
      fixture.advance(5);
      fixture.succeedAfter(400);
      maxInFlight = i < 400 ? 0 : Math.max(maxInFlight, fixture.inFlight.size());
    }

    assertTrue(maxInFlight < 40, "in flight " + maxInFlight);
  }

  /** With four requests per second that arrive at random, hardly any may be rejected. */
  @Test
  void admitsLightTrafficToIdleFleet() {
    BalancerFixture fixture = BalancerFixture.inFleet(400, 5, TestEndpoints.inThreeZones(30));
    Random random = new Random(3);
    int stepMs = 10;

    for (int requests = 0; requests < 300; requests++) {
      fixture.startRequest("read");
      long untilNextMs = (long) (-INTERVAL_MS * Math.log(1 - random.nextDouble()));
      for (long remainingMs = untilNextMs; remainingMs >= 0; remainingMs -= stepMs) {
        fixture.advance(Math.min(stepMs, remainingMs));
        fixture.succeedAfter(80);
      }
    }

    long rejected = fixture.countRejected();
    assertTrue(rejected < 6, "rejected " + rejected);
  }

  /**
   * A request class that misses its objective at every endpoint says nothing about their capacity.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void doesNotLowerLimitForOneSlowClass(boolean othersAreSlow) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    int fastMs = 40;
    int slowMs = 600; // later than the latency objective of 400 ms
    for (int i = 0; i < 100; i++) {
      fixture.startRequest("read");
      fixture.startRequest("any");
      fixture.advance(fastMs);
      fixture.succeedAll();
    }

    Set<Long> slowRequests = new HashSet<>();
    Set<Long> otherRequests = new HashSet<>();
    for (int i = 0; i < 800; i++) {
      if (i % 3 == 0) {
        slowRequests.add(fixture.startRequest("read"));
      }
      long other = fixture.startRequest("any");
      fixture.advance(fastMs);
      long nowMs = fixture.nowMs;
      fixture.endAttempts(
          attempt -> {
            boolean hadToWait = otherRequests.contains(attempt.requestId());
            boolean isSlow =
                othersAreSlow || hadToWait || slowRequests.contains(attempt.requestId());
            return nowMs - attempt.sentMs() >= (isSlow ? slowMs : fastMs);
          },
          AttemptOutcome.SUCCEEDED);
      otherRequests.add(other);
    }

    long rejected = fixture.countRejected(otherRequests);
    assertEquals(othersAreSlow, rejected > 100, "rejected " + rejected);
  }

  /**
   * Attempts on connections without responses must not count against the limit until their
   * deadlines.
   */
  @Test
  void doesNotCountAttemptsOnUnresponsiveConnections() {
    BalancerFixture fixture = BalancerFixture.inFleet(1, 0, TestEndpoints.inOneZone(10));

    Set<Long> withoutResponse = new HashSet<>();
    for (int i = 0; i < 1500; i++) {
      boolean isUnresponsive = i > 500 && i % 20 == 0;
      // Requests of class "once" are not idempotent, so they are not hedged.
      long request = fixture.startRequest(isUnresponsive ? "once" : "read");
      if (isUnresponsive) {
        withoutResponse.add(request);
      }
      fixture.advance(5);
      fixture.endAttempts(
          attempt ->
              attempt.sentMs() <= fixture.nowMs - 20
                  && !withoutResponse.contains(attempt.requestId()),
          AttemptOutcome.SUCCEEDED);
    }

    assertEquals(0, fixture.countRejected());
  }

  /** Requests are not rejected if one in six hangs, but they are if all do. */
  @ParameterizedTest
  @CsvSource({"6, false", "1, true"})
  void doesNotRejectBecauseFewRequestsHang(int hangingPeriod, boolean rejects) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b", "c", "d", "e", "f");
    for (int i = 0; i < 200; i++) {
      fixture.startRequest("read");
      fixture.advance(20);
      fixture.succeedAll();
    }

    Set<Long> hanging = new HashSet<>();
    List<Long> requests = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      long request = fixture.startRequest("read");
      requests.add(request);
      if (i % hangingPeriod == 0) {
        hanging.add(request);
      }
      fixture.advance(5);
      long nowMs = fixture.nowMs;
      fixture.endAttempts(
          attempt -> nowMs - attempt.sentMs() >= (hanging.contains(attempt.requestId()) ? 390 : 30),
          AttemptOutcome.SUCCEEDED);
    }

    long rejected = fixture.countRejected(requests);
    assertEquals(rejects, rejected > 100, "rejected " + rejected);
  }

  /**
   * If all endpoints of the subset but one are slow, fewer than a tenth of the requests is
   * rejected.
   */
  @Test
  void doesNotRejectBecauseOfSlowEndpoints() {
    BalancerFixture fixture = BalancerFixture.inFleet(300, 0, TestEndpoints.inThreeZones(30));
    fixture.sendAtIntervals(60, INTERVAL_MS);
    List<String> used =
        fixture.sendAtIntervals(40, INTERVAL_MS).keySet().stream().sorted().toList();
    Random random = new Random(5);
    int stepMs = 20;
    int requests = 600;

    for (int i = 0; i < requests; i++) {
      fixture.startRequest("once");
      double untilNextMs = -200 * Math.log(1 - random.nextDouble());
      for (double remainingMs = untilNextMs; remainingMs >= 0; remainingMs -= stepMs) {
        fixture.advance(stepMs);
        fixture.endAttempts(
            attempt -> {
              boolean isFast = used.indexOf(attempt.endpoint()) == 0;
              return attempt.sentMs() <= fixture.nowMs - (isFast ? 20 : 380);
            },
            AttemptOutcome.SUCCEEDED);
      }
    }

    long rejected = fixture.countRejected();
    assertTrue(rejected < 0.1 * requests, "rejected " + rejected + " of " + requests);
  }
}
