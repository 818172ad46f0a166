package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers how many requests a starting endpoint gets until it has warmed up; see {@link SlowStart}.
 */
class SlowStartTest {
  private static final int WINDOW_MS = 1500;
  private static final double WINDOW_S = 1.5;
  private static final double WARM_UP_S = 8;
  private static final double INITIAL_CAPACITY_SHARE = 0.3;
  private static final double OVERLOAD_MULTIPLE = 3;
  private static final double REQUESTS_PER_SECOND = 4;

  private static long countInFlightToNew(BalancerFixture fixture) {
    return fixture.inFlight.stream().filter(attempt -> attempt.endpoint().equals("new")).count();
  }

  @Test
  void sendsOneRequestAtATimeUntilNewEndpointResponds() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    fixture.sendSequentially(100, "a");

    fixture.updateEndpoints(false, "new:UP:1:east:" + fixture.nowMs);
    for (int i = 0; i < 12; i++) {
      fixture.startRequest("read");
    }
    assertEquals(1, countInFlightToNew(fixture));

    fixture.endAttempts(attempt -> attempt.endpoint().equals("new"), AttemptOutcome.TIMED_OUT);
    long afterTimeout = 0;
    for (SentAttempt attempt : List.copyOf(fixture.inFlight)) {
      fixture.endAttempt(attempt, AttemptOutcome.SUCCEEDED);
      fixture.startRequest("read");
      afterTimeout = countInFlightToNew(fixture);
    }
    assertTrue(afterTimeout <= 1, "a timed-out attempt still counts: " + afterTimeout);

    while (!fixture.inFlight.isEmpty()) {
      fixture.endAttempt(fixture.inFlight.get(0), AttemptOutcome.SUCCEEDED);
    }
    fixture.advance(9000);
    assertTrue(fixture.sendSequentially(120, "new") > 10, "it has warmed up");
  }

  /**
   * Each sidecar's share is less than one request, so a minimum of one per sidecar would add up.
   */
  @ParameterizedTest
  @ValueSource(ints = {100, 300, 500})
  void allSidecarsTogetherStayBelowOverloadMultiple(int sidecars) {
    Map<Long, Integer> sentByWindow = new TreeMap<>();
    int sent = 0;
    for (int index = 0; index < sidecars; index++) {
      BalancerFixture fixture =
          BalancerFixture.inFleet(sidecars, index, TestEndpoints.inThreeZones(30));
      fixture.sendAtIntervals(20, 250);
      long startMs = fixture.nowMs;
      String zone = TestEndpoints.zoneOf(index);
      fixture.updateEndpoints(false, "new:UP:99:" + zone + ":" + startMs);
      fixture.sendAtIntervals(24, 250);
      for (SentAttempt attempt : fixture.sentAttempts) {
        if (attempt.endpoint().equals("new")) {
          sentByWindow.merge((attempt.sentMs() - startMs) / WINDOW_MS, 1, Integer::sum);
          sent++;
        }
      }
    }

    // 31 endpoints share the requests: 30 warm ones and the new one.
    double overloadPerWindow = REQUESTS_PER_SECOND * sidecars / 31 * WINDOW_S * OVERLOAD_MULTIPLE;
    sentByWindow.forEach(
        (window, count) -> {
          double capacityGain = (1 - INITIAL_CAPACITY_SHARE) * window * WINDOW_S / WARM_UP_S;
          double limit = overloadPerWindow * (INITIAL_CAPACITY_SHARE + capacityGain) + 3;
          assertTrue(
              count <= limit,
              "sent by window " + sentByWindow + ", full overload " + overloadPerWindow);
        });
    assertTrue(sent > 0);
  }
}
