package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Covers which idle connections are released; see {@link IdleConnections}. */
class ConnectionReleaseTest {
  @Test
  void releasesConnectionsToEndpointsOutsideTheSubset() {
    String[] healthy = TestEndpoints.inThreeZones(30);
    BalancerFixture fixture = BalancerFixture.inFleet(100, 0, healthy);
    fixture.sendAtIntervals(40, 250);
    Set<String> subset = fixture.sendAtIntervals(40, 250).keySet();
    String[] drainedSubset =
        Arrays.stream(healthy)
            .filter(endpoint -> subset.contains(endpoint.split(":")[0]))
            .map(endpoint -> endpoint.replace("UP", "DRAINING"))
            .toArray(String[]::new);
    fixture.updateEndpoints(false, drainedSubset);
    Set<String> substitutes = fixture.sendAtIntervals(20, 250).keySet();
    fixture.releasedConnections.clear();

    fixture.updateEndpoints(true, healthy);
    fixture.sendAtIntervals(40, 250);

    List<String> released = fixture.releasedConnections;
    assertTrue(released.containsAll(substitutes), substitutes + " but released " + released);
    assertTrue(Collections.disjoint(released, subset), subset + " but released " + released);
  }
}
