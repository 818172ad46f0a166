package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointSubsetTest {
  @ParameterizedTest
  @CsvSource({"90, 200", "60, 500", "20, 40"})
  void sidecarsUseFewEndpointsAndShareThemAlike(int endpoints, int sidecars) {
    Map<String, Integer> all = new HashMap<>();
    for (int me = 0; me < sidecars; me++) {
      Map<String, Integer> got =
          BalancerFixture.oneOf(sidecars, me, TestEndpoints.fleet(endpoints, "UP"))
              .thinTraffic(24, 250);
      assertTrue(got.size() <= 6, "used by one: " + got);
      got.forEach((e, n) -> all.merge(e, n, Integer::sum));
    }
    assertEquals(endpoints, all.size());
    double mean = 24.0 * sidecars / endpoints;
    all.forEach(
        (e, n) ->
            assertTrue(n > 0.5 * mean && n < 1.75 * mean, e + " got " + n + ", mean " + mean));
  }

  @Test
  void muchTrafficUsesAll() {
    BalancerFixture s = BalancerFixture.oneOf(100, 0, TestEndpoints.fleet(12, "UP:1:east"));
    assertEquals(12, s.thinTraffic(600, 25).size());
  }

  /** What a sidecar uses with its own zone as it is, then as told, then as before. */
  @ParameterizedTest
  @CsvSource({"DRAINING", "COLD"})
  void useWidensToTheNextLocationAndNarrowsAgain(String trouble) {
    String[] before = TestEndpoints.fleet(30, "UP");
    BalancerFixture s = BalancerFixture.oneOf(100, 0, before);
    Predicate<String> own = e -> Integer.parseInt(e.substring(1)) % 3 == 0;
    s.thinTraffic(40, 250);
    assertTrue(s.thinTraffic(40, 250).keySet().stream().filter(own.negate()).count() <= 1);
    s.updateList(
        false,
        Arrays.stream(before)
            .filter(e -> e.endsWith("east"))
            .map(e -> trouble.equals("COLD") ? e + ":" + s.nowMs : e.replace("UP", trouble))
            .toArray(String[]::new));
    Map<String, Integer> got = s.thinTraffic(12, 250);
    assertTrue(
        got.entrySet().stream()
                .filter(e -> !own.test(e.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum()
            >= (trouble.equals("COLD") ? 4 : 6),
        "cold ones take their part: " + got);
    s.pass(9000);
    s.updateList(true, before);
    s.thinTraffic(60, 250);
    assertTrue(s.thinTraffic(40, 250).keySet().stream().filter(own.negate()).count() <= 1);
  }

  /** Where the own location holds much more than the other, by the list, leaving it weighs less. */
  @ParameterizedTest
  @CsvSource({"0.1, 1, true", "1, 1, false", "1, 0.1, false"})
  void crowdedLocationsAreLeft(double ours, double others, boolean left) {
    BalancerFixture s = new BalancerFixture(BalancerFixture.RETRIES, false, "east", 0, 100);
    s.applySettings(BalancerFixture.RETRIES, true, BalancerFixture.REQUEST_CLASSES);
    String[] zones = {"east", "west"};
    s.updateList(
        true,
        IntStream.range(0, 12)
            .mapToObj(i -> "e" + i + ":UP:1:" + zones[i % 2] + ":0:1")
            .toArray(String[]::new));
    for (int renewals = 0; renewals < 30; renewals++) {
      s.updateList(
          false,
          IntStream.range(0, 12)
              .mapToObj(
                  i -> "e" + i + ":UP:1:" + zones[i % 2] + ":0:" + (i % 2 == 0 ? ours : others))
              .toArray(String[]::new));
    }
    int west =
        s.thinTraffic(60, 250).entrySet().stream()
            .filter(e -> Integer.parseInt(e.getKey().substring(1)) % 2 == 1)
            .mapToInt(Map.Entry::getValue)
            .sum();
    assertEquals(left, west > 30, "left for the other " + west + " of 60");
  }

  /**
   * What is in use is counted by size: a sidecar whose neighbours on the ring are small uses more
   * of them.
   */
  @Test
  void subsetsAreSizedByWeight() {
    for (int me = 0; me < 60; me++) {
      BalancerFixture s =
          BalancerFixture.oneOf(
              60,
              me,
              IntStream.range(0, 30)
                  .mapToObj(i -> "e" + i + ":UP:1:east:0:" + (i % 3 == 0 ? 4 : 1))
                  .toArray(String[]::new));
      int size =
          s.thinTraffic(60, 250).keySet().stream()
              .mapToInt(e -> Integer.parseInt(e.substring(1)) % 3 == 0 ? 4 : 1)
              .sum();
      assertTrue(size >= 3, me + " uses " + size);
    }
  }

  /**
   * An endpoint that leaves moves no more than its own place and a neighbour's in what each sidecar
   * uses.
   */
  @Test
  void aChangeOfTheListMovesFew() {
    int moved = 0;
    for (int me = 0; me < 60; me++) {
      BalancerFixture s = BalancerFixture.oneOf(60, me, TestEndpoints.fleet(60, "UP"));
      Set<String> before = s.thinTraffic(40, 250).keySet();
      s.updateList(false, "e7:REMOVED");
      Set<String> after = s.thinTraffic(40, 250).keySet();
      moved += (int) after.stream().filter(e -> !before.contains(e)).count();
    }
    assertTrue(moved <= 60, "moved " + moved + " of " + 60 * 3);
  }

  /**
   * News that one is gone change what is in use at once: of two in use one stayed in the draws, and
   * got nothing.
   */
  @ParameterizedTest
  @ValueSource(strings = {"REMOVED", "DRAINING"})
  void removedEndpointsAreReplacedInTheSubset(String health) {
    BalancerFixture s = BalancerFixture.oneOf(100, 3, "a", "b", "c", "d", "e", "f", "g", "h");
    Set<String> used = new TreeSet<>(s.thinTraffic(30, 400).keySet());
    String first = used.iterator().next();
    s.pass(500);
    s.traffic(1, first);
    s.updateList(false, first + ":" + health);
    int from = s.sent.size();
    s.pairTraffic(4, first);
    Set<String> after =
        new TreeSet<>(
            s.sent.subList(from, s.sent.size()).stream().map(SentAttempt::endpoint).toList());
    assertFalse(after.contains(first));
    assertEquals(used.size(), after.size(), used + " " + after);
  }

  /** Sidecars whose own endpoints are full turn to different others, each from its own spot on. */
  @Test
  void sidecarsSpillOverToDifferentEndpoints() {
    Set<String> to = new HashSet<>();
    for (int me = 0; me < 10; me++) {
      BalancerFixture s = BalancerFixture.oneOf(10, me, TestEndpoints.fleet(60, "UP:1:east"));
      Set<String> used = s.thinTraffic(40, 250).keySet();
      String other = null;
      for (int i = 0; i < 40 && other == null; i++) {
        s.arrive("read");
        s.pass(5);
        s.endAttempts(p -> used.contains(p.endpoint()), AttemptOutcome.OVERLOADED);
        other =
            s.inFlight.stream()
                .map(SentAttempt::endpoint)
                .filter(e -> !used.contains(e))
                .findFirst()
                .orElse(null);
      }
      to.add(other);
    }
    assertTrue(to.size() >= 6, "ten sidecars turned to " + to);
  }
}
