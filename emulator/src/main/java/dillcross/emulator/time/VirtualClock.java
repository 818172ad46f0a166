package dillcross.emulator.time;

import java.util.PriorityQueue;

/**
 * Virtual time in whole µs, and the events scheduled on it. Events due at the same time run in the
 * order in which they were scheduled. Not safe for use by several threads.
 */
public final class VirtualClock {
  private record Event(long atUs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
    }
  }

  private static final int INITIAL_CAPACITY = 1024;

  private final PriorityQueue<Event> events = new PriorityQueue<>(INITIAL_CAPACITY);
  private long nowUs;
  private long scheduledCount;
  private long stepCount;

  /** A clock that shows the given time in µs and has no events. */
  public VirtualClock(long startUs) {
    nowUs = startUs;
  }

  /** The time in µs. */
  public long now() {
    return nowUs;
  }

  /** Number of events that have run. */
  public long steps() {
    return stepCount;
  }

  /**
   * Runs the action at the given time in µs. A time in the past means now, after all events that
   * are already scheduled for now.
   */
  public void at(long atUs, Runnable action) {
    events.add(new Event(Math.max(atUs, nowUs), scheduledCount, action));
    scheduledCount++;
  }

  /** Runs the action after the delay in µs; a negative delay means 0. */
  public void after(long delayUs, Runnable action) {
    at(nowUs + Math.max(0, delayUs), action);
  }

  /**
   * Advances to the next event and runs it. If none is due up to {@code untilUs}, advances to that
   * time and returns false.
   */
  public boolean step(long untilUs) {
    Event next = events.peek();
    if (next == null || next.atUs > untilUs) {
      nowUs = Math.max(nowUs, untilUs);
      return false;
    }
    events.poll();
    nowUs = next.atUs;
    stepCount++;
    next.action.run();
    return true;
  }
}
