package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.AttemptOutcome;
import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.Tenant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RequestRankingTest {
  /**
   * Where two tenants have like quotas and one floods, the other's requests are the ones that get
   * through.
   */
  @Test
  void aTenantsBurstWaitsBehindTheOthers() {
    BalancerFixture s =
        new BalancerFixture(
            BalancerFixture.RETRIES, false, new Tenant("loud", 50), new Tenant("calm", 50));
    s.updateList(true, "a", "b");
    int[] arrived = new int[2];
    int[] sent = new int[2];
    Map<Long, Integer> whose = new HashMap<>();
    for (int i = 0; i < 2000; i++) {
      int who = i % 8 == 0 ? 1 : 0;
      whose.put(s.arrive("read", who == 1 ? "calm" : "loud", 2000), who);
      arrived[who]++;
      s.pass(5);
      if (i % 4 == 2) {
        s.inFlight.stream()
            .filter(p -> p.atMs() < s.nowMs - 40)
            .findFirst()
            .ifPresent(p -> s.endAttempt(p, AttemptOutcome.SUCCEEDED));
      }
    }
    s.attempts.keySet().forEach(request -> sent[whose.get(request)]++);
    assertTrue(
        (double) sent[1] / arrived[1] > 2.0 * sent[0] / arrived[0],
        sent[1] + " of " + arrived[1] + ", " + sent[0] + " of " + arrived[0]);
  }

  /**
   * While others are in flight, a request goes out at once more often where it is worth much for
   * its time.
   */
  @Test
  void theLimitIsWiderForHigherPriorityWeights() {
    int[] atOnce = new int[2];
    for (int rich = 0; rich < 2; rich++) {
      BalancerFixture s = BalancerFixture.oneOf(100, 0, TestEndpoints.fleet(12, "UP:1:east"));
      List<RequestClass> requestClasses = new ArrayList<>(BalancerFixture.REQUEST_CLASSES);
      requestClasses.add(
          new RequestClass(
              "other",
              Idempotency.NON_IDEMPOTENT,
              DeduplicationScope.ALL,
              0,
              400_000,
              rich == 1 ? 9 : 0.2,
              1));
      s.applySettings(BalancerFixture.RETRIES, false, requestClasses);
      s.thinTraffic(40, 250);
      for (int i = 0; i < 60; i++) {
        s.arrive("read");
        s.arrive("read");
        s.pass(10);
        long request = s.arrive("other");
        atOnce[rich] += s.inFlight.stream().anyMatch(p -> p.requestId() == request) ? 1 : 0;
        s.pass(60);
        s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
        s.pass(400);
        s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
      }
    }
    assertTrue(atOnce[1] > atOnce[0] + 15, Arrays.toString(atOnce));
  }
}
