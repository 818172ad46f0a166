package dillcross.balancer;

import dillcross.model.Tenant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts recent requests by class and tenant, and how many of them were sent. */
final class DemandTracker {
  private static final double FADE_US = 4_000_000;
  private static final double MIN_REQUESTS = 0.1; // bounds the time where nothing arrived

  private final Collection<ClassState> classes;
  private Map<String, DemandCounter> tenants = new HashMap<>();
  private double arrived; // fading
  private double entitled; // of them within the quotas of their tenants
  private long fadedUs;

  DemandTracker(Collection<ClassState> classes) {
    this.classes = classes;
  }

  /** Replaces the tenants; what was counted of those that stay is kept. */
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

  /** Fades all counts, at most once in {@code intervalUs}; whether it did. */
  boolean fadeIfDue(long nowUs, long intervalUs) {
    if (nowUs - fadedUs <= intervalUs) {
      return false;
    }
    double remaining = Math.exp((fadedUs - nowUs) / FADE_US);
    tenants.values().forEach(tenant -> tenant.decay(remaining));
    classes.forEach(requestClass -> requestClass.demand.decay(remaining));
    arrived *= remaining;
    entitled = tenants.isEmpty() ? arrived : 0;
    tenants.values().forEach(tenant -> entitled += tenant.entitled(arrived));
    fadedUs = nowUs;
    return true;
  }

  long lastFadeUs() {
    return fadedUs;
  }

  /** Recent requests, of all classes and tenants; they fade. */
  double recentRequests() {
    return arrived;
  }

  /** How long it takes at the present rate until {@code count} requests have arrived. */
  double timeForRequestsUs(double count) {
    return count / Math.max(MIN_REQUESTS, arrived) * FADE_US;
  }

  double requestsPerSecond() {
    return arrived * Units.MICROS_PER_SECOND / FADE_US;
  }

  /** Counts the request; above 1 where its class and tenant are behind what they may get. */
  double recordArrival(Request request, String tenant) {
    arrived++;
    request.assignTenant(tenants.get(tenant));
    request.classState.demand.recordArrival();
    double need = request.classState.demand.need(arrived);
    if (request.tenant() != null) {
      request.tenant().recordArrival();
      need *= request.tenant().need(entitled); // a burst must not raise the quota it is held to
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
