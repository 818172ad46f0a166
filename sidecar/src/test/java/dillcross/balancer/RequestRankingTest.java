package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.AttemptOutcome;
import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.Tenant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Covers which requests are sent first when attempts in flight are limited; see {@link
 * RequestRanking}.
 */
class RequestRankingTest {
  private static final int TIMEOUT_MS = 2000;

  /** Of two tenants with the same quota, one sends seven times as many requests as the other. */
  @Test
  void prefersTenantWithinItsQuota() {
    SettingsBuilder settings =
        new SettingsBuilder().tenants(new Tenant("heavy", 50), new Tenant("light", 50));
    BalancerFixture fixture = BalancerFixture.withSettings(settings, "a", "b");

    Set<Long> light = new HashSet<>();
    Set<Long> heavy = new HashSet<>();
    for (int i = 0; i < 2000; i++) {
      boolean isLight = i % 8 == 0;
      long request = fixture.startRequest("read", isLight ? "light" : "heavy", TIMEOUT_MS);
      (isLight ? light : heavy).add(request);
      fixture.advance(5);
      if (i % 4 == 2) {
        fixture.inFlight.stream()
            .filter(attempt -> attempt.sentMs() < fixture.nowMs - 40)
            .findFirst()
            .ifPresent(attempt -> fixture.endAttempt(attempt, AttemptOutcome.SUCCEEDED));
      }
    }

    double lightShare = shareSent(fixture, light);
    double heavyShare = shareSent(fixture, heavy);
    assertTrue(lightShare > 2 * heavyShare, "sent: " + lightShare + " and " + heavyShare);
  }

  private static double shareSent(BalancerFixture fixture, Set<Long> requests) {
    long sent = requests.stream().filter(fixture.attemptedRequests()::contains).count();
    return (double) sent / requests.size();
  }

  @Test
  void admitsMoreWhereThePriorityWeightIsHigher() {
    int sentAtLowWeight = countSentAtOnce(0.2);
    int sentAtHighWeight = countSentAtOnce(9);

    assertTrue(
        sentAtHighWeight > sentAtLowWeight + 15,
        "sent at low weight " + sentAtLowWeight + ", at high weight " + sentAtHighWeight);
  }

  /**
   * How many of 60 requests with {@code priorityWeight} are sent at once while two others are in
   * flight.
   */
  private static int countSentAtOnce(double priorityWeight) {
    BalancerFixture fixture = BalancerFixture.inFleet(100, 0, TestEndpoints.inOneZone(12));
    List<RequestClass> requestClasses = new ArrayList<>(SettingsBuilder.DEFAULT_CLASSES);
    requestClasses.add(
        new RequestClass(
            "other",
            Idempotency.NON_IDEMPOTENT,
            DeduplicationScope.ALL,
            0,
            SettingsBuilder.LATENCY_OBJECTIVE_US,
            priorityWeight,
            1));
    fixture.applySettings(fixture.newSettings().requestClasses(requestClasses));
    fixture.sendAtIntervals(40, 250);

    int sentAtOnce = 0;
    for (int i = 0; i < 60; i++) {
      fixture.startRequest("read");
      fixture.startRequest("read");
      fixture.advance(10);
      long request = fixture.startRequest("other");
      boolean isInFlight =
          fixture.inFlight.stream().anyMatch(attempt -> attempt.requestId() == request);
      sentAtOnce += isInFlight ? 1 : 0;
      fixture.advance(60);
      fixture.succeedAll();
      fixture.advance(400);
      fixture.succeedAll();
    }
    return sentAtOnce;
  }
}
