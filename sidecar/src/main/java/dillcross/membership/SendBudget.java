package dillcross.membership;

/**
 * A token bucket of bytes to send. It may be overdrawn, as own probes are sent without regard to
 * it.
 */
final class SendBudget {
  private static final double MICROS_PER_SECOND = 1e6;

  private final double bytesPerUs;
  private double availableBytes;
  private long refilledAtUs;

  /** Starts with one second's worth. */
  SendBudget(long bytesPerSecond, long nowUs) {
    bytesPerUs = bytesPerSecond / MICROS_PER_SECOND;
    availableBytes = bytesPerSecond;
    refilledAtUs = nowUs;
  }

  /** Adds what has accrued since the last time, up to one second's worth. */
  void refill(long nowUs) {
    double accrued = (nowUs - refilledAtUs) * bytesPerUs;
    availableBytes = Math.min(MICROS_PER_SECOND * bytesPerUs, availableBytes + accrued);
    refilledAtUs = nowUs;
  }

  /** Bytes that may be sent now; below 0 while it is overdrawn. */
  double availableBytes() {
    return availableBytes;
  }

  void spend(int bytes) {
    availableBytes -= bytes;
  }
}
