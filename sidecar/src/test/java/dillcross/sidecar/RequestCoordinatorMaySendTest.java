package dillcross.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.Endpoint.Health;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests whether an attempt that waited for its connection may still be sent. */
class RequestCoordinatorMaySendTest {
  private final CoordinatorFixture fixture = new CoordinatorFixture();

  @Test
  void forbidsAttemptsToADrainingEndpointOrOfAFinishedRequest() {
    fixture.listOneEndpoint();
    NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt("read");
    assertTrue(fixture.maySend(attempt));
    fixture.listChanges(2, CoordinatorFixture.entry("a", Health.DRAINING, "h:1"));
    assertFalse(fixture.maySend(attempt), "the endpoint drains");
    fixture.listChanges(3, CoordinatorFixture.entry("a", Health.UP, "h:1"));
    fixture.stopReportingAbandonedAttempts();
    fixture.coordinator.onClientDisconnected(fixture.nowUs(), attempt.requestId());
    assertFalse(fixture.maySend(attempt), "the request is finished");
  }

  @ParameterizedTest
  @CsvSource({
    "h:1,0,0,true",
    "h:2,0,0,false",
    "h:1,7,0,false",
    "h:1,0," + CoordinatorFixture.TIMEOUT_US + ",false"
  })
  void requiresSameProcessAndAddressBeforeTheDeadline(
      String address, long startedUs, long laterUs, boolean isPermitted) {
    fixture.listOneEndpoint();
    NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt("read");
    fixture.listChanges(2, CoordinatorFixture.entry("a", Health.UP, address, startedUs));
    fixture.advance(laterUs);
    assertEquals(isPermitted, fixture.maySend(attempt));
  }
}
