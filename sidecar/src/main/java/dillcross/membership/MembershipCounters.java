package dillcross.membership;

/**
 * An immutable snapshot of the counters of one {@link Membership}, counted from its start.
 *
 * @param sent packets queued for sending
 * @param bytes upper bound of the bytes of those packets
 * @param received packets received
 * @param probes probes that this member started for itself
 * @param unanswered own probes that no answer ended, direct or through a helper
 * @param suspicions suspicions that this member raised after own probes failed
 * @param deaths suspects that this member declared dead
 * @param refutations times that this member refuted a record of itself as suspect, dead or left
 * @param pauses times that this process was found to have been paused or starved
 * @param collisions times that another process was found to have this member's name
 * @param refusedMembers new members refused because the table was full of live members
 * @param suppressedReplies replies not sent and probes not relayed, mostly as the byte budget was
 *     overdrawn
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
