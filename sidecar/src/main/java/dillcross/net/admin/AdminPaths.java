package dillcross.net.admin;

/** Paths that the sidecar itself serves. */
public final class AdminPaths {
  /** Health check, on the clients' address. */
  public static final String HEALTH = "/healthz";

  /** Readiness, on the admin address. */
  public static final String READY = "/-/ready";

  static final String DRAIN = "/-/drain";
  static final String RESUME = "/-/resume";
  static final String MEMBERS = "/-/members";
  static final String EVENTS = "/-/events";

  private AdminPaths() {}
}
