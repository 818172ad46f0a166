package dillcross.balancer;

import dillcross.model.DiscoveryPolicy;
import java.util.Random;

/**
 * Decides when to call discovery for the endpoint list: after a random delay at the start, so that
 * sidecars do not call together, and with exponential backoff and jitter after failures.
 */
final class DiscoverySchedule {
  private static final double START_SPREAD_PER_SIDECAR_US = 10_000;
  private static final long FIRST_BACKOFF_US = 500_000;
  private static final int MAX_DOUBLINGS = 3;

  // Start delays and backoffs are at most pollWithinUs divided by this; leaves time for two more
  // calls.
  private static final int POLL_DIVISOR = 3;

  // Smallest factor of a backoff; the largest is 1 more.
  private static final double MIN_JITTER_FACTOR = 0.5;

  private final Random random;
  private DiscoveryPolicy policy;
  private long dueUs = Long.MAX_VALUE;
  private int failures;

  DiscoverySchedule(Random random) {
    this.random = random;
  }

  void configure(long nowUs, DiscoveryPolicy newPolicy, int instances, boolean hasEndpoints) {
    if (newPolicy.pollRequired() && (policy == null || !policy.pollRequired())) {
      double spread =
          Math.min(
              (double) newPolicy.pollWithinUs() / POLL_DIVISOR,
              START_SPREAD_PER_SIDECAR_US * instances);
      long delayUs = (long) (spread * random.nextDouble());
      // A negative value encodes a delay that starts with the first endpoint list.
      dueUs = hasEndpoints ? nowUs + delayUs : -1 - delayUs;
    }
    if (!newPolicy.pollRequired()) {
      dueUs = Long.MAX_VALUE;
    }
    policy = newPolicy;
  }

  /**
   * Resets the backoff when an endpoint list has arrived. The first list also starts the random
   * initial delay.
   */
  void onList(long nowUs) {
    failures = 0;
    if (dueUs < 0) {
      dueUs = nowUs - dueUs;
    }
  }

  /**
   * Schedules the next call after a failure: with jitter and a backoff of at most a third of the
   * time that the sidecar may go without a poll.
   *
   * @param maxDelayUs the longest backoff before jitter, in microseconds
   */
  void onFailure(long nowUs, long maxDelayUs) {
    long backoffUs =
        Math.min(
            policy.pollWithinUs() / POLL_DIVISOR,
            FIRST_BACKOFF_US << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    dueUs =
        nowUs
            + (long) (Math.min(backoffUs, maxDelayUs) * (MIN_JITTER_FACTOR + random.nextDouble()));
  }

  /** Whether to call discovery now. Returns true once for each call that is due. */
  boolean takeDue(long nowUs) {
    boolean isDue = nowUs >= dueUs;
    if (isDue) {
      dueUs = Long.MAX_VALUE;
    }
    return isDue;
  }

  /** When the next call is due; {@code Long.MAX_VALUE} if none is. */
  long nextDueUs() {
    return dueUs;
  }
}
