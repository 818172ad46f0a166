package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RandomFaultsTest {
  private static final List<AttemptOutcome> FREQUENT_OUTCOMES =
      List.of(
          AttemptOutcome.SUCCEEDED,
          AttemptOutcome.ERROR,
          AttemptOutcome.OVERLOADED,
          AttemptOutcome.CLIENT_ERROR,
          AttemptOutcome.TIMED_OUT);

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
}
