package dillcross.net;

import dillcross.net.admin.Lifecycle;
import dillcross.net.client.ClientConnections;
import dillcross.sidecar.RequestCoordinator;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Graceful shutdown: stops accepting once new connections have ceased to come, lets all requests be
 * answered, then is done. On the selector thread, but for {@link #isDone} and {@link #await}.
 */
final class ShutdownSequence {
  /** After the order to stop, new connections still come. */
  static final long ACCEPT_US = 500_000;

  private static final long QUIET_US = 150_000; // a request may be on its way to us still

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
   * Goes on with the shutdown.
   *
   * @param isSocketShared whether another process may accept from the listening socket too
   */
  void advance(long nowUs, long maxTimeoutUs, boolean isSocketShared) {
    long elapsedUs = lifecycle.stoppingForUs(nowUs);
    if (isAccepting && (isSocketShared || elapsedUs > ACCEPT_US)) {
      isAccepting = false;
      connections.stopAccepting(isSocketShared);
    }
    if (elapsedUs > ACCEPT_US && isFinished(elapsedUs, maxTimeoutUs)) {
      done.countDown();
    }
  }

  private boolean isFinished(long elapsedUs, long maxTimeoutUs) {
    if (elapsedUs > maxTimeoutUs + ACCEPT_US + QUIET_US) {
      return true;
    }
    return elapsedUs > ACCEPT_US + QUIET_US
        && coordinator.openRequests() == 0
        && connections.areDrained();
  }

  boolean isDone() {
    return done.getCount() == 0;
  }

  /** Waits for the end at most so long; whether it is done. */
  boolean await(long us) throws InterruptedException {
    return done.await(us, TimeUnit.MICROSECONDS);
  }
}
