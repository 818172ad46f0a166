package dillcross.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.simulation.EndpointFaults.ResetMoment;
import org.junit.jupiter.api.Test;

/** State of endpoints that needs no running simulation: faults and deduplication. */
class EndpointStateTest {
  private final EndpointFaults faults = new EndpointFaults();

  @Test
  void overlappingSilencesEndWithTheLast() {
    faults.setSilent(true);
    faults.setSilent(true);
    faults.setSilent(false);
    assertTrue(faults.isSilent());
    faults.setSilent(false);
    assertFalse(faults.isSilent());
  }

  @Test
  void overlappingSlowdownsMultiply() {
    faults.multiplySlowdown(4);
    faults.multiplySlowdown(2);
    faults.multiplySlowdown(1 / 4.0);
    assertEquals(2, faults.slowdownFactor());
  }

  @Test
  void readsResetMomentsOfScenarios() {
    assertEquals(ResetMoment.BEFORE_WORK, ResetMoment.of("before"));
    assertEquals(ResetMoment.WITHIN_RESPONSE, ResetMoment.of("answer"));
    assertEquals(ResetMoment.AFTER_WORK, ResetMoment.of("after"));
    assertEquals(ResetMoment.AFTER_WORK, ResetMoment.of("any other"));
  }

  @Test
  void recognisesRepeatWithinWindowOnly() {
    DeduplicationMemory memory = new DeduplicationMemory();
    assertTrue(memory.recordIfFirst("key", 1_000, 500));
    assertFalse(memory.recordIfFirst("key", 1_500, 500));
    assertTrue(memory.recordIfFirst("other", 1_500, 500));
    assertTrue(memory.recordIfFirst("key", 1_501, 500));
    assertFalse(memory.recordIfFirst("key", 2_001, 500));
  }
}
