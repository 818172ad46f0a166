package dillcross.membership;

/**
 * A token bucket that limits the bytes sent. It can be overdrawn, as packets other than replies are
 * sent even while it is empty.
 */
final class SendBudget {
  private static final double MICROS_PER_SECOND = 1e6;

  private final double bytesPerUs;
  private double availableBytes;
  private long refilledAtUs;

  /** Starts with the bytes of one second. */
  SendBudget(long bytesPerSecond, long nowUs) {
    bytesPerUs = bytesPerSecond / MICROS_PER_SECOND;
    availableBytes = bytesPerSecond;
    refilledAtUs = nowUs;
  }

  /** Adds the bytes that have accrued since the last refill, up to those of one second. */
  void refill(long nowUs) {
    double accrued = (nowUs - refilledAtUs) * bytesPerUs;
    availableBytes = Math.min(MICROS_PER_SECOND * bytesPerUs, availableBytes + accrued);
    refilledAtUs = nowUs;
  }

  /** The bytes that may be sent now; negative while the budget is overdrawn. */
  double availableBytes() {
    return availableBytes;
  }

  void spend(int bytes) {
    availableBytes -= bytes;
  }
}
