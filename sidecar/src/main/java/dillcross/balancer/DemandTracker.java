package dillcross.balancer;

import dillcross.model.Tenant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures recent demand: requests by class and tenant, and how many of them were sent. All counts
 * decay exponentially, with a time constant of 4 s.
 */
final class DemandTracker {
  private static final double DECAY_US = 4_000_000;

  // Lower bound of the count by which timeForRequestsUs divides, in case no requests arrive.
  private static final double MIN_REQUESTS = 0.1;

  private final Collection<ClassState> classes;
  private Map<String, DemandCounter> tenants = new HashMap<>();
  private double arrived;
  private double entitled; // part of arrived that is within the quotas of tenants
  private long decayedUs;

  DemandTracker(Collection<ClassState> classes) {
    this.classes = classes;
  }

  /** Replaces the tenants. Tenants that remain keep their counts. */
  void configure(List<Tenant> configured) {
    double quotas = configured.stream().mapToDouble(Tenant::quotaPerSecond).sum();
    Map<String, DemandCounter> before = tenants;
    tenants = new HashMap<>();
    for (Tenant tenant : configured) {
      if (tenant.quotaPerSecond() > 0) {
        DemandCounter counter = before.getOrDefault(tenant.name(), new DemandCounter(0));
        counter.updateQuota(tenant.quotaPerSecond() / quotas);
        tenants.put(tenant.name(), counter);
      }
    }
  }

  /** Decays all counts, at most once in {@code intervalUs}. Returns whether it did. */
  boolean decayIfDue(long nowUs, long intervalUs) {
    if (nowUs - decayedUs <= intervalUs) {
      return false;
    }
    double remaining = Math.exp((decayedUs - nowUs) / DECAY_US);
    tenants.values().forEach(tenant -> tenant.decay(remaining));
    classes.forEach(requestClass -> requestClass.demand.decay(remaining));
    arrived *= remaining;
    entitled = tenants.isEmpty() ? arrived : 0;
    tenants.values().forEach(tenant -> entitled += tenant.entitled(arrived));
    decayedUs = nowUs;
    return true;
  }

  long lastDecayUs() {
    return decayedUs;
  }

  /**
   * Recent requests of all classes and tenants: a count that decays, with a time constant of 4 s.
   */
  double recentRequests() {
    return arrived;
  }

  /** How long {@code count} requests take to arrive at the current rate, in microseconds. */
  double timeForRequestsUs(double count) {
    return count / Math.max(MIN_REQUESTS, arrived) * DECAY_US;
  }

  double requestsPerSecond() {
    return arrived * Units.MICROS_PER_SECOND / DECAY_US;
  }

  /**
   * Counts the request and assigns its tenant.
   *
   * @return the product of {@link DemandCounter#need} of the request's class and tenant: above 1 if
   *     they got less than their quotas
   */
  double recordArrival(Request request, String tenant) {
    arrived++;
    request.assignTenant(tenants.get(tenant));
    request.classState.demand.recordArrival();
    double need = request.classState.demand.need(arrived);
    if (request.tenant() != null) {
      request.tenant().recordArrival();
      // A tenant's burst must not raise the tenant's quota, so entitled changes only when counts
      // decay.
      need *= request.tenant().need(entitled);
    }
    return need;
  }

  void recordSent(Request request) {
    request.classState.demand.recordSent();
    if (request.tenant() != null) {
      request.tenant().recordSent();
    }
  }
}
