package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers which endpoint of those in use gets an attempt; see {@link EndpointPicker}. */
class EndpointPickerTest {
  private static final int SLOW_MS = 100;
  private static final int FAST_MS = 20;

  /** Sends one request, which "a" answers slowly and "b" fast; returns whether "a" got it. */
  private static boolean answerOneRequest(BalancerFixture fixture) {
    SentAttempt attempt = fixture.lastAttemptOf(fixture.startRequest("read"));
    boolean isSlow = attempt.endpoint().equals("a");
    fixture.advance(isSlow ? SLOW_MS : FAST_MS);
    fixture.endAttempt(attempt, AttemptOutcome.SUCCEEDED);
    return isSlow;
  }

  @Test
  void prefersEndpointWithLowerLatency() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");

    int toSlow = 0;
    int toFast = 0;
    for (int i = 0; i < 200; i++) {
      if (answerOneRequest(fixture)) {
        toSlow++;
      } else {
        toFast++;
      }
    }

    assertTrue(toFast > 2 * toSlow, toSlow + " to the slow endpoint, " + toFast + " to the fast");
  }

  /**
   * If the same endpoint could be drawn twice, a quarter of the requests would go to the slow one.
   */
  @Test
  void comparesTwoDifferentEndpoints() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    for (int i = 0; i < 100; i++) {
      answerOneRequest(fixture);
    }

    int toSlow = 0;
    for (int i = 0; i < 200; i++) {
      toSlow += answerOneRequest(fixture) ? 1 : 0;
    }

    assertTrue(toSlow < 20, toSlow + " of 200");
  }

  /** Load reports show what a sidecar with few requests of its own can't measure. */
  @Test
  void prefersEndpointThatReportsLessLoad() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    fixture.sendSequentially(20, "a");

    for (int i = 0; i < 30; i++) {
      fixture.reportLoad("a", 30);
      fixture.reportLoad("b", 3);
    }
    assertTrue(fixture.sendPairs(100, "a") < 20);

    for (int i = 0; i < 60; i++) {
      fixture.reportLoad("a", 3);
      fixture.reportLoad("b", 3);
    }
    assertTrue(fixture.sendPairs(100, "a") > 50, "its reported load has fallen");
    fixture.reportLoad("unknown", 5);
  }

  /**
   * The overloaded endpoint never succeeds, and its high latency ratio must not be forgotten
   * between attempts.
   */
  @Test
  void avoidsEndpointThatIsAlwaysOverloaded() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b", "c");
    fixture.sendAtIntervals(30, 250);

    for (int i = 0; i < 240; i++) {
      fixture.startRequest("read");
      fixture.advance(20);
      fixture.endAttempts(attempt -> attempt.endpoint().equals("a"), AttemptOutcome.OVERLOADED);
      fixture.advance(20);
      fixture.succeedAll();
      fixture.advance(210);
    }

    long toOverloaded =
        fixture.sentAttempts.stream()
            .filter(attempt -> attempt.endpoint().equals("a"))
            .filter(attempt -> attempt.sentMs() > fixture.nowMs - 30_000)
            .count();
    assertTrue(toOverloaded <= 8, "attempts in half a minute: " + toOverloaded);
  }

  /** Weights reach all sidecars late, so one low weight must not divert all of them. */
  @Test
  void followsDynamicWeightsOnlyWhenTheyLast() {
    int before = 0;
    int afterOneUpdate = 0;
    int afterManyUpdates = 0;

    for (int seed = 0; seed < 20; seed++) {
      SettingsBuilder settings = new SettingsBuilder().instance("east", seed, 3);
      BalancerFixture fixture = new BalancerFixture(settings);
      fixture.applySettings(fixture.newSettings().dynamicWeights(true));
      fixture.updateEndpoints(true, "a", "b");
      fixture.sendSequentially(20, "b");
      before += (int) fixture.sendSequentially(20, "b");
      for (int update = 0; update < 30; update++) {
        fixture.updateEndpoints(false, "b:UP:1:east:0:0.2");
        afterOneUpdate += update == 0 ? (int) fixture.sendSequentially(20, "b") : 0;
      }
      afterManyUpdates += (int) fixture.sendSequentially(20, "b");
    }

    assertTrue(afterOneUpdate > 0.25 * before, afterOneUpdate + " after one, before " + before);
    assertTrue(afterManyUpdates < 0.25 * before, afterManyUpdates + " after 30, before " + before);
  }

  @ParameterizedTest
  @ValueSource(strings = {"a:DRAINING", "a:REMOVED"})
  void doesNotPickDrainingOrRemovedEndpoints(String update) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    assertTrue(fixture.sendSequentially(40, "a") > 0);

    fixture.updateEndpoints(false, update);
    assertEquals(0, fixture.sendSequentially(40, "a"));

    fixture.updateEndpoints(true, "c"); // removes "a" and "b", which the list does not name
    assertEquals(0, fixture.sendSequentially(40, "a") + fixture.sendSequentially(40, "b"));
  }

  @Test
  void decidesTheSameForTheSameSeed() {
    List<List<SentAttempt>> sent = new ArrayList<>();
    for (int instanceIndex : new int[] {4, 4, 5}) {
      BalancerFixture fixture =
          BalancerFixture.inFleet(50, instanceIndex, TestEndpoints.inThreeZones(40));
      assertFalse(fixture.sendAtIntervals(50, 100).isEmpty());
      sent.add(fixture.sentAttempts);
    }

    assertEquals(sent.get(0), sent.get(1));
    assertNotEquals(sent.get(0), sent.get(2));
  }
}
