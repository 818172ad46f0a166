package dillcross.balancer;

/** Keeps the slow start of one endpoint. {@link SlowStart} decides by it. */
final class SlowStartState {
  private long startUs;
  private long successes;
  private long window;
  private int sentInWindow;
  private double rounding;

  /** When its slow start counts as begun, in microseconds; 0 once it is warm. */
  long startUs() {
    return startUs;
  }

  boolean isWarm() {
    return startUs == 0;
  }

  /** Successful answers since the slow start began. */
  long successes() {
    return successes;
  }

  /** Number of the current window. */
  long window() {
    return window;
  }

  /** Attempts sent in the current window. */
  int sentInWindow() {
    return sentInWindow;
  }

  /** Drawn for each window, 0 to 1: how a fraction of an attempt in the budget is rounded. */
  double rounding() {
    return rounding;
  }

  /** Begins a slow start; at 0 the endpoint is warm. */
  void begin(long newStartUs) {
    startUs = newStartUs;
    successes = 0;
  }

  /** The warm-up time is over. */
  void end() {
    startUs = 0;
  }

  void openWindow(long newWindow, double newRounding) {
    window = newWindow;
    sentInWindow = 0;
    rounding = newRounding;
  }

  void recordSent() {
    sentInWindow++;
  }

  void recordSuccess() {
    successes++;
  }
}
