package dillcross.model;

/**
 * A tenant and its quota.
 *
 * @param name unique; requests carry it
 * @param quotaPerSecond requests per second over all sidecars; 0 for no quota
 */
public record Tenant(String name, double quotaPerSecond) {}
