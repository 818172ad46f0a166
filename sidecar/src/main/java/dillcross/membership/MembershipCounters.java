package dillcross.membership;

/**
 * An immutable snapshot of what one {@link Membership} has counted since its start.
 *
 * @param sent packets sent
 * @param bytes bytes of the packets sent
 * @param received packets received
 * @param probes probes that this member started for itself
 * @param unanswered probes of its own that failed, directly and indirectly
 * @param suspicions members that this member came to suspect by its own probes
 * @param deaths suspects that this member declared dead
 * @param refutations times that this member refuted a record of itself as suspect, dead or left
 * @param pauses times that this process was found to have been paused or starved
 * @param collisions times that another process was found to have this member's name
 * @param refusedMembers new members refused because the table was full of live ones
 * @param suppressedReplies replies and relayed probes refused, mostly for want of byte budget
 */
public record MembershipCounters(
    long sent,
    long bytes,
    long received,
    long probes,
    long unanswered,
    long suspicions,
    long deaths,
    long refutations,
    long pauses,
    long collisions,
    long refusedMembers,
    long suppressedReplies) {}
