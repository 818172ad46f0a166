package dillcross.membership;

import java.util.List;

/**
 * The timing and the bounds of a {@link Membership}.
 *
 * @param seeds numeric addresses and ports that are pinged in order to join, and later each while
 *     no live member is known at it
 * @param intervalUs time between two probes that a healthy member starts, in microseconds
 * @param timeoutUs time without answer from a ping to the indirect probe, in microseconds; less
 *     than half the interval
 * @param maxMembers maximum number of other members in the table, dead ones included
 * @param datagramBytes maximum bytes of a packet, without the name of the fleet
 * @param bytesPerSecond byte budget of sent packets; replies are suppressed while it is overdrawn
 */
public record MembershipSettings(
    List<String> seeds,
    long intervalUs,
    long timeoutUs,
    int maxMembers,
    int datagramBytes,
    long bytesPerSecond) {
  /** Makes an immutable copy of the seeds. */
  public MembershipSettings {
    seeds = List.copyOf(seeds);
  }
}
