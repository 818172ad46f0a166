package dillcross.net;

import dillcross.net.connection.InboundRequest;
import dillcross.net.endpoint.AttemptExecutor;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpRequest;
import dillcross.sidecar.NetworkCommand;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * Warms up the process before the first client connects, by requests to its own health check or
 * admin endpoint, over real sockets and through all of the network code. The responses belong to no
 * open request, so the coordinator ignores them. Belongs to the selector thread; {@link #isDone}
 * and {@link #await} may be called from any thread.
 */
final class WarmUpProbe {
  private static final long MAX_DURATION_US = 1_000_000;
  private static final int REQUESTS_PER_ITERATION = 4;

  private final AttemptExecutor attempts;
  private final int requestCount; // how many requests to send
  private final CountDownLatch done = new CountDownLatch(1);
  private String address; // null if there is none, so that no requests are sent
  private String path;
  private boolean isStarted;
  private long sent; // requests so far

  WarmUpProbe(AttemptExecutor attempts, int requestCount) {
    this.attempts = attempts;
    this.requestCount = requestCount;
  }

  /**
   * Starts the warm-up: {@link #advance} sends requests for the path to the address from now on. If
   * the address is null no requests are sent.
   */
  void start(String newAddress, String newPath) {
    address = newAddress;
    path = newPath;
    isStarted = true;
  }

  /** Whether the warm-up has started and is not done. */
  boolean isRunning() {
    return isStarted && !isDone();
  }

  boolean isDone() {
    return done.getCount() == 0;
  }

  void await() throws InterruptedException {
    done.await();
  }

  /**
   * Sends the next requests once the last ones are answered.
   *
   * @param elapsedUs the time since the process started, in microseconds
   * @param mayFinish whether the process may become ready; while false, no requests are sent either
   */
  void advance(long nowUs, long elapsedUs, boolean mayFinish) {
    boolean isEnough = sent >= requestCount || elapsedUs > MAX_DURATION_US || address == null;
    if ((!isEnough && attempts.inFlight() > 0) || !mayFinish) {
      return;
    }
    if (isEnough) {
      attempts.closeConnections(address);
      done.countDown();
      return;
    }
    for (int i = 0; i < REQUESTS_PER_ITERATION; i++) {
      send(nowUs);
    }
  }

  /**
   * Sends one request. Its id is negative, so that it differs from the id of every open request.
   */
  private void send(long nowUs) {
    HttpRequest request = HttpRequest.get(path, Map.of(HeaderNames.HOST, address));
    InboundRequest content = new InboundRequest(request);
    sent++;
    attempts.start(
        new NetworkCommand.SendAttempt(
            -sent, 0, null, address, address, content, nowUs + MAX_DURATION_US));
  }
}
