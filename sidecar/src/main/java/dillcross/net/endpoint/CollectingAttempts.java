package dillcross.net.endpoint;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The attempts whose responses of unknown length are collected, by when that ends. Those that have
 * ended meanwhile stay until they are due. Belongs to the selector thread.
 */
final class CollectingAttempts {
  private final PriorityQueue<Collecting> queue =
      new PriorityQueue<>(Comparator.comparingLong(Collecting::untilUs));

  private record Collecting(InFlightAttempt attempt, long untilUs) {}

  void add(InFlightAttempt attempt, long untilUs) {
    queue.add(new Collecting(attempt, untilUs));
  }

  /** When the next attempt is due; {@code Long.MAX_VALUE} if there is none. */
  long nextDueUs() {
    return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().untilUs();
  }

  /** Takes the next attempt that is due. */
  Optional<InFlightAttempt> pollDue(long nowUs) {
    return nextDueUs() <= nowUs ? Optional.of(queue.poll().attempt()) : Optional.empty();
  }
}
