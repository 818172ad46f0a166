package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Covers the expected latencies of a request class; see {@link LatencyEstimate}. */
class LatencyEstimateTest {
  private static final long OBJECTIVE_US = 400_000;
  private static final double NO_RISE = 0;

  private final LatencyEstimate latency = new LatencyEstimate(OBJECTIVE_US);

  @Test
  void startsAtAQuarterOfTheObjective() {
    assertEquals(100_000, latency.meanUs());
    assertEquals(150_000, latency.pessimisticUs());
    assertEquals(200_000, latency.ampleUs());
    assertEquals(0, latency.samples());
  }

  @Test
  void firstSampleReplacesTheInitialMean() {
    latency.record(20_000, NO_RISE);

    assertEquals(20_000, latency.meanUs());
    assertEquals(20_000, latency.baselineUs());
    assertEquals(1, latency.samples());
  }

  @Test
  void baselineStaysAtTheLowestMeanAndRisesByTheGivenFraction() {
    recordTimes(10, 20_000);
    recordTimes(10, 60_000);
    assertEquals(20_000, latency.baselineUs());

    latency.record(latency.meanUs(), 0.5);

    assertEquals((20_000 + latency.meanUs()) / 2, latency.baselineUs(), 1e-6);
  }

  @Test
  void boundedBaselineStaysBetweenAFifthAndAThirdOfTheObjective() {
    recordTimes(10, 1_000);
    assertEquals(80_000, latency.boundedBaselineUs(OBJECTIVE_US));

    LatencyEstimate slow = new LatencyEstimate(OBJECTIVE_US);
    slow.record(900_000, NO_RISE);
    assertEquals(132_000, slow.boundedBaselineUs(OBJECTIVE_US));
  }

  @Test
  void workIsTheMeanButNoLessThanAFifthOfTheObjective() {
    assertEquals(100_000, latency.workUs(OBJECTIVE_US));
    latency.record(1_000, NO_RISE);
    assertEquals(80_000, latency.workUs(OBJECTIVE_US));
  }

  @Test
  void ratioIsBoundedOnlyWhereItIsASample() {
    assertEquals(30, latency.ratioToMean(3_000_000));
    assertEquals(20, latency.boundedRatioToMean(3_000_000));
    assertEquals(0.5, latency.boundedRatioToMean(50_000));
  }

  @Test
  void timeoutIsAFailureOnlyAfterThreeMeanLatencies() {
    assertFalse(latency.isTimeoutFailure(300_000));
    assertTrue(latency.isTimeoutFailure(300_001));
  }

  @Test
  void overdueAfterEightMeanLatenciesTimesTheRatioOfTheEndpoint() {
    assertEquals(800_000, latency.overdueAfterUs(1));
    assertEquals(1_600_000, latency.overdueAfterUs(2));
  }

  private void recordTimes(int count, double latencyUs) {
    for (int i = 0; i < count; i++) {
      latency.record(latencyUs, NO_RISE);
    }
  }
}
