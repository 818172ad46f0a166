package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DiscoveryScheduleTest {
  /** A list out of reach is asked for again, later each time, and not by all sidecars at once. */
  @Test
  void anUnreachableListIsAskedForAgain() {
    BalancerFixture s = new BalancerFixture(BalancerFixture.RETRIES, true, "east", 1, 400);
    s.updateList(true, "a");
    assertEquals(0, s.watches.size(), "400 that start together spread their first calls");
    s.pass(3500);
    for (int i = 0; i < 6; i++) {
      s.balancer.onEndpointListFailure(s.nowMs * 1000, Long.MAX_VALUE);
      s.pull();
      s.pass(10_000);
    }
    assertEquals(7, s.watches.size());
    assertTrue(s.watches.get(1) < 1_004_500);
  }
}
