package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.AttemptOutcome;
import dillcross.model.Decision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdmissionControlTest {
  /**
   * A fleet that answers nothing must not be sent everything: in flight stays bounded, the rest is
   * told at once.
   */
  @ParameterizedTest
  @ValueSource(strings = {"read", "once"})
  void anOverloadIsNotFed(String requestClass) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b", "c");
    s.traffic(100, "a");
    List<Long> requests = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      requests.add(s.arrive(requestClass));
      s.pass(5);
    }
    assertTrue(s.inFlight.size() <= 12, "in flight " + s.inFlight.size());
    assertTrue(s.sent.size() - 100 < 60, "pushes " + (s.sent.size() - 100));
    long rejected =
        requests.stream()
            .filter(
                request ->
                    s.answers.get(request) != null
                        && s.answers.get(request) instanceof Decision.Reject rejection
                        && rejection.retryAfterUs() > 0)
            .count();
    assertTrue(rejected > 200, "nacked " + rejected);
  }

  /**
   * Answers that slow down twentyfold shrink what is in flight, however many endpoints there are.
   */
  @Test
  void inFlightFallsAsAnswersSlowDown() {
    String[] many = IntStream.range(0, 20).mapToObj(i -> "e" + i).toArray(String[]::new);
    BalancerFixture s = BalancerFixture.withEndpoints(many);
    s.traffic(200, "e0");
    int inFlight = 0;
    for (int i = 0; i < 800; i++) {
      s.arrive("read");
      s.pass(5);
      s.endAttempts(p -> p.atMs() <= s.nowMs - 400, AttemptOutcome.SUCCEEDED);
      inFlight = i < 400 ? 0 : Math.max(inFlight, s.inFlight.size());
    }
    assertTrue(inFlight < 40, "in flight " + inFlight); // 80 and more without a bound
  }

  /**
   * Four requests a second at random are neither rejected nor kept from an idle fleet by the
   * sidecar's own bound.
   */
  @Test
  void littleTrafficIsNotStarved() {
    BalancerFixture s = BalancerFixture.oneOf(400, 5, TestEndpoints.fleet(30, "UP"));
    Random random = new Random(3);
    for (int requests = 0; requests < 300; requests++) {
      s.arrive("read");
      for (long left = (long) (-250 * Math.log(1 - random.nextDouble())); left >= 0; left -= 10) {
        s.pass(Math.min(10, left));
        s.endAttempts(p -> p.atMs() <= s.nowMs - 80, AttemptOutcome.SUCCEEDED);
      }
    }
    long rejected = s.answers.values().stream().filter(d -> d instanceof Decision.Reject).count();
    assertTrue(rejected < 6, "nacked " + rejected);
  }

  /**
   * One request class waited wherever it went; its time-outs closed the bound, and the others were
   * rejected with it.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void aClassThatIsLateEverywhereDoesNotLowerTheLimit(boolean othersToo) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    for (int i = 0; i < 100; i++) {
      s.arrive("read");
      s.arrive("any");
      s.pass(40);
      s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    }
    Map<Long, Boolean> read = new HashMap<>();
    for (int i = 0; i < 800; i++) { // reads take 0.6 s, of a target of 0.4 s
      if (i % 3 == 0) {
        read.put(s.arrive("read"), true);
      }
      long other = s.arrive("any");
      s.pass(40);
      long nowMs = s.nowMs;
      s.endAttempts(
          p -> nowMs - p.atMs() >= (read.containsKey(p.requestId()) || othersToo ? 600 : 40),
          AttemptOutcome.SUCCEEDED);
      read.put(other, false);
    }
    read.keySet().removeIf(read::get);
    long rejected = s.countRejected(read.keySet());
    assertEquals(othersToo, rejected > 100, "nacked " + rejected);
  }

  /**
   * Connections that die one by one, while their endpoints answer the rest, must not hold the bound
   * until their deadlines.
   */
  @Test
  void deadConnectionsDoNotHoldTheBound() {
    BalancerFixture s =
        BalancerFixture.oneOf(
            1,
            0,
            IntStream.range(0, 10).mapToObj(i -> "e" + i + ":UP:1:east").toArray(String[]::new));
    Set<Long> dead = new HashSet<>();
    for (int i = 0; i < 1500; i++) {
      boolean dies = i > 500 && i % 20 == 0;
      long request = s.arrive(dies ? "once" : "read"); // no copy of these may go
      dead.addAll(dies ? List.of(request) : List.of());
      s.pass(5);
      s.endAttempts(
          p -> p.atMs() <= s.nowMs - 20 && !dead.contains(p.requestId()), AttemptOutcome.SUCCEEDED);
    }
    assertEquals(0, s.answers.values().stream().filter(a -> a instanceof Decision.Reject).count());
  }

  /**
   * After a restart of a third, few requests that hung stood for a queue of all, and over half were
   * rejected while endpoints had room.
   */
  @ParameterizedTest
  @CsvSource({"6, false", "1, true"})
  void fewHangingRequestsAreNoQueueOfAll(int every, boolean queue) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b", "c", "d", "e", "f");
    for (int i = 0; i < 200; i++) {
      s.arrive("read");
      s.pass(20);
      s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    }
    Set<Long> hang = new HashSet<>();
    List<Long> requests = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      long request = s.arrive("read");
      requests.add(request);
      if (i % every == 0) {
        hang.add(request);
      }
      s.pass(5);
      long nowMs = s.nowMs;
      s.endAttempts(
          p -> nowMs - p.atMs() >= (hang.contains(p.requestId()) ? 390 : 30),
          AttemptOutcome.SUCCEEDED);
    }
    long rejected = s.countRejected(requests);
    assertEquals(queue, rejected > 100, "nacked " + rejected);
  }

  /** Slow endpoints among the few in use must not close the bound for the others. */
  @Test
  void slowEndpointsDoNotLowerTheLimitForOthers() {
    BalancerFixture s = BalancerFixture.oneOf(300, 0, TestEndpoints.fleet(30, "UP"));
    s.thinTraffic(60, 250);
    List<String> used = s.thinTraffic(40, 250).keySet().stream().sorted().toList();
    Random random = new Random(5);
    int requests = 0;
    for (; requests < 600; requests++) {
      s.arrive("once");
      for (double left = -200 * Math.log(1 - random.nextDouble()); left >= 0; left -= 20) {
        s.pass(20);
        s.endAttempts(
            p -> p.atMs() <= s.nowMs - (used.indexOf(p.endpoint()) != 0 ? 380 : 20),
            AttemptOutcome.SUCCEEDED);
      }
    }
    long rejected = s.answers.values().stream().filter(d -> d instanceof Decision.Reject).count();
    assertTrue(rejected < 0.1 * requests, "nacked " + rejected + " of " + requests);
  }
}
