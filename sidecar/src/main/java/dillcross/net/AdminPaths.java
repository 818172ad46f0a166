package dillcross.net;

/** Paths that the sidecar itself serves. */
final class AdminPaths {
  /** Health check, on the clients' address. */
  static final String HEALTH = "/healthz";

  static final String READY = "/-/ready";
  static final String DRAIN = "/-/drain";
  static final String RESUME = "/-/resume";
  static final String MEMBERS = "/-/members";

  private AdminPaths() {}
}
