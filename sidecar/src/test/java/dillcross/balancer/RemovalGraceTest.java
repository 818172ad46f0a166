package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Covers how long endpoints stay in use that discovery removed without draining them first; see
 * {@link RemovalGrace}.
 */
class RemovalGraceTest {
  private static BalancerFixture keepingRemoved(String... endpoints) {
    return BalancerFixture.withSettings(
        new SettingsBuilder().pollRequired().keepRemoved(), endpoints);
  }

  /** A faulty update that removes every endpoint must not have all requests rejected. */
  @ParameterizedTest
  @CsvSource({"true, false", "false, false", "true, true", "false, true"})
  void usesRemovedEndpointsUnlessTheyWereDrained(boolean complete, boolean drained) {
    BalancerFixture fixture = keepingRemoved("a", "b");
    fixture.sendSequentially(5, "a");

    fixture.updateEndpoints(false, drained ? "a:DRAINING" : "a");
    fixture.updateEndpoints(
        complete, complete ? new String[0] : new String[] {"a:REMOVED", "b:REMOVED"});

    assertEquals(drained, fixture.sendSequentially(30, "a") == 0);
    assertTrue(fixture.sendSequentially(10, "b") > 0);
    fixture.updateEndpoints(false, "a");
    assertTrue(fixture.sendSequentially(30, "a") > 0, "the endpoint list names it again");
  }

  /**
   * A removed endpoint is ejected after one refused or reset connection, not only after consecutive
   * failures.
   */
  @ParameterizedTest
  @CsvSource({"CONNECT_FAILED, true", "RESET, true", "ERROR, false"})
  void ejectsRemovedEndpointAfterOneBrokenConnection(AttemptOutcome outcome, boolean ejected) {
    BalancerFixture fixture = keepingRemoved("a", "b");
    fixture.sendSequentially(5, "a");
    fixture.updateEndpoints(false, "a:REMOVED");

    while (fixture.inFlight.isEmpty()) {
      SentAttempt attempt = fixture.lastAttemptOf(fixture.startRequest("once"));
      boolean toRemoved = attempt.endpoint().equals("a");
      fixture.advance(10);
      fixture.endAttempt(attempt, toRemoved ? outcome : AttemptOutcome.SUCCEEDED);
      if (toRemoved) {
        break;
      }
    }

    assertEquals(ejected, fixture.sendSequentially(30, "a") == 0);
  }

  @Test
  void forgetsRemovedEndpointsOneMinuteAfterLastResponse() {
    BalancerFixture fixture = keepingRemoved("a", "b");
    fixture.updateEndpoints(false, "a:REMOVED", "b:REMOVED");
    for (int i = 0; i < 9; i++) {
      fixture.advance(10_000);
      fixture.sendSequentially(1, "a");
    }
    assertTrue(
        fixture.balancer.isListed("a") || fixture.balancer.isListed("b"), "they still respond");

    fixture.advance(70_000);
    fixture.startRequest("read");

    assertFalse(fixture.balancer.isListed("a"));
    assertFalse(fixture.balancer.isListed("b"));
  }
}
