package dillcross.sidecar;

/** What a timer of the coordinator is for. */
enum TimerKind {
  /** An attempt's own deadline, before that of its request. */
  ATTEMPT_DEADLINE,
  /** The client's deadline for the request. */
  REQUEST_DEADLINE,
  /** A check, shortly after the client's deadline, that the request has been answered. */
  REQUEST_UNANSWERED,
  /** A timer that the load balancer scheduled. */
  BALANCER,
  /** The next watch of the endpoint list. */
  WATCH_ENDPOINTS
}
