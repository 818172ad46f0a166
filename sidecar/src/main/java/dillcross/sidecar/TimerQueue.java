package dillcross.sidecar;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The timers that are set, ordered by due time, then by the order in which they were set. */
final class TimerQueue {
  private static final Comparator<Timer> BY_TIME =
      (a, b) ->
          a.dueUs != b.dueUs
              ? Long.compare(a.dueUs, b.dueUs)
              : Long.compare(a.sequence, b.sequence);

  private final PriorityQueue<Timer> timers = new PriorityQueue<>(BY_TIME);
  private long nextSequence;

  /**
   * One timer.
   *
   * @param sequence orders timers with the same due time
   * @param requestId the request that the timer is for; 0 where it is for none
   * @param attempt the attempt's number within the request; 0 where the timer is for no attempt
   */
  record Timer(long dueUs, long sequence, TimerKind kind, long requestId, int attempt) {}

  void add(long dueUs, TimerKind kind, long requestId, int attempt) {
    timers.add(new Timer(dueUs, nextSequence++, kind, requestId, attempt));
  }

  /** Removes and returns the next timer that is due; null if there is none. */
  Timer pollDue(long nowUs) {
    return nextDueUs() <= nowUs ? timers.poll() : null;
  }

  /** When the next timer is due; {@code Long.MAX_VALUE} if there is none. */
  long nextDueUs() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueUs;
  }

  int size() {
    return timers.size();
  }
}
