package dillcross.sidecar;

/** What a timer of the coordinator is for. */
enum TimerKind {
  /** An attempt's own deadline, before that of its request. */
  ATTEMPT_DEADLINE,
  /** The client's deadline. */
  REQUEST_DEADLINE,
  /** The request should have been answered by now. */
  REQUEST_UNANSWERED,
  /** The load balancer asked for it. */
  BALANCER,
  /** The endpoint list is to be watched again. */
  WATCH_ENDPOINTS
}
