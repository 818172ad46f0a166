package dillcross.net.admin;

/**
 * The stage of this process: starting, serving, draining or stopping. The health check, the admin
 * endpoint, the listener and the shutdown sequence all read it here. Times are in microseconds.
 * Belongs to the selector thread.
 */
public final class Lifecycle {
  // The time from the start of a drain until idle connections are closed: long enough for clients'
  // health checks to fail first.
  private static final long DRAIN_NOTICE_US = 1_500_000;
  // The time from SIGTERM until idle connections are closed. For a request that arrives at the end
  // of that time, the longest request timeout must still fit in before the process is killed.
  private static final long SHUTDOWN_NOTICE_US = 450_000;
  // All requests are answered within the longest request timeout plus this time after SIGTERM.
  private static final long SHUTDOWN_SLACK_US = 600_000;
  // How long before that a request must have arrived: the time that an endpoint gets for it.
  private static final long ARRIVAL_MARGIN_US = 300_000;

  private enum Stage {
    STARTING,
    SERVING,
    DRAINING,
    STOPPING
  }

  private Stage stage = Stage.STARTING;
  private boolean isDrainRequested; // may be set while the process is starting
  private long closeIdleFromUs = Long.MAX_VALUE; // when idle connections begin to be closed
  private long stopUs; // when the shutdown began

  /**
   * Begins serving: the process has warmed up and accepts clients' connections. Begins a drain if
   * one was requested while the process was starting.
   */
  public void markReady(long nowUs) {
    if (stage == Stage.STARTING) {
      stage = Stage.SERVING;
      if (isDrainRequested) {
        drain(nowUs);
      }
    }
  }

  /**
   * Begins a drain: the health check fails, so that clients go to other sidecars. Requests that
   * arrive during the drain are served. A second call has no effect.
   */
  void drain(long nowUs) {
    isDrainRequested = true;
    if (stage == Stage.SERVING) {
      stage = Stage.DRAINING;
      closeIdleFromUs = nowUs + DRAIN_NOTICE_US;
    }
  }

  /** Ends a drain, or cancels one that was requested while the process was starting. */
  void resume() {
    isDrainRequested = false;
    if (stage == Stage.DRAINING) {
      stage = Stage.SERVING;
      closeIdleFromUs = Long.MAX_VALUE;
    }
  }

  /** Begins the graceful shutdown, which can't be cancelled. */
  public void stop(long nowUs) {
    if (stage != Stage.STOPPING) {
      stage = Stage.STOPPING;
      stopUs = nowUs;
      closeIdleFromUs = Math.min(closeIdleFromUs, nowUs + SHUTDOWN_NOTICE_US);
    }
  }

  /** The result of the health check: whether new clients are wanted. */
  public boolean isHealthy() {
    return stage == Stage.SERVING;
  }

  /** The readiness that the admin endpoint reports: whether this process serves requests. */
  public boolean isReady() {
    return stage == Stage.SERVING || stage == Stage.DRAINING;
  }

  /** Whether connections are closed after their next response. */
  public boolean closesConnections() {
    return stage == Stage.DRAINING || stage == Stage.STOPPING;
  }

  /** Whether the graceful shutdown has begun. */
  public boolean isStopping() {
    return stage == Stage.STOPPING;
  }

  /** Whether idle connections are to be closed at once. */
  public boolean closesIdleConnections(long nowUs) {
    return nowUs >= closeIdleFromUs;
  }

  /**
   * Limits the timeout of a request that arrives during shutdown, so that it is answered before the
   * process exits. Before the shutdown the timeout is unchanged.
   */
  public long limitTimeout(long timeoutUs, long maxTimeoutUs, long nowUs) {
    if (!isStopping()) {
      return timeoutUs;
    }
    return Math.max(1, Math.min(timeoutUs, lastAnswerUs(maxTimeoutUs) - nowUs));
  }

  /**
   * Until when requests are answered during a shutdown: the process may be killed soon after. An
   * answer that has begun by then may go on. Only valid once the shutdown has begun.
   */
  public long lastAnswerUs(long maxTimeoutUs) {
    return stopUs + maxTimeoutUs + SHUTDOWN_SLACK_US;
  }

  /**
   * Until when requests have to arrive completely during a shutdown; others are rejected, because
   * they could not be answered in time. Only valid once the shutdown has begun.
   */
  public long lastArrivalUs(long maxTimeoutUs) {
    return lastAnswerUs(maxTimeoutUs) - ARRIVAL_MARGIN_US;
  }

  /** Whether requests that have not arrived completely are to be rejected. */
  public boolean rejectsIncomplete(long maxTimeoutUs, long nowUs) {
    return isStopping() && nowUs >= lastArrivalUs(maxTimeoutUs);
  }

  /** The time since the shutdown began, in microseconds; only valid once it has begun. */
  public long stoppingForUs(long nowUs) {
    return nowUs - stopUs;
  }
}
