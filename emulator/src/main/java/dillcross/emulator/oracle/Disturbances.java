package dillcross.emulator.oracle;

import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Periods in which faults excuse a sidecar or hide something from the oracle: stalled processes,
 * attempts that endpoints cannot observe, and an endpoint list that is unavailable or outdated.
 */
final class Disturbances {
  private record Period(long fromUs, long untilUs) {
    boolean overlaps(long otherFromUs, long otherUntilUs) {
      return fromUs <= otherUntilUs && untilUs >= otherFromUs;
    }
  }

  private record Stall(int sidecar, Period period) {}

  private final LongSupplier nowUs;
  private final long answerSlackUs;
  private final List<Stall> stalls = new ArrayList<>();
  private final List<Period> hiddenAttempts = new ArrayList<>();
  private final List<Period> listOutages = new ArrayList<>();

  Disturbances(LongSupplier nowUs, Scenario.Rules rules) {
    this.nowUs = nowUs;
    answerSlackUs = TimeUnits.toMicros(rules.answerSlackMs());
  }

  void addStall(int sidecar, long fromUs, long untilUs) {
    stalls.add(new Stall(sidecar, new Period(fromUs, untilUs)));
  }

  void addHiddenAttempts(long fromUs, long untilUs) {
    hiddenAttempts.add(new Period(fromUs, untilUs));
  }

  void addListOutage(long fromUs, long untilUs) {
    listOutages.add(new Period(fromUs, untilUs));
  }

  /**
   * Time in µs by which the request's deadline is extended: a fixed slack, and the stalls of its
   * sidecar since the request was created.
   */
  long slackUs(ObservedRequest request) {
    long slackUs = answerSlackUs;
    for (Stall stall : stalls) {
      Period period = stall.period;
      boolean isDuringRequest =
          stall.sidecar == request.sidecar()
              && period.overlaps(request.createdUs(), nowUs.getAsLong());
      slackUs += isDuringRequest ? period.untilUs - period.fromUs : 0;
    }
    return slackUs;
  }

  /** Whether endpoints could observe every attempt between the two times. */
  boolean areAllAttemptsObserved(long fromUs, long untilUs) {
    return hiddenAttempts.stream().noneMatch(period -> period.overlaps(fromUs, untilUs));
  }

  /**
   * The earliest start, not before {@code fromUs}, of a period of {@code durationUs} in which the
   * endpoint list is available throughout.
   */
  long startOfUndisturbedList(long fromUs, long durationUs) {
    long startUs = fromUs;
    boolean hasMoved = true;
    while (hasMoved) {
      hasMoved = false;
      for (Period outage : listOutages) {
        if (outage.fromUs < startUs + durationUs && outage.untilUs > startUs) {
          startUs = outage.untilUs;
          hasMoved = true;
        }
      }
    }
    return startUs;
  }
}
