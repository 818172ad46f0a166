package dillcross.model;

/** A tenant and the ops a second, over all sidecars, that are within its share. */
public record Tenant(String name, double quotaPerS) {
}
