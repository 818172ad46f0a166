package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointPickerTest {
  /** The faster of two endpoints gets most of the traffic. */
  @Test
  void picksByLatency() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    int[] got = new int[2];
    for (int i = 0; i < 200; i++) {
      SentAttempt p = s.lastAttemptOf(s.arrive("read"));
      s.pass(p.endpoint().equals("a") ? 100 : 20);
      s.endAttempt(p, AttemptOutcome.SUCCEEDED);
      got[p.endpoint().equals("a") ? 0 : 1]++;
    }
    assertTrue(got[1] > 2 * got[0], got[0] + " " + got[1]);
  }

  /**
   * Of two in use one drawn twice was no choice: a quarter of the requests went to the slow one,
   * whatever was known of it.
   */
  @Test
  void drawsTwoDifferentOnes() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    int slow = 0;
    for (int i = 0; i < 300; i++) {
      SentAttempt p = s.lastAttemptOf(s.arrive("read"));
      s.pass(p.endpoint().equals("a") ? 100 : 20);
      s.endAttempt(p, AttemptOutcome.SUCCEEDED);
      slow += i >= 100 && p.endpoint().equals("a") ? 1 : 0;
    }
    assertTrue(slow < 20, slow + " of 200");
  }

  /**
   * A crowded endpoint is passed over by sidecars whose own few requests could not tell; for a
   * while only.
   */
  @Test
  void endpointsThatReportMuchLoadArePickedLess() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(20, "a");
    for (int i = 0; i < 30; i++) {
      s.balancer.onLoadReport(s.nowMs * 1000, "a", 30);
      s.balancer.onLoadReport(s.nowMs * 1000, "b", 3);
    }
    assertTrue(s.pairTraffic(100, "a") < 20);
    for (int i = 0; i < 60; i++) {
      s.balancer.onLoadReport(s.nowMs * 1000, "a", 3);
      s.balancer.onLoadReport(s.nowMs * 1000, "b", 3);
    }
    assertTrue(s.pairTraffic(100, "a") > 50, "it says that it is free again");
    s.balancer.onLoadReport(s.nowMs * 1000, "unknown", 5);
  }

  /**
   * What only turns away is let be for longer and longer: it never acks, and its latency must not
   * be forgotten.
   */
  @Test
  void aJammedEndpointIsLetBe() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b", "c");
    s.thinTraffic(30, 250);
    for (int i = 0; i < 240; i++) {
      s.arrive("read");
      s.pass(20);
      s.endAttempts(p -> p.endpoint().equals("a"), AttemptOutcome.OVERLOADED);
      s.pass(20);
      s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
      s.pass(210);
    }
    long lost =
        s.sent.stream()
            .filter(p -> p.endpoint().equals("a") && p.atMs() > s.nowMs - 30_000)
            .count();
    assertTrue(lost <= 8, "pushed to it in half a minute: " + lost);
  }

  /**
   * All sidecars see the same late weights: low once must not turn them all away, low for long
   * must.
   */
  @Test
  void dynamicWeightsCountInTheLongRun() {
    int[] got = new int[3];
    for (int seed = 0; seed < 20; seed++) {
      BalancerFixture s = new BalancerFixture(BalancerFixture.RETRIES, false, "east", seed, 3);
      s.applySettings(BalancerFixture.RETRIES, true, BalancerFixture.REQUEST_CLASSES);
      s.updateList(true, "a", "b");
      s.traffic(20, "b");
      got[0] += (int) s.traffic(20, "b");
      for (int renewals = 0; renewals < 30; renewals++) {
        s.updateList(false, "b:UP:1:east:0:0.2");
        got[1] += renewals == 0 ? (int) s.traffic(20, "b") : 0;
      }
      got[2] += (int) s.traffic(20, "b");
    }
    assertTrue(got[1] > 0.25 * got[0], "once: " + Arrays.toString(got));
    assertTrue(got[2] < 0.25 * got[0], "for long: " + Arrays.toString(got));
  }

  @ParameterizedTest
  @ValueSource(strings = {"a:DRAINING", "a:REMOVED"})
  void drainingEndpointsGetNothing(String news) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    assertTrue(s.traffic(40, "a") > 0);
    s.updateList(false, news);
    assertEquals(0, s.traffic(40, "a"));
    s.updateList(true, "c"); // a and b are not named: gone
    assertEquals(0, s.traffic(40, "a") + s.traffic(40, "b"));
  }

  @Test
  void theSameSeedDecidesTheSame() {
    List<List<SentAttempt>> sent =
        IntStream.of(4, 4, 5)
            .mapToObj(me -> BalancerFixture.oneOf(50, me, TestEndpoints.fleet(40, "UP")))
            .map(s -> s.thinTraffic(50, 100).isEmpty() ? null : s.sent)
            .toList();
    assertEquals(sent.get(0), sent.get(1));
    assertNotEquals(sent.get(0), sent.get(2));
  }
}
