package dillcross.balancer;

/** Keeps the slow-start state of one endpoint, by which {@link SlowStart} decides. */
final class SlowStartState {
  private long startUs;
  private long successes;
  private long window;
  private int sentInWindow;
  private double rounding;

  /** When the endpoint's slow start began, in microseconds; 0 once the endpoint is warm. */
  long startUs() {
    return startUs;
  }

  boolean isWarm() {
    return startUs == 0;
  }

  /** Number of successful answers since the slow start began. */
  long successes() {
    return successes;
  }

  /**
   * Number of the window in which the endpoint was last considered: time divided by window length.
   */
  long window() {
    return window;
  }

  /** Number of attempts sent in the window of {@link #window}. */
  int sentInWindow() {
    return sentInWindow;
  }

  /**
   * Random number, 0 to 1, drawn for each window, by which a fraction of an attempt in the budget
   * is rounded.
   */
  double rounding() {
    return rounding;
  }

  /** Begins a slow start at {@code newStartUs}; 0 marks the endpoint as warm. */
  void begin(long newStartUs) {
    startUs = newStartUs;
    successes = 0;
  }

  /** Marks the endpoint as warm, because the warm-up time is over. */
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
