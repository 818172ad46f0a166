package dillcross.membership;

/** Counts the events of one membership; {@link #snapshot} copies the counters for readers. */
final class MembershipMetrics {
  private long packetsSent;
  private long bytesSent;
  private long packetsReceived;
  private long probes;
  private long failedProbes;
  private long suspicions;
  private long deaths;
  private long refutations;
  private long pauses;
  private long nameCollisions;
  private long refusedMembers;
  private long suppressedReplies;

  void onPacketSent(int bytes) {
    packetsSent++;
    bytesSent += bytes;
  }

  void onPacketReceived() {
    packetsReceived++;
  }

  void onProbe() {
    probes++;
  }

  void onProbeFailed() {
    failedProbes++;
  }

  void onSuspicion() {
    suspicions++;
  }

  void onDeath() {
    deaths++;
  }

  void onRefutation() {
    refutations++;
  }

  void onPause() {
    pauses++;
  }

  void onNameCollision() {
    nameCollisions++;
  }

  void onMemberRefused() {
    refusedMembers++;
  }

  void onReplySuppressed() {
    suppressedReplies++;
  }

  /** A copy of the present counters. */
  MembershipCounters snapshot() {
    return new MembershipCounters(
        packetsSent,
        bytesSent,
        packetsReceived,
        probes,
        failedProbes,
        suspicions,
        deaths,
        refutations,
        pauses,
        nameCollisions,
        refusedMembers,
        suppressedReplies);
  }
}
