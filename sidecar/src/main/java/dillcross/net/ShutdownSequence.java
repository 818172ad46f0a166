package dillcross.net;

import dillcross.net.admin.Lifecycle;
import dillcross.net.client.ClientConnections;
import dillcross.sidecar.RequestCoordinator;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown: accepts connections for another {@link #ACCEPT_US}, or not at all if
 * another process also accepts from the same socket, then stops accepting, and is done once every
 * request is answered and every answer is handed to the network. Requests get their answer in time
 * for the earliest kill, see {@link Lifecycle#lastAnswerUs}; an answer that has begun goes on for
 * as long as its endpoint gives it and its client takes it. Belongs to the selector thread; {@link
 * #isDone} and {@link #await} may be called from any thread.
 */
final class ShutdownSequence {
  /**
   * How long after the start of the shutdown connections are accepted, because clients still open
   * them; in microseconds.
   */
  static final long ACCEPT_US = 500_000;

  // How long the shutdown lasts at least after ACCEPT_US, for requests in transit when accepting
  // stops; in microseconds.
  private static final long QUIET_US = 150_000;

  private final Lifecycle lifecycle;
  private final RequestCoordinator coordinator;
  private final ClientConnections connections;
  private final CountDownLatch done = new CountDownLatch(1);
  private boolean isAccepting = true;

  ShutdownSequence(
      Lifecycle lifecycle, RequestCoordinator coordinator, ClientConnections connections) {
    this.lifecycle = lifecycle;
    this.coordinator = coordinator;
    this.connections = connections;
  }

  /**
   * Continues the shutdown; called in each iteration of the event loop after it has begun.
   *
   * @param maxTimeoutUs the longest timeout that an open request may have
   * @param isSocketShared whether another process may accept from the listening socket too
   */
  void advance(long nowUs, long maxTimeoutUs, boolean isSocketShared) {
    coordinator.limitDeadlines(
        nowUs, lifecycle.lastAnswerUs(maxTimeoutUs), lifecycle.lastArrivalUs(maxTimeoutUs));
    long elapsedUs = lifecycle.stoppingForUs(nowUs);
    if (isAccepting && (isSocketShared || elapsedUs > ACCEPT_US)) {
      isAccepting = false;
      connections.stopAccepting(isSocketShared);
    }
    if (elapsedUs > ACCEPT_US + QUIET_US && isFinished()) {
      done.countDown();
    }
  }

  private boolean isFinished() {
    return coordinator.openRequests() == 0 && connections.areDrained();
  }

  boolean isDone() {
    return done.getCount() == 0;
  }

  /**
   * Waits at most {@code us} microseconds for the end of the shutdown; returns whether it is done.
   */
  boolean await(long us) throws InterruptedException {
    return done.await(us, TimeUnit.MICROSECONDS);
  }
}
