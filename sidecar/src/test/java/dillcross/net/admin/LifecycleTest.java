package dillcross.net.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LifecycleTest {
  /**
   * The state after a sequence of calls, all at one time. The last two columns tell whether idle
   * connections are closed 1 s and 2 s after that time.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      useHeadersInDisplayName = true,
      textBlock =
          """
          calls                           | healthy | ready | after response | idle, 1 s | idle, 2 s
          ''                              | false   | false | false          | false     | false
          ready                           | true    | true  | false          | false     | false
          drain                           | false   | false | false          | false     | false
          drain ready                     | false   | true  | true           | false     | true
          drain resume ready              | true    | true  | false          | false     | false
          ready drain                     | false   | true  | true           | false     | true
          ready drain drain               | false   | true  | true           | false     | true
          ready resume                    | true    | true  | false          | false     | false
          ready drain resume              | true    | true  | false          | false     | false
          ready drain resume resume drain | false   | true  | true           | false     | true
          stop                            | false   | false | true           | true      | true
          ready stop                      | false   | false | true           | true      | true
          ready drain stop                | false   | false | true           | true      | true
          ready stop resume               | false   | false | true           | true      | true
          ready stop drain resume         | false   | false | true           | true      | true
          stop ready                      | false   | false | true           | true      | true
          """)
  void reportsTheStateAfterCalls(
      String calls,
      boolean isHealthy,
      boolean isReady,
      boolean closesConnections,
      boolean closesIdleAfterOneSecond,
      boolean closesIdleAfterTwoSeconds) {
    Lifecycle lifecycle = new Lifecycle();
    long now = 1_000_000;
    for (String call : calls.split(" ")) {
      switch (call) {
        case "ready" -> lifecycle.markReady(now);
        case "drain" -> lifecycle.drain(now);
        case "resume" -> lifecycle.resume();
        case "stop" -> lifecycle.stop(now);
        default -> {}
      }
    }
    assertEquals(isHealthy, lifecycle.isHealthy(), "healthy");
    assertEquals(isReady, lifecycle.isReady(), "ready");
    assertEquals(closesConnections, lifecycle.closesConnections(), "closes after responses");
    assertEquals(
        closesIdleAfterOneSecond,
        lifecycle.closesIdleConnections(now + 1_000_000),
        "closes idle connections 1 s later");
    assertEquals(
        closesIdleAfterTwoSeconds,
        lifecycle.closesIdleConnections(now + 2_000_000),
        "closes idle connections 2 s later");
  }

  /**
   * A request that arrives late in a shutdown gets a shortened timeout, so that it is answered
   * before the process may be killed, which happens the longest request timeout plus 0.7 s after
   * the shutdown began.
   */
  @Test
  void limitsTimeoutsDuringShutdown() {
    Lifecycle lifecycle = new Lifecycle();
    lifecycle.markReady(0);
    assertEquals(3_000_000, lifecycle.limitTimeout(3_000_000, 3_000_000, 500));
    lifecycle.stop(1000);
    assertEquals(3_000_000, lifecycle.limitTimeout(3_000_000, 3_000_000, 1000));
    assertEquals(1_600_000, lifecycle.limitTimeout(3_000_000, 3_000_000, 2_001_000));
    assertEquals(200_000, lifecycle.limitTimeout(200_000, 3_000_000, 2_001_000));
    assertEquals(1, lifecycle.limitTimeout(3_000_000, 3_000_000, 9_000_000));
  }

  /**
   * Requests have to arrive early enough to be answered before the process may be killed. Before
   * the shutdown none is rejected.
   */
  @Test
  void limitsArrivalDuringShutdown() {
    Lifecycle lifecycle = new Lifecycle();
    lifecycle.markReady(0);
    assertFalse(lifecycle.rejectsIncomplete(3_000_000, 9_000_000));
    lifecycle.stop(1000);
    assertEquals(3_601_000, lifecycle.lastAnswerUs(3_000_000));
    assertEquals(3_301_000, lifecycle.lastArrivalUs(3_000_000));
    assertFalse(lifecycle.rejectsIncomplete(3_000_000, 3_300_999));
    assertTrue(lifecycle.rejectsIncomplete(3_000_000, 3_301_000));
  }
}
