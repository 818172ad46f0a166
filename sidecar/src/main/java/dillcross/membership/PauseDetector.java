package dillcross.membership;

import java.util.OptionalLong;

/**
 * Notices that this process was paused or starved, or that the caller's clock jumped ahead: it is
 * called much later than it asked to be.
 */
final class PauseDetector {
  /** No call was asked for. */
  static final long NO_CALL = Long.MAX_VALUE;

  private final long toleranceUs;
  private long expectedCallUs = NO_CALL;

  /** A call more than {@code toleranceUs} microseconds late is a pause. */
  PauseDetector(long toleranceUs) {
    this.toleranceUs = toleranceUs;
  }

  /** A call is asked for at that time, in microseconds; {@link #NO_CALL} for none. */
  void expectCall(long atUs) {
    expectedCallUs = atUs;
  }

  /** When a call was asked for, in microseconds; {@link #NO_CALL} for none. */
  long expectedCallUs() {
    return expectedCallUs;
  }

  /** How late the present call is, in microseconds; empty where there was no pause. */
  OptionalLong pauseUs(long nowUs) {
    long lateUs = expectedCallUs == NO_CALL ? 0 : nowUs - expectedCallUs;
    return lateUs > toleranceUs ? OptionalLong.of(lateUs) : OptionalLong.empty();
  }
}
