package dillcross.net;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/**
 * Runs other threads' changes to the server's state on the selector thread, the only thread that
 * may modify it.
 */
final class ChangeQueue {
  private final Queue<Runnable> changes = new ConcurrentLinkedQueue<>();
  private final Runnable wakeUp;

  /** Creates an empty queue; {@code wakeUp} makes the event loop run an iteration. */
  ChangeQueue(Runnable wakeUp) {
    this.wakeUp = wakeUp;
  }

  /**
   * Makes the selector thread run the change after it has handled the events of an event-loop
   * iteration. May be called from any thread.
   */
  void submit(Runnable change) {
    changes.add(change);
    wakeUp.run();
  }

  /**
   * Submits the change as {@link #submit} does, and waits until it has run or has thrown; the
   * caller can't tell which, but the event loop logs a failure. Must not be called from the
   * selector thread, which would wait for itself.
   */
  void submitAndWait(Runnable change) throws InterruptedException {
    CountDownLatch made = new CountDownLatch(1);
    submit(
        () -> {
          try {
            change.run();
          } finally {
            made.countDown(); // also after a failure, or the caller would wait forever
          }
        });
    made.await();
  }

  /** Runs all changes that were submitted. Called on the selector thread. */
  void runAll() {
    Runnable change = changes.poll();
    while (change != null) {
      change.run();
      change = changes.poll();
    }
  }
}
