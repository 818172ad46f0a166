package dillcross.membership;

import java.util.OptionalLong;

/**
 * Detects that this process was paused or starved, or that the caller's clock jumped ahead: the
 * membership is called much later than the time that it asked for.
 */
final class PauseDetector {
  /** The value of the expected call time while the membership has asked for no call. */
  static final long NO_CALL = Long.MAX_VALUE;

  private final long toleranceUs;
  private long expectedCallUs = NO_CALL;

  /**
   * Counts a call as late after a pause if it is more than {@code toleranceUs} microseconds late.
   */
  PauseDetector(long toleranceUs) {
    this.toleranceUs = toleranceUs;
  }

  /** Sets the time of the next call, in microseconds; {@link #NO_CALL} if none is asked for. */
  void expectCall(long atUs) {
    expectedCallUs = atUs;
  }

  /** The time of the next call, in microseconds; {@link #NO_CALL} if none is asked for. */
  long expectedCallUs() {
    return expectedCallUs;
  }

  /** How late the present call is, in microseconds; empty if within the tolerance. */
  OptionalLong pauseUs(long nowUs) {
    long lateUs = expectedCallUs == NO_CALL ? 0 : nowUs - expectedCallUs;
    return lateUs > toleranceUs ? OptionalLong.of(lateUs) : OptionalLong.empty();
  }
}
