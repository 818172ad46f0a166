package dillcross.balancer;

/** What {@link SlowStart} keeps of one endpoint. Plain state. */
final class SlowStartState {
  /** Counts as started then; 0 once it is warm. */
  long startUs;

  long successes;

  /** Number of the current window. */
  long window;

  int sentInWindow;

  /** Drawn for each window: how the fraction of an attempt in the budget is rounded. */
  double rounding;
}
