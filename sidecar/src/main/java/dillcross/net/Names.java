package dillcross.net;

/** Names of the protocol's fields, in lower case; they are known in this package only. */
final class Names {
  static final String ID = "request-id";
  static final String TIMEOUT = "request-timeout-ms";
  static final String KEY = "idempotency-key";
  static final String REPEAT = "client-retry";
  static final String NOT_STARTED = "not-started";
  static final String RETRY_AFTER = "retry-after";
  static final String LOAD = "server-load";
  static final String TENANT = "tenant";
  static final String HEALTH_PATH = "/healthz";
  static final String READY_PATH = "/-/ready";
  static final String DRAIN_PATH = "/-/drain";
  static final String MEMBERS_PATH = "/-/members";
  static final String RESUME_PATH = "/-/resume";

  private Names() {}
}
