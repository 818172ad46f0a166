package dillcross.balancer;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Keeps checks to run later, ordered by due time and then by when they were scheduled. */
final class CheckQueue {
  private static final Comparator<ScheduledCheck> BY_TIME =
      Comparator.comparingLong(ScheduledCheck::dueUs).thenComparingLong(ScheduledCheck::sequence);

  private final PriorityQueue<ScheduledCheck> checks = new PriorityQueue<>(BY_TIME);
  private long nextSequence;

  private record ScheduledCheck(long dueUs, long sequence, LongConsumer check) {}

  /** Schedules {@code check} to be called with the current time once {@code dueUs} is reached. */
  void schedule(long dueUs, LongConsumer check) {
    checks.add(new ScheduledCheck(dueUs, nextSequence++, check));
  }

  /** Runs the checks that are due, including checks that they schedule and that are due now. */
  void runDue(long nowUs) {
    while (!checks.isEmpty() && checks.peek().dueUs <= nowUs) {
      checks.poll().check.accept(nowUs);
    }
  }

  /** When the next check is due; {@code Long.MAX_VALUE} if there is none. */
  long nextDueUs() {
    return checks.isEmpty() ? Long.MAX_VALUE : checks.peek().dueUs;
  }
}
