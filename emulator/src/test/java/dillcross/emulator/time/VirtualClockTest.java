package dillcross.emulator.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Order of events on the virtual clock, and unit conversions. */
class VirtualClockTest {
  private final VirtualClock clock = new VirtualClock(100);
  private final List<String> events = new ArrayList<>();

  @Test
  void runsEventsByTimeThenByOrderOfScheduling() {
    clock.at(300, () -> events.add("third"));
    clock.at(200, () -> events.add("first"));
    clock.after(100, () -> events.add("second"));
    clock.at(50, () -> events.add("past"));
    while (clock.step(1_000)) {
      assertTrue(clock.now() <= 300);
    }
    assertEquals(List.of("past", "first", "second", "third"), events);
    assertEquals(4, clock.steps());
    assertEquals(1_000, clock.now());
  }

  @Test
  void leavesLaterEventsForLater() {
    clock.at(500, () -> events.add("late"));
    assertFalse(clock.step(499));
    assertEquals(499, clock.now());
    assertTrue(clock.step(500));
  }

  @Test
  void roundsMillisecondsToWholeMicroseconds() {
    assertEquals(1_500, TimeUnits.toMicros(1.5));
    assertEquals(1, TimeUnits.toMicros(0.0006));
  }
}
