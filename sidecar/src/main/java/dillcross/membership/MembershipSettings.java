package dillcross.membership;

import java.util.List;

/**
 * The bounds and times of a membership.
 *
 * @param seeds addresses that are contacted until somebody answers, and again when nobody there is
 *     known any more
 * @param intervalUs between two probes, in microseconds
 * @param timeoutUs for an answer until others are asked to probe, in microseconds; less than half
 *     the interval
 * @param maxMembers that are kept, the remembered dead among them
 * @param datagramBytes of the largest packet, the name of the fleet not counted
 * @param bytesPerSecond that are sent in the mean, at the most
 */
public record MembershipSettings(
    List<String> seeds,
    long intervalUs,
    long timeoutUs,
    int maxMembers,
    int datagramBytes,
    long bytesPerSecond) {
  /** Copies the list of seeds. */
  public MembershipSettings {
    seeds = List.copyOf(seeds);
  }
}
