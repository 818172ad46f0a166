package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers which endpoints of a large fleet one sidecar uses; see {@link EndpointSubset}. */
class EndpointSubsetTest {
  private static final int INTERVAL_MS = 250;
  private static final Predicate<String> IN_FIRST_ZONE =
      endpoint -> TestEndpoints.indexOf(endpoint) % 3 == 0;

  private static Set<String> usedEndpoints(BalancerFixture fixture, int requests) {
    return fixture.sendAtIntervals(requests, INTERVAL_MS).keySet();
  }

  @ParameterizedTest
  @CsvSource({"90, 200", "60, 500", "20, 40"})
  void sidecarsUseFewEndpointsAndLoadThemEvenly(int endpoints, int sidecars) {
    int requests = 24;
    Map<String, Integer> totals = new HashMap<>();
    for (int index = 0; index < sidecars; index++) {
      BalancerFixture fixture =
          BalancerFixture.inFleet(sidecars, index, TestEndpoints.inThreeZones(endpoints));
      Map<String, Integer> attempts = fixture.sendAtIntervals(requests, INTERVAL_MS);
      assertTrue(attempts.size() <= 6, "endpoints used by one sidecar: " + attempts);
      attempts.forEach((endpoint, count) -> totals.merge(endpoint, count, Integer::sum));
    }

    assertEquals(endpoints, totals.size());
    double mean = (double) requests * sidecars / endpoints;
    totals.forEach(
        (endpoint, count) ->
            assertTrue(
                count > 0.5 * mean && count < 1.75 * mean,
                endpoint + " got " + count + ", mean " + mean));
  }

  @Test
  void usesAllEndpointsUnderHeavyTraffic() {
    BalancerFixture fixture = BalancerFixture.inFleet(100, 0, TestEndpoints.inOneZone(12));

    assertEquals(12, fixture.sendAtIntervals(600, 25).size());
  }

  /** The endpoints in the sidecar's own zone are up, then draining or starting, then up again. */
  @ParameterizedTest
  @CsvSource({"DRAINING", "STARTING"})
  void usesOtherZonesWhileOwnZoneIsUnavailable(String condition) {
    boolean isStarting = condition.equals("STARTING");
    String[] healthy = TestEndpoints.inThreeZones(30);
    BalancerFixture fixture = BalancerFixture.inFleet(100, 0, healthy);
    usedEndpoints(fixture, 40);
    assertTrue(countOutsideOwnZone(usedEndpoints(fixture, 40)) <= 1);

    fixture.updateEndpoints(
        false,
        Arrays.stream(healthy)
            .filter(endpoint -> endpoint.endsWith("east"))
            .map(
                endpoint ->
                    isStarting ? endpoint + ":" + fixture.nowMs : endpoint.replace("UP", condition))
            .toArray(String[]::new));
    Map<String, Integer> attempts = fixture.sendAtIntervals(12, INTERVAL_MS);
    int toOtherZones =
        attempts.entrySet().stream()
            .filter(entry -> !IN_FIRST_ZONE.test(entry.getKey()))
            .mapToInt(Map.Entry::getValue)
            .sum();
    assertTrue(toOtherZones >= (isStarting ? 4 : 6), "starting endpoints get a share: " + attempts);

    fixture.advance(9000);
    fixture.updateEndpoints(true, healthy);
    usedEndpoints(fixture, 60);
    assertTrue(countOutsideOwnZone(usedEndpoints(fixture, 40)) <= 1);
  }

  private static long countOutsideOwnZone(Set<String> endpoints) {
    return endpoints.stream().filter(IN_FIRST_ZONE.negate()).count();
  }

  /**
   * A sidecar uses the other zone if dynamic weights show that its own zone is loaded much more.
   */
  @ParameterizedTest
  @CsvSource({"0.1, 1, true", "1, 1, false", "1, 0.1, false"})
  void usesOtherZoneWhenOwnWeightsAreLow(
      double ownWeight, double otherWeight, boolean usesOtherZone) {
    SettingsBuilder settings = new SettingsBuilder().instance("east", 0, 100);
    BalancerFixture fixture = new BalancerFixture(settings);
    fixture.applySettings(fixture.newSettings().dynamicWeights(true));
    fixture.updateEndpoints(true, inTwoZones(1, 1));

    for (int update = 0; update < 30; update++) {
      fixture.updateEndpoints(false, inTwoZones(ownWeight, otherWeight));
    }

    int toWest =
        fixture.sendAtIntervals(60, INTERVAL_MS).entrySet().stream()
            .filter(entry -> TestEndpoints.indexOf(entry.getKey()) % 2 == 1)
            .mapToInt(Map.Entry::getValue)
            .sum();
    assertEquals(usesOtherZone, toWest > 30, toWest + " of 60 requests to the other zone");
  }

