package dillcross.emulator.time;

import java.util.PriorityQueue;

/**
 * Virtual time: whole microseconds, and what is to happen when. What is due together happens in the
 * order of asking.
 */
public final class VirtualClock {
  private record Event(long atUs, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>(1024);
  private long nowUs;
  private long order;
  private long steps;

  public VirtualClock(long startUs) {
    nowUs = startUs;
  }

  public long now() {
    return nowUs;
  }

  /** How many events have happened. */
  public long steps() {
    return steps;
  }

  /** What was due already happens now, after all that is due now and was asked for before. */
  public void at(long us, Runnable what) {
    events.add(new Event(Math.max(us, nowUs), order++, what));
  }

  public void after(long us, Runnable what) {
    at(nowUs + Math.max(0, us), what);
  }

  /** The next event; false where there is none up to that time, which then is the time. */
  public boolean step(long untilUs) {
    Event next = events.peek();
    if (next == null || next.atUs > untilUs) {
      nowUs = Math.max(nowUs, untilUs);
      return false;
    }
    events.poll();
    nowUs = next.atUs;
    steps++;
    next.what.run();
    return true;
  }
}
