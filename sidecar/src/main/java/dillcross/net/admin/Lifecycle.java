package dillcross.net.admin;

/**
 * The stage of this process: starting, serving, draining or stopping. Health check, admin endpoint,
 * listener and shutdown all read it here. Times are in microseconds. Belongs to the selector
 * thread.
 */
public final class Lifecycle {
  // From the start of a drain until idle connections close: clients' health checks have failed.
  private static final long DRAIN_NOTICE_US = 1_500_000;
  // After SIGTERM: it must leave the longest deadline for what arrives until then.
  private static final long SHUTDOWN_NOTICE_US = 450_000;
  // Beyond the longest deadline after SIGTERM: by then all requests have their answer.
  private static final long SHUTDOWN_SLACK_US = 600_000;

  private enum Stage {
    STARTING,
    SERVING,
    DRAINING,
    STOPPING
  }

  private Stage stage = Stage.STARTING;
  private boolean isDrainRequested; // also while starting
  private long closeIdleFromUs = Long.MAX_VALUE;
  private long stopUs;

  /** It is warm, and the listening socket is ours to serve. */
  public void markReady(long nowUs) {
    if (stage == Stage.STARTING) {
      stage = Stage.SERVING;
      if (isDrainRequested) {
        drain(nowUs);
      }
    }
  }

  /** Clients are to go elsewhere. What arrives meanwhile is served; a second call does nothing. */
  void drain(long nowUs) {
    isDrainRequested = true;
    if (stage == Stage.SERVING) {
      stage = Stage.DRAINING;
      closeIdleFromUs = nowUs + DRAIN_NOTICE_US;
    }
  }

  /** Ends a drain, if there was one. */
  void resume() {
    isDrainRequested = false;
    if (stage == Stage.DRAINING) {
      stage = Stage.SERVING;
      closeIdleFromUs = Long.MAX_VALUE;
    }
  }

  /** Begins the graceful shutdown; nothing leads back from here. */
  public void stop(long nowUs) {
    if (stage != Stage.STOPPING) {
      stage = Stage.STOPPING;
      stopUs = nowUs;
      closeIdleFromUs = Math.min(closeIdleFromUs, nowUs + SHUTDOWN_NOTICE_US);
    }
  }

  /** Whether new clients are wanted: what the health check says. */
  public boolean isHealthy() {
    return stage == Stage.SERVING;
  }

  /** Whether this process can serve: what the admin endpoint reports as ready. */
  public boolean isReady() {
    return stage == Stage.SERVING || stage == Stage.DRAINING;
  }

  /** Whether each response closes its connection. */
  public boolean closesConnections() {
    return stage == Stage.DRAINING || stage == Stage.STOPPING;
  }

  /** Whether the process stops and takes no new requests. */
  public boolean isStopping() {
    return stage == Stage.STOPPING;
  }

  /** Whether idle connections are closed at once. */
  public boolean closesIdleConnections(long nowUs) {
    return nowUs >= closeIdleFromUs;
  }

  /**
   * Limits a request's timeout during shutdown, so that it is answered before the process exits.
   */
  public long limitTimeout(long timeoutUs, long maxTimeoutUs, long nowUs) {
    if (!isStopping()) {
      return timeoutUs;
    }
    long untilEndUs = stopUs + maxTimeoutUs + SHUTDOWN_SLACK_US - nowUs;
    return Math.max(1, Math.min(timeoutUs, untilEndUs));
  }

  /** Time since the shutdown began, in microseconds. */
  public long stoppingForUs(long nowUs) {
    return nowUs - stopUs;
  }
}
