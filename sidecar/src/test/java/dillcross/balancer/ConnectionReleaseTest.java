package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConnectionReleaseTest {
  /** Connections to endpoints that have come out of use are let go; those in use are kept. */
  @Test
  void unusedConnectionsAreReleased() {
    String[] before = TestEndpoints.fleet(30, "UP");
    BalancerFixture s = BalancerFixture.oneOf(100, 0, before);
    s.thinTraffic(40, 250);
    Set<String> used = s.thinTraffic(40, 250).keySet();
    s.updateList(
        false,
        used.stream()
            .map(
                e ->
                    Arrays.stream(before)
                        .filter(b -> b.startsWith(e + ":"))
                        .findFirst()
                        .orElseThrow()
                        .replace("UP", "DRAINING"))
            .toArray(String[]::new));
    Set<String> others = s.thinTraffic(20, 250).keySet();
    s.released.clear();
    s.updateList(true, before);
    s.thinTraffic(40, 250);
    assertTrue(s.released.containsAll(others), others + " but let go: " + s.released);
    assertTrue(Collections.disjoint(s.released, used), used + " let go: " + s.released);
  }
}
