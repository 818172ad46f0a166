package dillcross.membership;

import java.util.List;

/**
 * The timing and the bounds of a {@link Membership}.
 *
 * @param seeds numeric addresses and ports that are pinged in order to join; also later, while no
 *     live member is known at them
 * @param intervalUs between two probes of a healthy member, in microseconds
 * @param timeoutUs from a ping without answer to the indirect probe, in microseconds; less than
 *     half the interval
 * @param maxMembers other members in the table, dead ones included
 * @param datagramBytes of the largest packet, without the name of the fleet
 * @param bytesPerSecond the byte budget: replies are suppressed above it
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
