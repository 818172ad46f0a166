package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.*;

import dillcross.balancer.BalancerFixture.NextStep;
import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.*;
import java.util.*;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LoadBalancerTest {
  private static final List<AttemptOutcome> FREQUENT_OUTCOMES =
      List.of(
          AttemptOutcome.SUCCEEDED,
          AttemptOutcome.ERROR,
          AttemptOutcome.OVERLOADED,
          AttemptOutcome.CLIENT_ERROR,
          AttemptOutcome.TIMED_OUT);
  private static final String[] THREE = {"a:UP:1:east", "b:UP:1:east", "c:UP:2:west"};

  // ---- The design's life cycle

  /**
   * E error, T time-out, R reset, X connection failed, F full, A success, on the only endpoint;
   * then another joins.
   */
  @ParameterizedTest
  @CsvSource({
    "EEEEE, true",
    "TTTTT, true",
    "RRRRR, true",
    "XXXXX, true",
    "EEEE, false",
    "FFFFFFFF, false",
    "ttttttt, false",
    "EEAAEEAA, false",
    "EEFFFEEE, true",
    "EEEAEEEAEEEA, true"
  })
  void ejectsAfterFiveInARowOrTooLargeAShare(String outcomes, boolean ejected) {
    BalancerFixture s = BalancerFixture.withEndpoints("a");
    for (int i = 0; i < outcomes.length(); i++) {
      fail(s, outcomes.charAt(i));
    }
    s.updateList(false, "b");
    assertEquals(ejected, s.traffic(30, "a") == 0);
  }

  private static void fail(BalancerFixture s, char outcome) {
    long request = s.arrive("once");
    s.pass(
        outcome == 'T'
            ? 350
            : 10); // a time-out before an answer could be expected says nothing: 't'
    s.endAttempt(
        s.lastAttemptOf(request),
        switch (outcome) {
          case 'E' -> AttemptOutcome.ERROR;
          case 'T', 't' -> AttemptOutcome.TIMED_OUT;
          case 'R' -> AttemptOutcome.RESET;
          case 'X' -> AttemptOutcome.CONNECT_FAILED;
          case 'F' -> AttemptOutcome.OVERLOADED;
          default -> AttemptOutcome.SUCCEEDED;
        });
    s.pass(outcome == 'F' ? 12_000 : 10);
  }

  private static BalancerFixture ejected() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    for (int failures = 0; failures < 5; ) {
      SentAttempt p = s.lastAttemptOf(s.arrive("read"));
      s.pass(5);
      s.endAttempt(p, p.endpoint().equals("a") ? AttemptOutcome.ERROR : AttemptOutcome.SUCCEEDED);
      failures += p.endpoint().equals("a") ? 1 : 0;
      s.pass(5);
      s.endAttempts(q -> true, AttemptOutcome.SUCCEEDED);
    }
    return s;
  }

  @ParameterizedTest
  @CsvSource({"SUCCEEDED, true", "ERROR, false", "TIMED_OUT, false"})
  void aPenaltyEndsInOneRequestOnProbation(AttemptOutcome outcome, boolean back) {
    BalancerFixture s = ejected();
    assertEquals(0, s.traffic(30, "a")); // 0.6 s: within the shortest penalty
    s.pass(700);
    SentAttempt probe = s.lastAttemptOf(s.arrive("read"));
    assertEquals("a", probe.endpoint());
    assertEquals(0, s.traffic(2, "a"), "one at a time");
    s.endAttempt(probe, outcome);
    s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    assertEquals(back, s.pairTraffic(60, "a") > 0); // 1.2 s
    s.pass(1300);
    assertTrue(s.pairTraffic(60, "a") > 0, "the second penalty is twice the first, not more");
  }

  @Test
  void withAllEjectedItPicksAsIfNoneWere() {
    BalancerFixture s = BalancerFixture.withEndpoints("a");
    for (int i = 0; i < 6; i++) {
      fail(s, 'E');
    }
    assertEquals("a", s.lastAttemptOf(s.arrive("once")).endpoint());
  }

  // ---- A list that does not bind

  private static BalancerFixture keepingRemoved(String... endpoints) {
    BalancerFixture s = new BalancerFixture(BalancerFixture.RETRIES, true, true, "east", 0, 3);
    s.updateList(true, endpoints);
    return s;
  }

  /**
   * A list that calls every endpoint gone while they serve left nothing to attempt to: 93% of a
   * day's requests were rejected.
   */
  @ParameterizedTest
  @CsvSource({"true, false", "false, false", "true, true", "false, true"})
  void anEmptyListStopsNothingWhereOnlyDrainsBind(boolean complete, boolean drained) {
    BalancerFixture s = keepingRemoved("a", "b");
    s.traffic(5, "a");
    s.updateList(false, drained ? "a:DRAINING" : "a");
    s.updateList(complete, complete ? new String[0] : new String[] {"a:REMOVED", "b:REMOVED"});
    assertEquals(drained, s.traffic(30, "a") == 0);
    assertTrue(s.traffic(10, "b") > 0);
    s.updateList(false, "a");
    assertTrue(s.traffic(30, "a") > 0, "the list names it again");
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

  /** Where the list was right, its endpoint refuses once and is out, with no five failures. */
  @ParameterizedTest
  @CsvSource({"CONNECT_FAILED, true", "RESET, true", "ERROR, false"})
  void aRemovedEndpointThatRefusesIsEjected(AttemptOutcome outcome, boolean inFlight) {
    BalancerFixture s = keepingRemoved("a", "b");
    s.traffic(5, "a");
    s.updateList(false, "a:REMOVED");
    while (s.inFlight.isEmpty()) {
      SentAttempt p = s.lastAttemptOf(s.arrive("once"));
      s.pass(10);
      s.endAttempt(p, p.endpoint().equals("a") ? outcome : AttemptOutcome.SUCCEEDED);
      if (p.endpoint().equals("a")) {
        break;
      }
    }
    assertEquals(inFlight, s.traffic(30, "a") == 0);
  }

  /** Nothing is kept for good of what the list dropped. */
  @Test
  void removedEndpointsAreForgottenAMinuteAfterTheirLastAnswer() {
    BalancerFixture s = keepingRemoved("a", "b");
    s.updateList(false, "a:REMOVED", "b:REMOVED");
    for (int i = 0; i < 9; i++) {
      s.pass(10_000);
      s.traffic(1, "a");
    }
    assertTrue(s.balancer.isListed("a") || s.balancer.isListed("b"), "they answer");
    s.pass(70_000);
    s.arrive("read");
    assertFalse(s.balancer.isListed("a"));
    assertFalse(s.balancer.isListed("b"));
  }

  // ---- Where a tail of late answers weighs

  /**
   * Of two endpoints one stands still for as long as the latency objective, at times; nothing is
   * earned after it.
   */
  private static BalancerFixture withTailObjective(double weight, double overdue) {
    BalancerFixture s =
        new BalancerFixture(
            new ServiceObjective(weight, 0.02),
            List.of(
                new RequestClass(
                    "read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 400_000, 1, overdue),
                new RequestClass(
                    "once",
                    Idempotency.NON_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    400_000,
                    1,
                    overdue)),
            BalancerFixture.RETRIES,
            false,
            false,
            "east",
            0,
            1);
    s.honoursAttemptDeadlines = true;
    s.updateList(true, "a", "b");
    for (int i = 0; i < 60; i++) {
      s.arrive(i % 2 == 0 ? "read" : "once");
      s.pass(80);
      s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    }
    return s;
  }

  /**
   * A pause of an endpoint held a request for its whole target: the copy came eight mean latencies
   * later, or never.
   */
  @ParameterizedTest
  @CsvSource({"0.3, read, true", "0, read, false", "0.3, once, false"})
  void hedgesWhileTheyCanStillBeInTime(double weight, String requestClass, boolean hedged) {
    BalancerFixture s = withTailObjective(weight, 0);
    long request = s.arrive(requestClass);
    s.pass(180);
    assertEquals(1, s.attempts.get(request), "it is early still");
    s.pass(100);
    assertEquals(hedged ? 2 : 1, s.attempts.get(request));
  }

  /**
   * An answer that is worth nothing must not be waited for, nor asked for again at once; what may
   * not run twice waits.
   */
  @ParameterizedTest
  @CsvSource({
    "0.3, 0, read, true",
    "0.3, 0.5, read, false",
    "0, 0, read, false",
    "0.3, 0, once, false"
  })
  void requestsThatCannotBeInTimeAreRejectedWithinTheirObjective(
      double weight, double overdue, String requestClass, boolean told) {
    BalancerFixture s = withTailObjective(weight, overdue);
    long request = s.arrive(requestClass);
    s.pass(399);
    assertEquals(told, s.answers.containsKey(request));
    if (told) {
      assertEquals(
          new Decision.Reject(request, 1_000_000),
          s.answers.get(request),
          "and comes back when it likes, but not now");
      assertTrue(s.inFlight.isEmpty(), "called back");
    }
  }

  // ---- What endpoints say, and what a request class does wherever it goes

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
   * A repeat on its way to a group that answers nothing may come when that has forgotten the
   * request: an effect twice, 17 of 20,000 emulated days of cut and lagging zones. One endpoint
   * that hangs among others that answer is no such path.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void noRepeatGoesWhereAPathOwesItsAnswers(boolean othersAnswer, boolean repeated) {
    BalancerFixture s = BalancerFixture.withEndpoints("a:UP:1:east", "b:UP:1:east", "c:UP:1:east");
    s.traffic(30, "a");
    s.arrive("once"); // is never answered
    long request = s.arrive("cell"); // its window is 1 s
    s.pass(150);
    if (othersAnswer) {
      for (int i = 0; i < 3; i++) {
        long other = s.arrive("read");
        s.pass(2);
        s.inFlight.stream()
            .filter(p -> p.requestId() == other)
            .findFirst()
            .ifPresent(p -> s.endAttempt(p, AttemptOutcome.SUCCEEDED));
      }
    }
    s.pass(40);
    s.endAttempt(
        s.inFlight.stream().filter(p -> p.requestId() == request).findFirst().orElseThrow(),
        AttemptOutcome.RESET);
    assertEquals(repeated, s.attempts.get(request) > 1);
  }

  /** A probation request whose attempt never ends must not keep the endpoint out for good. */
  @Test
  void aProbationThatNeverEndsIsReplaced() {
    BalancerFixture s = ejected();
    s.pass(1300);
    assertEquals("a", s.lastAttemptOf(s.arrive("read")).endpoint());
    s.pass(10_000);
    assertEquals("a", s.lastAttemptOf(s.arrive("read")).endpoint());
  }

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

  // ---- Rules

  /**
   * After the outcome of a first attempt to {@code a} (cell 1, east): where the request goes next,
   * or its answer.
   */
  @ParameterizedTest
  @CsvSource({
    "read, ERROR, SEND",
    "read, CONNECT_FAILED, SEND",
    "cell, ERROR, b",
    "zone, RESET, b",
    "any, ERROR, SEND",
    "cell, CONNECT_FAILED, SEND",
    "once, CONNECT_FAILED, SEND",
    "once, OVERLOADED, SEND",
    "once, ERROR, FAIL",
    "once, RESET, FAIL",
    "once, TIMED_OUT, FAIL"
  })
  void noEffectTwice(String requestClass, AttemptOutcome outcome, String next) {
    BalancerFixture s = BalancerFixture.withEndpoints("a:UP:1:east");
    long request = s.arrive(requestClass);
    s.updateList(true, THREE);
    s.pass(5);
    s.endAttempt(s.lastAttemptOf(request), outcome);
    switch (next) {
      case "SEND" ->
          assertTrue(s.lastAttemptOf(request).number() == 1 && !s.answers.containsKey(request));
      case "FAIL" -> assertEquals(NextStep.FAIL, s.nextStep(request));
      default -> assertEquals(next, s.lastAttemptOf(request).endpoint());
    }
  }

  /**
   * No endpoint may take it again: the answer comes at once, and is a rejection only where that is
   * safe.
   */
  @ParameterizedTest
  @CsvSource({
    "read, ERROR, REJECT",
    "read, TIMED_OUT, REJECT",
    "cell, ERROR, FAIL",
    "zone, TIMED_OUT, FAIL",
    "any, ERROR, REJECT",
    "once, ERROR, FAIL",
    "once, CONNECT_FAILED, REJECT",
    "cell, OVERLOADED, REJECT"
  })
  void theLastAnswerIsPromptAndTrue(String requestClass, AttemptOutcome outcome, NextStep answer) {
    BalancerFixture s = BalancerFixture.withEndpoints("a:UP:1:east");
    long request = s.arrive(requestClass);
    s.pass(300);
    s.updateList(true, "a:DRAINING:1:east", "c:DRAINING:2:west");
    s.endAttempt(s.lastAttemptOf(request), outcome);
    assertEquals(answer, s.nextStep(request));
    s.pass(3000);
    assertEquals(1, s.attempts.get(request));
  }

  /**
   * An attempt times out before the deadline only where no copy may go beside it and another
   * attempt may follow.
   */
  @ParameterizedTest
  @CsvSource({
    "read, 4, false, true",
    "read, 4, true, false",
    "read, 1, false, false",
    "once, 4, false, false",
    "zone, 4, false, false"
  })
  void attemptsTimeOutWhereNoHedgeMayGo(
      String requestClass, int maxAttempts, boolean hedges, boolean limited) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(maxAttempts, hedges, true), false);
    s.updateList(true, "a", "b");
    assertEquals(limited, s.lastAttemptOf(s.arrive(requestClass)).untilMs() > s.nowMs);
  }

  /** The endpoints of a group remember a repeat for 1 s from its send. */
  @ParameterizedTest
  @CsvSource({"zone, 500, SEND", "zone, 1100, FAIL", "any, 1100, REJECT", "read, 1100, SEND"})
  void retriesStayWithinTheirDeduplicationWindow(String requestClass, long afterMs, NextStep then) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, false, true), false);
    s.updateList(true, "a", "b");
    long request = s.arrive(requestClass);
    s.pass(afterMs);
    s.endAttempt(s.lastAttemptOf(request), AttemptOutcome.ERROR);
    NextStep step = s.nextStep(request);
    assertEquals(then, step == NextStep.NONE ? NextStep.SEND : step);
    assertEquals(then == NextStep.SEND ? 2 : 1, s.attempts.get(request));
  }

  /**
   * What still connects when its group forgets the request, or what a cut network holds back, would
   * run a second time.
   */
  @ParameterizedTest
  @CsvSource({"zone, 700, 900", "zone, 0, 900", "any, 300, 900"})
  void aRetryEndsWithItsDeduplicationWindow(String requestClass, long firstMs, long limitMs) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, false, true), false);
    s.updateList(true, "a", "b", "c");
    long request = s.arrive(requestClass);
    SentAttempt first = s.lastAttemptOf(request);
    assertTrue(
        first.untilMs() == 0 || first.untilMs() > s.nowMs + 1900,
        "the first push has all of its time");
    s.pass(firstMs);
    s.endAttempt(first, AttemptOutcome.RESET);
    SentAttempt repeat = s.lastAttemptOf(request);
    assertEquals(first.atMs() + limitMs, repeat.untilMs());
    s.endAttempt(
        repeat,
        AttemptOutcome.CONNECT_FAILED); // that one never ran: the next is bound by the first alone
    assertTrue(
        s.inFlight.stream().noneMatch(p -> p.requestId() == request)
            || s.lastAttemptOf(request).untilMs() == first.atMs() + limitMs);
  }

  /** An attempt whose earlier ones provably never ran is no repeat to anyone. */
  @Test
  void anAttemptThatNeverRanNeedsNoDeduplication() {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, false, true), false);
    s.updateList(true, "a", "b");
    long request = s.arrive("zone");
    s.endAttempt(s.lastAttemptOf(request), AttemptOutcome.CONNECT_FAILED);
    assertTrue(
        s.lastAttemptOf(request).untilMs() >= s.nowMs + 2000,
        "until " + (s.lastAttemptOf(request).untilMs() - s.nowMs));
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
  void withoutEndpointsTheRejectionIsPrompt() {
    BalancerFixture s = BalancerFixture.withEndpoints("a:DRAINING");
    assertEquals(NextStep.REJECT, s.nextStep(s.arrive("once")));
  }

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

  /** Drives every kind of request at random and checks each send and answer against the rules. */
  @ParameterizedTest
  @CsvSource({
    "1, 4, true",
    "2, 4, true",
    "3, 5, true",
    "4, 2, false",
    "5, 3, false",
    "6, 1, false"
  })
  void rulesHoldUnderRandomFaults(long seed, int maxAttempts, boolean hedges) {
    Random random = new Random(seed);
    BalancerFixture s = new BalancerFixture(new RetryPolicy(maxAttempts, hedges, true), false);
    List<String> ids =
        List.of("a:UP:1:east", "b:UP:1:east", "c:UP:2:west", "d:UP:2:west", "e:UP:3:west");
    s.updateList(true, ids.toArray(String[]::new));
    Map<Long, String> kind = new HashMap<>();
    Map<Long, List<SentAttempt>> sent = new HashMap<>();
    int seen = 0;
    for (int step = 0; step < 4000; step++) {
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> {
          String c = List.of("read", "cell", "zone", "any", "once").get(random.nextInt(5));
          long request = s.arrive(c, null, 600);
          kind.put(request, c);
        }
        case 3, 4, 5 -> {
          if (!s.inFlight.isEmpty()) {
            SentAttempt p = s.inFlight.get(random.nextInt(s.inFlight.size()));
            AttemptOutcome o = FREQUENT_OUTCOMES.get(random.nextInt(FREQUENT_OUTCOMES.size()));
            s.endAttempt(p, o);
          }
        }
        case 6 -> s.pass(random.nextInt(60));
        default -> {
          String e = ids.get(random.nextInt(ids.size()));
          s.updateList(false, random.nextInt(3) == 0 ? e.replace("UP", "DRAINING") : e);
        }
      }
      for (; seen < s.sent.size(); seen++) {
        SentAttempt p = s.sent.get(seen);
        List<SentAttempt> before =
            sent.computeIfAbsent(p.requestId(), request -> new ArrayList<>());
        String what = kind.get(p.requestId()) + " " + before + " then " + p;
        assertTrue(
            before.size() < maxAttempts && p.atMs() < s.clientDeadlines.get(p.requestId()), what);
        for (SentAttempt b : before) {
          AttemptOutcome o = s.outcomes.get(b);
          assertTrue(hedges || o != null, what);
          if (o == null || o.mayHaveRun) {
            assertTrue(
                switch (kind.get(p.requestId())) {
                  case "once" -> false;
                  case "cell" -> group(b, 2).equals(group(p, 2)) && p.atMs() - b.atMs() <= 1000;
                  case "zone" -> group(b, 3).equals(group(p, 3)) && p.atMs() - b.atMs() <= 1000;
                  case "any" -> p.atMs() - b.atMs() <= 1000;
                  default -> true;
                },
                what);
          }
        }
        before.add(p);
      }
    }
    s.pass(700);
    kind.keySet()
        .forEach(
            request ->
                assertTrue(s.answers.containsKey(request), "never answered: " + kind.get(request)));
  }

  private static String group(SentAttempt p, int part) {
    return part == 2
        ? p.endpoint().matches("[ab]") ? "1" : p.endpoint().equals("e") ? "3" : "2"
        : p.endpoint().matches("[ab]") ? "east" : "west";
  }

  // ---- A large fleet, of which each sidecar sees little

  /** Endpoints e0, e1 ... spread over three zones, with what else each has. */
  private static String[] fleet(int endpoints, String health) {
    return IntStream.range(0, endpoints)
        .mapToObj(
            i ->
                "e"
                    + i
                    + ":"
                    + health
                    + (health.contains(":")
                        ? ""
                        : ":" + i / 4 + ":" + List.of("east", "west", "north").get(i % 3)))
        .toArray(String[]::new);
  }

  @ParameterizedTest
  @CsvSource({"90, 200", "60, 500", "20, 40"})
  void sidecarsUseFewEndpointsAndShareThemAlike(int endpoints, int sidecars) {
    Map<String, Integer> all = new HashMap<>();
    for (int me = 0; me < sidecars; me++) {
      Map<String, Integer> got =
          BalancerFixture.oneOf(sidecars, me, fleet(endpoints, "UP")).thinTraffic(24, 250);
      assertTrue(got.size() <= 6, "used by one: " + got);
      got.forEach((e, n) -> all.merge(e, n, Integer::sum));
    }
    assertEquals(endpoints, all.size());
    double mean = 24.0 * sidecars / endpoints;
    all.forEach(
        (e, n) ->
            assertTrue(n > 0.5 * mean && n < 1.75 * mean, e + " got " + n + ", mean " + mean));
  }

  /** What a sidecar uses with its own zone as it is, then as told, then as before. */
  @ParameterizedTest
  @CsvSource({"DRAINING", "COLD"})
  void useWidensToTheNextLocationAndNarrowsAgain(String trouble) {
    String[] before = fleet(30, "UP");
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

  @Test
  void muchTrafficUsesAll() {
    BalancerFixture s = BalancerFixture.oneOf(100, 0, fleet(12, "UP:1:east"));
    assertEquals(12, s.thinTraffic(600, 25).size());
  }

  /**
   * An endpoint that leaves moves no more than its own place and a neighbour's in what each sidecar
   * uses.
   */
  @Test
  void aChangeOfTheListMovesFew() {
    int moved = 0;
    for (int me = 0; me < 60; me++) {
      BalancerFixture s = BalancerFixture.oneOf(60, me, fleet(60, "UP"));
      Set<String> before = s.thinTraffic(40, 250).keySet();
      s.updateList(false, "e7:REMOVED");
      Set<String> after = s.thinTraffic(40, 250).keySet();
      moved += (int) after.stream().filter(e -> !before.contains(e)).count();
    }
    assertTrue(moved <= 60, "moved " + moved + " of " + 60 * 3);
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
      BalancerFixture s = BalancerFixture.oneOf(sidecars, me, fleet(30, "UP"));
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

  /**
   * Four requests a second at random are neither rejected nor kept from an idle fleet by the
   * sidecar's own bound.
   */
  @Test
  void littleTrafficIsNotStarved() {
    BalancerFixture s = BalancerFixture.oneOf(400, 5, fleet(30, "UP"));
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

  /** Odd settings and lists: prompt, truthful answers and no exception. */
  @ParameterizedTest
  @CsvSource({"0, 0, east", "-1, 7, ''", "1, 2000000000, nowhere", "500, 3, east"})
  void oddFleetsAreServed(int sidecars, int me, String zone) {
    BalancerFixture s = new BalancerFixture(BalancerFixture.RETRIES, false, zone, me, sidecars);
    assertEquals(NextStep.REJECT, s.nextStep(s.arrive("once")));
    s.updateList(true, "a:UP:1:");
    assertEquals(10, s.thinTraffic(10, 250).get("a"));
    s.updateList(true);
    assertEquals(NextStep.REJECT, s.nextStep(s.arrive("once")));
    s.updateList(true, "a:UP:1:", "b:UP:2:west");
    assertEquals(10, s.thinTraffic(10, 250).values().stream().mapToInt(n -> n).sum());
  }

  @Test
  void theSameSeedDecidesTheSame() {
    List<List<SentAttempt>> sent =
        IntStream.of(4, 4, 5)
            .mapToObj(me -> BalancerFixture.oneOf(50, me, fleet(40, "UP")))
            .map(s -> s.thinTraffic(50, 100).isEmpty() ? null : s.sent)
            .toList();
    assertEquals(sent.get(0), sent.get(1));
    assertNotEquals(sent.get(0), sent.get(2));
  }

  // ---- Troubles

  /**
   * An endpoint that takes requests and answers none is out long before their deadline, and its
   * requests get a hedged attempt.
   */
  @Test
  void silenceIsEvidence() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b", "c");
    s.traffic(60, "a");
    int hedges = 0;
    for (int i = 0; i < 80; i++) {
      s.arrive("read");
      s.pass(25);
      for (SentAttempt p : List.copyOf(s.inFlight)) {
        if (!p.endpoint().equals("a")) {
          hedges += p.number();
          s.endAttempt(p, AttemptOutcome.SUCCEEDED);
        }
      }
    }
    assertTrue(hedges > 0);
    assertTrue(
        s.sent.stream().filter(p -> p.endpoint().equals("a") && p.atMs() > s.nowMs - 1000).count()
            <= 2);
  }

  /**
   * Attempts to an endpoint that fell silent right after an answer must not hold the bound until
   * their deadline.
   */
  @Test
  void silenceAfterAnAnswerCountsToo() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    for (int i = 0; i < 5; i++) {
      s.arrive("once");
    }
    s.pass(20);
    s.endAttempt(s.inFlight.get(0), AttemptOutcome.SUCCEEDED);
    s.pass(1500);
    s.updateList(true, "c");
    assertEquals(20, s.traffic(20, "c"));
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

  /** An answer after a pause ends an ejection that nothing but silence caused. */
  @Test
  void aPauseCostsLittle() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(40, "a");
    for (int i = 0; i < 24; i++) {
      s.arrive("read");
      s.pass(5);
      s.endAttempts(p -> p.endpoint().equals("b"), AttemptOutcome.SUCCEEDED);
    }
    s.pass(200);
    s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    s.pass(10_000); // as long as a latency counts
    assertTrue(s.pairTraffic(100, "a") > 10);
  }

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

  @Test
  void aFinishedRequestStaysFinished() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    long request = s.arrive("read");
    s.balancer.onClientDisconnected(s.nowMs * 1000, request);
    s.pull();
    s.balancer.onClientDisconnected(s.nowMs * 1000, request);
    s.pass(3000);
    assertEquals(BalancerFixture.ENDPOINT_ANSWER, s.answers.get(request), "no answer of ours");
    assertEquals(1, s.attempts.get(request));
  }

  // ---- Weights that move with load, many sidecars on one fleet

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
   * While others are in flight, a request goes out at once more often where it is worth much for
   * its time.
   */
  @Test
  void theLimitIsWiderForHigherPriorityWeights() {
    int[] atOnce = new int[2];
    for (int rich = 0; rich < 2; rich++) {
      BalancerFixture s = BalancerFixture.oneOf(100, 0, fleet(12, "UP:1:east"));
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
    BalancerFixture s = BalancerFixture.oneOf(300, 0, fleet(30, "UP"));
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

  /** Connections to endpoints that have come out of use are let go; those in use are kept. */
  @Test
  void unusedConnectionsAreReleased() {
    String[] before = fleet(30, "UP");
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

  /** Sidecars whose own endpoints are full turn to different others, each from its own spot on. */
  @Test
  void sidecarsSpillOverToDifferentEndpoints() {
    Set<String> to = new HashSet<>();
    for (int me = 0; me < 10; me++) {
      BalancerFixture s = BalancerFixture.oneOf(10, me, fleet(60, "UP:1:east"));
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

  // ---- Content and answers that flow

  /** What flows, either way, takes no place of other requests and is no silence of its endpoint. */
  @ParameterizedTest
  @ValueSource(strings = {"coming", "begun"})
  void streamingTakesNoCapacity(String how) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    int flowing = 40;
    for (int i = 0; i < flowing; i++) {
      long request = how.equals("coming") ? s.arriveWithoutBody("read") : s.arrive("read");
      s.clientDeadlines.put(request, Long.MAX_VALUE);
      if (how.equals("begun")) {
        s.pass(20);
        s.balancer.onResponseStarted(s.nowMs * 1000, request, 0);
        s.pull();
      }
    }
    List<SentAttempt> flow = List.copyOf(s.inFlight);
    assertEquals(flowing, flow.size(), "each was pushed, none waits");
    s.pass(1500);
    assertEquals(flowing, s.inFlight.size(), "nothing was pushed again for silence");
    long before = s.answers.size();
    assertTrue(
        s.traffic(40, "a") > 5 && s.answers.size() - before == 40, "others are served, by both");
    assertEquals(Set.of(AttemptOutcome.SUCCEEDED), new HashSet<>(s.outcomes.values()));
  }

  /** An attempt is timed, and its request's deadline counts, from the last byte of its content. */
  @Test
  void anRequestIsTimedFromItsLastByte() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    long request = s.arriveWithoutBody("read");
    s.pass(5000);
    assertEquals(1, s.attempts.get(request), "not while it comes");
    s.body(request, true, true);
    s.pass(1000);
    assertEquals(
        2, s.attempts.get(request), "then its silence tells, and its TTL of 2 s has begun anew");
  }

  /** What was let go goes nowhere else: neither after a failure nor as a hedged attempt. */
  @ParameterizedTest
  @CsvSource({
    "once, CONNECT_FAILED, REJECT",
    "read, ERROR, REJECT",
    "cell, ERROR, FAIL",
    "cell, CONNECT_FAILED, REJECT",
    "read, SILENCE, NONE"
  })
  void aReleasedBodyIsNotSentAgain(String requestClass, String outcome, String answer) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    long request = s.arriveWithoutBody(requestClass);
    s.body(request, false, false);
    s.body(request, true, false);
    if (outcome.equals("SILENCE")) {
      s.pass(1500);
    } else {
      s.endAttempt(s.lastAttemptOf(request), AttemptOutcome.valueOf(outcome));
    }
    assertEquals(1, s.attempts.get(request));
    assertEquals(answer, s.nextStep(request).toString());
  }

  /** Once one answer has begun the copies beside it are called back, and it is not. */
  @Test
  void hedgesBesideAStreamingAnswerAreCancelled() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    long request = s.arrive("read");
    s.pass(400);
    assertEquals(2, s.inFlight.size());
    s.balancer.onResponseStarted(s.nowMs * 1000, request, 1);
    s.pull();
    assertEquals(List.of(1), s.inFlight.stream().map(SentAttempt::number).toList());
  }

  // ---- New settings while it runs

  /**
   * A request that is open over a switch, forth and back, keeps the rules it came in with; a new
   * one gets the new ones.
   */
  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT_THEN_ONCE, ERROR, SEND",
    "ONCE_THEN_IDEMPOTENT, ERROR, FAIL",
    "ONCE_THEN_IDEMPOTENT, CONNECT_FAILED, SEND",
    "FORTH_AND_BACK, ERROR, SEND",
    "FEWER_ATTEMPTS, ERROR, SEND",
    "FEWER_ATTEMPTS, CONNECT_FAILED, SEND"
  })
  void anOpenRequestKeepsItsRules(String how, AttemptOutcome outcome, NextStep then) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b", "c");
    s.traffic(40, "a");
    List<RequestClass> other =
        List.of(
            BalancerFixture.requestClass(
                "read", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
            BalancerFixture.requestClass("once", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
    long request = s.arrive(how.startsWith("ONCE") ? "once" : "read");
    s.applySettings(
        how.equals("FEWER_ATTEMPTS") ? new RetryPolicy(1, false, true) : BalancerFixture.RETRIES,
        true,
        how.equals("FEWER_ATTEMPTS") ? BalancerFixture.REQUEST_CLASSES : other);
    if (how.equals("FORTH_AND_BACK")) {
      s.applySettings(BalancerFixture.RETRIES, false, BalancerFixture.REQUEST_CLASSES);
    }
    s.endAttempt(s.lastAttemptOf(request), outcome);
    NextStep step = s.nextStep(request);
    assertEquals(then, step == NextStep.NONE ? NextStep.SEND : step);
    assertEquals(then == NextStep.SEND ? 2 : 1, s.attempts.get(request));
    if (!how.equals("FORTH_AND_BACK")) {
      long next = s.arrive(how.startsWith("ONCE") ? "once" : "read");
      s.endAttempt(s.lastAttemptOf(next), AttemptOutcome.ERROR);
      assertEquals(
          how.startsWith("ONCE") ? 2 : 1, s.attempts.get(next), "a new op has the new rules");
    }
  }

  /** Second copies go by what was allowed when the request came in. */
  @ParameterizedTest
  @CsvSource({"true, true, 2", "true, false, 2", "false, true, 1"})
  void hedgesFollowTheRetryPolicyOfTheirRequest(boolean old, boolean now, int attempts) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, old, true), false);
    s.updateList(true, "a", "b", "c");
    s.traffic(60, "a");
    long request = s.arrive("read");
    s.applySettings(new RetryPolicy(4, now, true), false, BalancerFixture.REQUEST_CLASSES);
    s.pass(300);
    assertEquals(attempts, s.attempts.get(request));
  }

  /**
   * What was learned stays: an ejected endpoint is out after a switch too, and after the way back.
   */
  @Test
  void ejectionsSurviveNewSettings() {
    BalancerFixture s = ejected();
    s.applySettings(new RetryPolicy(3, false, true), true, BalancerFixture.REQUEST_CLASSES);
    assertEquals(0, s.traffic(15, "a"));
    s.applySettings(BalancerFixture.RETRIES, false, BalancerFixture.REQUEST_CLASSES);
    assertEquals(0, s.traffic(10, "a"));
  }
}
