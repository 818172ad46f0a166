package dillcross.model;

/**
 * A tenant and its quota.
 *
 * @param name as requests name it
 * @param quotaPerSecond requests a second, over all sidecars; 0 for no quota
 */
public record Tenant(String name, double quotaPerSecond) {}
