package dillcross.model;

import java.util.List;

/** Load balancer settings for tests, with fixed values for what most tests do not vary. */
public final class TestSettings {
  /** A class of idempotent requests with a latency objective of 400 ms. */
  public static final RequestClass READ =
      new RequestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 400_000, 1, 1);

  private TestSettings() {}

  /**
   * Settings with at most three attempts per request, hedging and cancellation allowed, no tenants
   * and no objective for tail latency.
   */
  public static BalancerSettings of(
      String zone,
      int instanceIndex,
      int instanceCount,
      List<RequestClass> requestClasses,
      DiscoveryPolicy discovery,
      long maxRetryAfterUs) {
    return new BalancerSettings(
        zone,
        instanceIndex,
        instanceCount,
        requestClasses,
        List.of(),
        new SlowStartPolicy(0.3, 1_000_000, 3, 1_000_000),
        new RetryPolicy(3, true, true),
        false,
        discovery,
        maxRetryAfterUs,
        0,
        new ServiceObjective(0, 0));
  }
}
