package dillcross.net;

import dillcross.net.connection.InboundRequest;
import dillcross.net.endpoint.AttemptExecutor;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpRequest;
import dillcross.sidecar.NetworkCommand;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * Warms the process up before the first client comes: it requests its own health, over real sockets
 * and through every part. The responses belong to no request, so the coordinator passes them over.
 * On the selector thread, but for {@link #isDone} and {@link #await}.
 */
final class WarmUpProbe {
  private static final long MAX_DURATION_US = 1_000_000;
  private static final int REQUESTS_PER_ITERATION = 4;

  private final AttemptExecutor attempts;
  private final int requestCount;
  private final CountDownLatch done = new CountDownLatch(1);
  private String address; // null where there is none to send to
  private String path;
  private boolean isStarted;
  private long sent;

  WarmUpProbe(AttemptExecutor attempts, int requestCount) {
    this.attempts = attempts;
    this.requestCount = requestCount;
  }

  /** Has the requests sent from now on; {@code address} is null where there is none to send to. */
  void start(String newAddress, String newPath) {
    address = newAddress;
    path = newPath;
    isStarted = true;
  }

  /** Whether it was started and is not done. */
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
   * Sends the next requests once the last are answered.
   *
   * @param mayFinish whether the process may become ready
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

  private void send(long nowUs) {
    HttpRequest request = HttpRequest.get(path, Map.of(HeaderNames.HOST, address));
    InboundRequest content = new InboundRequest(request, null);
    sent++;
    attempts.start(
        new NetworkCommand.SendAttempt(
            -sent, 0, null, address, address, content, nowUs + MAX_DURATION_US));
  }
}
