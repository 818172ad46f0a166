package dillcross.net;

/**
 * Where this process stands, in one place: health, the admin endpoint, the listener and SIGTERM
 * read it here and keep no flags of their own. Only the selector thread touches it.
 */
final class Life {
  private static final long HEARD_US =
      1_500_000; // after a drain began: the front has heard the no, busy clients came back
  private static final long LEAVE_US =
      450_000; // after SIGTERM: it must leave the longest TTL for what comes until then
  private static final long LAST_US =
      600_000; // beyond the longest TTL after SIGTERM: by then all has its answer

  private enum Stage {
    STARTING,
    SERVING,
    DRAINING,
    STOPPING
  }

  private Stage stage = Stage.STARTING;
  private boolean toDrain; // asked for while starting
  private long letGoUs = Long.MAX_VALUE; // from when on no connection is kept that carries nothing
  private long stopUs;

  /** Warm, and the listening socket is ours to serve. */
  void ready(long nowUs) {
    if (stage == Stage.STARTING) {
      stage = Stage.SERVING;
      if (toDrain) {
        drain(nowUs);
      }
    }
  }

  /** Clients are to go elsewhere. What comes meanwhile is served; a second call changes nothing. */
  void drain(long nowUs) {
    toDrain = true;
    if (stage == Stage.SERVING) {
      stage = Stage.DRAINING;
      letGoUs = nowUs + HEARD_US;
    }
  }

  /** The end of a drain, if there was one. */
  void resume() {
    toDrain = false;
    if (stage == Stage.DRAINING) {
      stage = Stage.SERVING;
      letGoUs = Long.MAX_VALUE;
    }
  }

  /** The way out; nothing leads back from here. */
  void stop(long nowUs) {
    if (stage != Stage.STOPPING) {
      stage = Stage.STOPPING;
      stopUs = nowUs;
      letGoUs = Math.min(letGoUs, nowUs + LEAVE_US);
    }
  }

  /** New clients are wanted: what the front is told. */
  boolean healthy() {
    return stage == Stage.SERVING;
  }

  /** This process can serve: what operators are told. */
  boolean able() {
    return stage == Stage.SERVING || stage == Stage.DRAINING;
  }

  /** Each answer closes its connection. */
  boolean leaving() {
    return stage == Stage.DRAINING || stage == Stage.STOPPING;
  }

  boolean stopping() {
    return stage == Stage.STOPPING;
  }

  /** No connection that carries nothing is kept any more. */
  boolean lettingGo(long nowUs) {
    return nowUs >= letGoUs;
  }

  /**
   * Of a TTL, as much as the way out leaves: who brings a request late on a connection that stayed
   * open gets its answer too.
   */
  long within(long ttlUs, long longestUs, long nowUs) {
    return stopping() ? Math.max(1, Math.min(ttlUs, stopUs + longestUs + LAST_US - nowUs)) : ttlUs;
  }

  /** Since it was told to stop. */
  long stoppingForUs(long nowUs) {
    return nowUs - stopUs;
  }
}
