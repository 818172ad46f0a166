package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Covers when discovery is called for the endpoint list; see {@link DiscoverySchedule}. */
class DiscoveryScheduleTest {
  @Test
  void retriesFailedCallsWithBackoffAndJitter() {
    SettingsBuilder settings = new SettingsBuilder().pollRequired().instance("east", 1, 400);
    BalancerFixture fixture = BalancerFixture.withSettings(settings, "a");
    long startMs = fixture.nowMs;
    assertEquals(
        0, fixture.watchTimesMs.size(), "400 sidecars that start together spread their calls");

    fixture.advance(3500);
    for (int i = 0; i < 6; i++) {
      fixture.failEndpointListCall();
      fixture.advance(10_000);
    }

    assertEquals(7, fixture.watchTimesMs.size());
    assertTrue(fixture.watchTimesMs.get(1) < startMs + 4500);
  }
}
