package dillcross.fleet;

/**
 * What is wrong on the way from some members to others, while it lasts. A cut closes nothing:
 * datagrams vanish.
 *
 * @param from which members' sending it concerns, {@code to} whose hearing
 * @param loss share that vanishes, 1 for a cut
 * @param delayUs added to each, and up to {@code jitterUs} more, by which they overtake each other
 * @param twice share that comes twice
 * @param garbled share with bytes changed
 */
record LinkFault(
    java.util.Set<Integer> from,
    java.util.Set<Integer> to,
    double loss,
    long delayUs,
    long jitterUs,
    double twice,
    double garbled) {
  boolean concerns(int sender, int receiver) {
    return from.contains(sender) && to.contains(receiver);
  }
}
