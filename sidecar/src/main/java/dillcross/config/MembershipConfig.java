package dillcross.config;

import dillcross.membership.MembershipSettings;

/**
 * The operators' table {@code [membership]}.
 *
 * @param fleet members of other fleets are ignored
 * @param name of this member
 * @param zone of this member; empty for none
 * @param bind where datagrams are received; port 0 for any
 * @param advertise the address that others are told; empty for what was bound
 * @param settings the bounds and times of the protocol
 */
public record MembershipConfig(
    String fleet,
    String name,
    String zone,
    String bind,
    String advertise,
    MembershipSettings settings) {}
