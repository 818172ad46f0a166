/**
 * The plain types that the decision module takes and returns: settings, endpoints, outcomes and
 * decisions. All are immutable and may be shared between threads; none holds null. Durations and
 * times are in microseconds and say so in their names. The package knows no other package, in
 * particular no key of the configuration file or of a protocol.
 */
package dillcross.model;
