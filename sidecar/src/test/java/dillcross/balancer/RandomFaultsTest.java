package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Drives a {@link LoadBalancer} with random requests, outcomes and endpoint lists, and checks every
 * attempt against the rules on attempts, deadlines and duplicates.
 */
class RandomFaultsTest {
  private static final List<AttemptOutcome> OUTCOMES =
      List.of(
          AttemptOutcome.SUCCEEDED,
          AttemptOutcome.ERROR,
          AttemptOutcome.OVERLOADED,
          AttemptOutcome.CLIENT_ERROR,
          AttemptOutcome.TIMED_OUT);
  private static final List<String> CLASSES = List.of("read", "cell", "zone", "any", "once");
  private static final List<String> ENDPOINTS =
      List.of("a:UP:1:east", "b:UP:1:east", "c:UP:2:west", "d:UP:2:west", "e:UP:3:west");
  private static final Map<String, String> CELLS =
      Map.of("a", "1", "b", "1", "c", "2", "d", "2", "e", "3");
  private static final Map<String, String> ZONES =
      Map.of("a", "east", "b", "east", "c", "west", "d", "west", "e", "west");
  private static final int STEPS = 4000;
  private static final int TIMEOUT_MS = 600;
  private static final int DEDUPLICATION_WINDOW_MS = 1000;

  private final Map<Long, String> classOfRequest = new HashMap<>();
  private final Map<Long, List<SentAttempt>> attemptsOfRequest = new HashMap<>();
  private BalancerFixture fixture;

  @ParameterizedTest
  @CsvSource({
    "1, 4, true",
    "2, 4, true",
    "3, 5, true",
    "4, 2, false",
    "5, 3, false",
    "6, 1, false"
  })
  void attemptsObeyAllRulesUnderRandomFaults(long seed, int maxAttempts, boolean hedgingAllowed) {
    Random random = new Random(seed);
    RetryPolicy retries = new RetryPolicy(maxAttempts, hedgingAllowed, true);
    fixture =
        BalancerFixture.withSettings(
            new SettingsBuilder().retries(retries), ENDPOINTS.toArray(String[]::new));

    int checked = 0;
    for (int step = 0; step < STEPS; step++) {
      takeRandomStep(random);
      for (; checked < fixture.sentAttempts.size(); checked++) {
        checkAttempt(fixture.sentAttempts.get(checked), retries);
      }
    }

    fixture.advance(700);
    classOfRequest.forEach(
        (request, requestClass) ->
            assertTrue(fixture.answers.containsKey(request), "never answered: " + requestClass));
  }

  private void takeRandomStep(Random random) {
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> {
        String requestClass = CLASSES.get(random.nextInt(5));
        long request = fixture.startRequest(requestClass, null, TIMEOUT_MS);
        classOfRequest.put(request, requestClass);
      }
      case 3, 4, 5 -> {
        if (!fixture.inFlight.isEmpty()) {
          SentAttempt attempt = fixture.inFlight.get(random.nextInt(fixture.inFlight.size()));
          fixture.endAttempt(attempt, OUTCOMES.get(random.nextInt(OUTCOMES.size())));
        }
      }
      case 6 -> fixture.advance(random.nextInt(60));
      default -> {
        String endpoint = ENDPOINTS.get(random.nextInt(ENDPOINTS.size()));
        boolean drains = random.nextInt(3) == 0;
        fixture.updateEndpoints(false, drains ? endpoint.replace("UP", "DRAINING") : endpoint);
      }
    }
  }

  private void checkAttempt(SentAttempt attempt, RetryPolicy retries) {
    List<SentAttempt> earlierAttempts =
        attemptsOfRequest.computeIfAbsent(attempt.requestId(), request -> new ArrayList<>());
    String requestClass = classOfRequest.get(attempt.requestId());
    String message = requestClass + " " + earlierAttempts + " then " + attempt;
    long clientDeadlineMs = fixture.clientDeadlinesMs.get(attempt.requestId());
    assertTrue(
        earlierAttempts.size() < retries.maxAttempts() && attempt.sentMs() < clientDeadlineMs,
        message);
    for (SentAttempt earlier : earlierAttempts) {
      AttemptOutcome outcome = fixture.outcomes.get(earlier);
      assertTrue(retries.hedgingAllowed() || outcome != null, message);
      if (outcome == null || outcome.mayHaveRun) {
        assertTrue(isHarmless(requestClass, earlier, attempt), message);
      }
    }
    earlierAttempts.add(attempt);
  }

  /** Whether a second attempt can't take effect a second time although the first may have run. */
  private static boolean isHarmless(String requestClass, SentAttempt first, SentAttempt second) {
    boolean withinWindow = second.sentMs() - first.sentMs() <= DEDUPLICATION_WINDOW_MS;
    return switch (requestClass) {
      case "once" -> false;
      case "cell" -> withinWindow && isSame(CELLS, first, second);
      case "zone" -> withinWindow && isSame(ZONES, first, second);
      case "any" -> withinWindow;
      default -> true;
    };
  }

  private static boolean isSame(
      Map<String, String> placement, SentAttempt first, SentAttempt second) {
    return placement.get(first.endpoint()).equals(placement.get(second.endpoint()));
  }
}
