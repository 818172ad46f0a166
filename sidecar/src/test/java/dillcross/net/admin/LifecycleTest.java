package dillcross.net.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LifecycleTest {
  /**
   * After those calls: whether it is healthy, ready, closing connections with responses, and
   * closing idle connections 1 s and 2 s later.
   */
  @ParameterizedTest
  @CsvSource({
    "'',no no no no no",
    "ready,yes yes no no no",
    "drain,no no no no no",
    "drain ready,no yes yes no yes",
    "drain resume ready,yes yes no no no",
    "ready drain,no yes yes no yes",
    "ready drain drain,no yes yes no yes",
    "ready resume,yes yes no no no",
    "ready drain resume,yes yes no no no",
    "ready drain resume resume drain,no yes yes no yes",
    "stop,no no yes yes yes",
    "ready stop,no no yes yes yes",
    "ready drain stop,no no yes yes yes",
    "ready stop resume,no no yes yes yes",
    "ready stop drain resume,no no yes yes yes",
    "stop ready,no no yes yes yes"
  })
  void followsOneLifecycle(String calls, String expected) {
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
    StringBuilder states = new StringBuilder();
    for (boolean yes :
        new boolean[] {
          lifecycle.isHealthy(),
          lifecycle.isReady(),
          lifecycle.closesConnections(),
          lifecycle.closesIdleConnections(now + 1_000_000),
          lifecycle.closesIdleConnections(now + 2_000_000)
        }) {
      states.append(yes ? "yes " : "no ");
    }
    assertEquals(expected, states.toString().trim());
  }

  /**
   * A request late in a shutdown is answered before the process may be killed, the longest deadline
   * and 0.7 s after the shutdown began.
   */
  @Test
  void aTimeoutEndsWithTheShutdown() {
    Lifecycle lifecycle = new Lifecycle();
    lifecycle.markReady(0);
    assertEquals(3_000_000, lifecycle.limitTimeout(3_000_000, 3_000_000, 500));
    lifecycle.stop(1000);
    assertEquals(3_000_000, lifecycle.limitTimeout(3_000_000, 3_000_000, 1000));
    assertEquals(1_600_000, lifecycle.limitTimeout(3_000_000, 3_000_000, 2_001_000));
    assertEquals(200_000, lifecycle.limitTimeout(200_000, 3_000_000, 2_001_000));
    assertEquals(1, lifecycle.limitTimeout(3_000_000, 3_000_000, 9_000_000));
  }
}
