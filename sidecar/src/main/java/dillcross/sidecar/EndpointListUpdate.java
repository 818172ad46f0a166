package dillcross.sidecar;

import java.util.List;

/**
 * A complete endpoint list, or the entries of it that changed.
 *
 * @param version the discovery service's version of the list; comparable only between lists of one
 *     discovery address
 * @param complete whether endpoints without an entry are removed; if false the entries are changes
 */
public record EndpointListUpdate(long version, boolean complete, List<EndpointEntry> entries) {}
