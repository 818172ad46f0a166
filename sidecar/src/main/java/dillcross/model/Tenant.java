package dillcross.model;

/**
 * A tenant and its quota.
 *
 * @param name the unique name that requests carry
 * @param quotaPerSecond the quota in requests per second over all sidecars; 0 for no quota
 */
public record Tenant(String name, double quotaPerSecond) {}
