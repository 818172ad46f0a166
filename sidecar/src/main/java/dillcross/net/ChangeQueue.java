package dillcross.net;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/** Hands changes over from other threads to the selector thread: the only way in for them. */
final class ChangeQueue {
  private final Queue<Runnable> changes = new ConcurrentLinkedQueue<>();
  private final Runnable wakeUp;

  /** {@code wakeUp} has the event loop make an iteration. */
  ChangeQueue(Runnable wakeUp) {
    this.wakeUp = wakeUp;
  }

  /** Has the change made by the selector thread, between two iterations. From any thread. */
  void submit(Runnable change) {
    changes.add(change);
    wakeUp.run();
  }

  /**
   * As {@link #submit}, and returns once the change has run or has thrown; the caller can't tell
   * which. Not from the selector thread.
   */
  void submitAndWait(Runnable change) throws InterruptedException {
    CountDownLatch made = new CountDownLatch(1);
    submit(
        () -> {
          try {
            change.run();
          } finally {
            made.countDown(); // the event loop logs a failure; the caller must not wait forever
          }
        });
    made.await();
  }

  /** Makes all changes that were submitted. On the selector thread. */
  void runAll() {
    Runnable change = changes.poll();
    while (change != null) {
      change.run();
      change = changes.poll();
    }
  }
}
