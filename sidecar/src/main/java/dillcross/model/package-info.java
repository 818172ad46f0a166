/**
 * The types that the load balancer takes and returns: settings, endpoints, outcomes and decisions.
 * All are immutable and may be shared between threads; no component is null. Names of durations and
 * times give their unit, microseconds. The package depends on no other package, and on no key of
 * the configuration file or of a protocol.
 */
package dillcross.model;
