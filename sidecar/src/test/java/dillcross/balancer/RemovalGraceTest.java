package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RemovalGraceTest {
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
}