  private static String[] inTwoZones(double eastWeight, double westWeight) {
    return TestEndpoints.generate(
        12, index -> index % 2 == 0 ? "UP:1:east:0:" + eastWeight : "UP:1:west:0:" + westWeight);
  }

  /** A sidecar uses more endpoints if those from its ring position on have small weights. */
  @Test
  void sizesSubsetByEndpointWeight() {
    int sidecars = 60;
    String[] endpoints =
        TestEndpoints.generate(30, index -> "UP:1:east:0:" + (index % 3 == 0 ? 4 : 1));
    for (int index = 0; index < sidecars; index++) {
      BalancerFixture fixture = BalancerFixture.inFleet(sidecars, index, endpoints);

      int totalWeight =
          usedEndpoints(fixture, 60).stream()
              .mapToInt(endpoint -> IN_FIRST_ZONE.test(endpoint) ? 4 : 1)
              .sum();

      assertTrue(totalWeight >= 3, "sidecar " + index + " uses a weight of " + totalWeight);
    }
  }

  /**
   * A removed endpoint may change only the few subsets that it or its neighbour on the ring was in.
   */
  @Test
  void removedEndpointChangesFewSubsets() {
    int sidecars = 60;
    int changes = 0;
    for (int index = 0; index < sidecars; index++) {
      BalancerFixture fixture =
          BalancerFixture.inFleet(sidecars, index, TestEndpoints.inThreeZones(60));
      Set<String> before = usedEndpoints(fixture, 40);
      fixture.updateEndpoints(false, "e7:REMOVED");
      Set<String> after = usedEndpoints(fixture, 40);
      changes += (int) after.stream().filter(endpoint -> !before.contains(endpoint)).count();
    }

    assertTrue(changes <= 60, "endpoints changed in subsets: " + changes + " of " + sidecars * 3);
  }

  /**
   * If an endpoint that becomes unavailable were not replaced at once, it would still be drawn, and
   * the subset would be one endpoint short.
   */
  @ParameterizedTest
  @ValueSource(strings = {"REMOVED", "DRAINING"})
  void replacesUnavailableEndpointAtOnce(String health) {
    BalancerFixture fixture =
        BalancerFixture.inFleet(100, 3, "a", "b", "c", "d", "e", "f", "g", "h");
    Set<String> before = new TreeSet<>(fixture.sendAtIntervals(30, 400).keySet());
    String unavailable = before.iterator().next();
    fixture.advance(500);
    fixture.sendSequentially(1, unavailable);

    fixture.updateEndpoints(false, unavailable + ":" + health);
    int sentBefore = fixture.sentAttempts.size();
    fixture.sendPairs(4, unavailable);

    Set<String> after = new TreeSet<>();
    for (SentAttempt attempt :
        fixture.sentAttempts.subList(sentBefore, fixture.sentAttempts.size())) {
      after.add(attempt.endpoint());
    }
    assertFalse(after.contains(unavailable));
    assertEquals(before.size(), after.size(), "subset before " + before + ", after " + after);
  }

  @Test
  void sidecarsOverflowToDifferentEndpoints() {
    Set<String> overflowEndpoints = new HashSet<>();
    for (int index = 0; index < 10; index++) {
      BalancerFixture fixture = BalancerFixture.inFleet(10, index, TestEndpoints.inOneZone(60));
      Set<String> used = usedEndpoints(fixture, 40);
      overflowEndpoints.add(firstOverflowEndpoint(fixture, used));
    }

    assertTrue(overflowEndpoints.size() >= 6, "ten sidecars overflowed to " + overflowEndpoints);
  }

  /**
   * Has the endpoints of the subset answer that they are overloaded until an attempt goes to
   * another endpoint; returns that endpoint, or null if no attempt does.
   */
  private static String firstOverflowEndpoint(BalancerFixture fixture, Set<String> subset) {
    String overflowEndpoint = null;
    for (int i = 0; i < 40 && overflowEndpoint == null; i++) {
      fixture.startRequest("read");
      fixture.advance(5);
      fixture.endAttempts(
          attempt -> subset.contains(attempt.endpoint()), AttemptOutcome.OVERLOADED);
      overflowEndpoint =
          fixture.inFlight.stream()
              .map(SentAttempt::endpoint)
              .filter(endpoint -> !subset.contains(endpoint))
              .findFirst()
              .orElse(null);
    }
    return overflowEndpoint;
  }
}
