package dillcross.fleet;

/**
 * A fault on the datagrams from some members to others. Datagrams are dropped without any error to
 * the sender.
 *
 * @param from the sending members
 * @param to the receiving members
 * @param loss the share of datagrams that are dropped, 0 to 1; 1 for a cut
 * @param delayUs the delay of each datagram, in microseconds
 * @param jitterUs the upper bound of a random extra delay, in microseconds; reorders datagrams
 * @param duplicated the share of datagrams that are delivered twice, 0 to 1
 * @param corrupted the share of datagrams with changed bytes, 0 to 1
 */
record LinkFault(
    java.util.Set<Integer> from,
    java.util.Set<Integer> to,
    double loss,
    long delayUs,
    long jitterUs,
    double duplicated,
    double corrupted) {
  /** True if the fault affects datagrams from this sender to this receiver. */
  boolean appliesTo(int sender, int receiver) {
    return from.contains(sender) && to.contains(receiver);
  }
}
