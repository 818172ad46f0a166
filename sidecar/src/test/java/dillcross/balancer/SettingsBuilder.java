package dillcross.balancer;

import dillcross.model.BalancerSettings;
import dillcross.model.DeduplicationScope;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import dillcross.model.ServiceObjective;
import dillcross.model.SlowStartPolicy;
import dillcross.model.Tenant;
import java.util.List;

/**
 * Builds the settings of a load balancer under test. Unless a test says otherwise it is the first
 * of three sidecars in zone "east", has no tenants and no service objective, and receives its
 * endpoint list by push.
 */
final class SettingsBuilder {
  /** Four attempts a request; hedging and cancelling allowed. */
  static final RetryPolicy DEFAULT_RETRIES = new RetryPolicy(4, true, true);

  /** Four attempts a request, one at a time. */
  static final RetryPolicy WITHOUT_HEDGING = new RetryPolicy(4, false, true);

  /** A starting endpoint has three tenths of its full capacity at first and all of it after 8 s. */
  static final SlowStartPolicy SLOW_START = new SlowStartPolicy(0.3, 8_000_000, 3, 1_500_000);

  /**
   * One class for each rule of idempotency: "read" is idempotent, "once" is not, and the others
   * have an idempotency key that the endpoints of a cell, of a zone, or all endpoints recognise.
   */
  static final List<RequestClass> DEFAULT_CLASSES =
      List.of(
          requestClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
          requestClass("cell", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL),
          requestClass("zone", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE),
          requestClass("any", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL),
          requestClass("once", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));

  /** The latency objective of {@link #DEFAULT_CLASSES}, in microseconds. */
  static final long LATENCY_OBJECTIVE_US = 400_000;

  private static final long DEDUPLICATION_WINDOW_US = 1_000_000;
  private static final long MAX_RETRY_AFTER_US = 1_000_000;
  private static final long POLL_WITHIN_US = 10_000_000;
  private static final double CROSS_ZONE_PRICE = 0.03;

  private String zone = "east";
  private int instanceIndex;
  private int instanceCount = 3;
  private List<RequestClass> requestClasses = DEFAULT_CLASSES;
  private List<Tenant> tenants = List.of();
  private RetryPolicy retries = DEFAULT_RETRIES;
  private ServiceObjective objective = new ServiceObjective(0, 0);
  private boolean pollRequired;
  private boolean keepRemoved;
  private boolean dynamicWeights;

  /** A request class with an objective of 0.4 s and a deduplication window of 1 s. */
  static RequestClass requestClass(String name, Idempotency idempotency, DeduplicationScope scope) {
    return new RequestClass(
        name, idempotency, scope, DEDUPLICATION_WINDOW_US, LATENCY_OBJECTIVE_US, 1, 1);
  }

  /** Places the sidecar in a zone, as one of {@code instanceCount} that share the endpoints. */
  SettingsBuilder instance(String zone, int instanceIndex, int instanceCount) {
    this.zone = zone;
    this.instanceIndex = instanceIndex;
    this.instanceCount = instanceCount;
    return this;
  }

  SettingsBuilder requestClasses(List<RequestClass> requestClasses) {
    this.requestClasses = requestClasses;
    return this;
  }

  /** Sets the tenants that have a quota. */
  SettingsBuilder tenants(Tenant... tenants) {
    this.tenants = List.of(tenants);
    return this;
  }

  SettingsBuilder retries(RetryPolicy retries) {
    this.retries = retries;
    return this;
  }

  /** Sets the objective for tail latency; the default is none. */
  SettingsBuilder objective(ServiceObjective objective) {
    this.objective = objective;
    return this;
  }

  /** Has the load balancer poll for the endpoint list, instead of receiving it by push. */
  SettingsBuilder pollRequired() {
    pollRequired = true;
    return this;
  }

  /** Keeps endpoints in use that discovery removes without draining them first. */
  SettingsBuilder keepRemoved() {
    keepRemoved = true;
    return this;
  }

  /** Sets whether endpoint weights fall with load. */
  SettingsBuilder dynamicWeights(boolean dynamicWeights) {
    this.dynamicWeights = dynamicWeights;
    return this;
  }

  /** A builder for new settings of the same sidecar, with all other settings at their defaults. */
  SettingsBuilder forSameInstance() {
    return new SettingsBuilder().instance(zone, instanceIndex, instanceCount);
  }

  /** The sidecar's number among all sidecars, from 0, from which its seed is derived. */
  int instanceIndex() {
    return instanceIndex;
  }

  /** The settings as described so far. */
  BalancerSettings build() {
    return new BalancerSettings(
        zone,
        instanceIndex,
        instanceCount,
        requestClasses,
        tenants,
        SLOW_START,
        retries,
        false,
        new DiscoveryPolicy(pollRequired, POLL_WITHIN_US, keepRemoved, dynamicWeights),
        MAX_RETRY_AFTER_US,
        CROSS_ZONE_PRICE,
        objective);
  }
}
