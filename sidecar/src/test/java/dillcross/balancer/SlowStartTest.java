package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SlowStartTest {
  /**
   * A fresh endpoint has one request in flight until it answers, and never more than its window
   * allows.
   */
  @Test
  void slowStartIsNotOverrun() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(100, "a");
    s.updateList(false, "new:UP:1:east:" + s.nowMs);
    for (int i = 0; i < 12; i++) {
      s.arrive("read");
    }
    assertEquals(1, s.inFlight.stream().filter(p -> p.endpoint().equals("new")).count());
    s.endAttempts(p -> p.endpoint().equals("new"), AttemptOutcome.TIMED_OUT);
    long sent = 0;
    for (SentAttempt p : List.copyOf(s.inFlight)) {
      s.endAttempt(p, AttemptOutcome.SUCCEEDED);
      s.arrive("read");
      sent = s.inFlight.stream().filter(q -> q.endpoint().equals("new")).count();
    }
    assertTrue(sent <= 1, "a push that timed out still weighs on it: " + sent);
    while (!s.inFlight.isEmpty()) {
      s.endAttempt(s.inFlight.get(0), AttemptOutcome.SUCCEEDED);
    }
    s.pass(9000);
    assertTrue(s.traffic(120, "new") > 10);
  }

  /**
   * Floors of an attempt a sidecar add up: all together stay within the warming up rule, and still
   * warm the endpoint.
   */
  @ParameterizedTest
  @ValueSource(ints = {100, 300, 500})
  void allSidecarsTogetherKeepTheWarmingUpRule(int sidecars) {
    Map<Long, Integer> windows = new TreeMap<>();
    int sent = 0;
    for (int me = 0; me < sidecars; me++) {
      BalancerFixture s = BalancerFixture.oneOf(sidecars, me, TestEndpoints.fleet(30, "UP"));
      s.thinTraffic(20, 250);
      long from = s.nowMs;
      s.updateList(false, "new:UP:99:" + List.of("east", "west", "north").get(me % 3) + ":" + from);
      s.thinTraffic(24, 250);
      for (SentAttempt p : s.sent) {
        if (p.endpoint().equals("new")) {
          windows.merge((p.atMs() - from) / 1500, 1, Integer::sum);
          sent++;
        }
      }
    }
    double perWindow =
        4.0 * sidecars / 31 * 1.5 * 3; // of a warm endpoint's usual part, times the multiple
    windows.forEach(
        (w, n) ->
            assertTrue(
                n <= perWindow * (0.3 + 0.7 * w * 1.5 / 8) + 3, windows + " of " + perWindow));
    assertTrue(sent > 0);
  }
}
