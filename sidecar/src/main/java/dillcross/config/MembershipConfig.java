package dillcross.config;

import java.util.List;

/**
 * The operators' table {@code [membership]}.
 *
 * @param fleet members of other fleets are ignored
 * @param name of this member
 * @param zone of this member; empty for none
 * @param bind where datagrams are received; port 0 for any
 * @param advertise the address that others are told; empty for what was bound
 * @param seeds addresses of some others, contacted at the start
 * @param intervalUs between two probes, in microseconds
 * @param timeoutUs of a probe, in microseconds
 * @param maxMembers remembered, the dead among them
 * @param datagramBytes of the largest datagram
 * @param bytesPerSecond sent in the mean, at the most
 */
public record MembershipConfig(
    String fleet,
    String name,
    String zone,
    String bind,
    String advertise,
    List<String> seeds,
    long intervalUs,
    long timeoutUs,
    int maxMembers,
    int datagramBytes,
    long bytesPerSecond) {}
