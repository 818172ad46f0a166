package dillcross.membership;

import java.util.Random;

/**
 * The times at which the next probe, digest and reconnect are due. Each period is jittered, so that
 * members which start together do not stay in step.
 */
final class ProtocolSchedule {
  private static final int DIGEST_INTERVALS = 10; // probe intervals between two digests, on average
  private static final int RECONNECT_INTERVALS = 4; // probe intervals between two reconnects
  private static final double START_JITTER_FRACTION = 0.2; // at most, of the probe interval
  private static final double MIN_PROBE_PERIOD_FACTOR = 0.9;
  private static final double PROBE_JITTER_FRACTION = 0.2;
  private static final double MIN_OTHER_PERIOD_FACTOR = 0.5; // of digests and reconnects; max 1.5

  private final long intervalUs;
  private final Random random;
  private long probeAtUs;
  private long digestAtUs;
  private long reconnectAtUs;

  ProtocolSchedule(long intervalUs, Random random, long nowUs) {
    this.intervalUs = intervalUs;
    this.random = random;
    probeAtUs = nowUs + (long) (START_JITTER_FRACTION * intervalUs * random.nextDouble());
    digestAtUs = probeAtUs + DIGEST_INTERVALS * intervalUs;
    reconnectAtUs = probeAtUs;
  }

  boolean isProbeDue(long nowUs) {
    return nowUs >= probeAtUs;
  }

  /** Schedules the next probe after a jittered interval times {@code timeoutFactor}. */
  void scheduleProbe(long nowUs, int timeoutFactor) {
    double jitter = MIN_PROBE_PERIOD_FACTOR + PROBE_JITTER_FRACTION * random.nextDouble();
    probeAtUs = nowUs + (long) (intervalUs * timeoutFactor * jitter);
  }

  /** Schedules the next probe at a random time within one probe interval. */
  void scheduleProbeAfterPause(long nowUs) {
    probeAtUs = nowUs + (long) (intervalUs * random.nextDouble());
  }

  boolean isReconnectDue(long nowUs) {
    return nowUs >= reconnectAtUs;
  }

  /** Schedules the next reconnect, which is sooner while no other member is live. */
  void scheduleReconnect(long nowUs, boolean isAlone) {
    int intervals = isAlone ? 1 : RECONNECT_INTERVALS;
    reconnectAtUs =
        nowUs + (long) (intervalUs * intervals * (MIN_OTHER_PERIOD_FACTOR + random.nextDouble()));
  }

  boolean isDigestDue(long nowUs) {
    return nowUs >= digestAtUs;
  }

  /** Schedules the next digest. */
  void scheduleDigest(long nowUs) {
    double jitter = MIN_OTHER_PERIOD_FACTOR + random.nextDouble();
    digestAtUs = nowUs + (long) (DIGEST_INTERVALS * intervalUs * jitter);
  }

  /** The time at which the next probe, digest or reconnect is due, in microseconds. */
  long nextDueUs() {
    return Math.min(probeAtUs, Math.min(digestAtUs, reconnectAtUs));
  }
}
