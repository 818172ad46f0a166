package dillcross.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * SWIM's failure detector: a direct ping, then an indirect probe through other members (helpers),
 * then a suspicion. Probes that this member relays for others run here too; they share the series
 * of sequence numbers.
 */
final class FailureDetector {
  private static final int MAX_RELAYED_PROBES = 64;
  private static final double PROBE_DEADLINE_FRACTION = 0.85; // of the probe interval

  private final MembershipSettings settings;
  private final MemberTable table;
  private final ProbeTargets targets;
  private final LocalHealth health;
  private final RecordMerger merger;
  private final Outbox outbox;
  private final MembershipMetrics metrics;
  private final Map<Long, Probe> probes = new LinkedHashMap<>(); // by sequence number
  private long lastSequence;

  FailureDetector(
      MembershipSettings settings,
      MemberTable table,
      ProbeTargets targets,
      LocalHealth health,
      RecordMerger merger,
      Outbox outbox,
      MembershipMetrics metrics) {
    this.settings = settings;
    this.table = table;
    this.targets = targets;
    this.health = health;
    this.merger = merger;
    this.outbox = outbox;
    this.metrics = metrics;
  }

  /** Probes the next member of the round; does nothing while no other member is live. */
  void probeNext(long nowUs) {
    targets.next().ifPresent(target -> probe(target, nowUs));
  }

  private void probe(MemberRecord target, long nowUs) {
    metrics.onProbe();
    int timeoutFactor = health.timeoutFactor();
    long indirectAtUs = nowUs + settings.timeoutUs() * timeoutFactor;
    long durationUs = ((long) (PROBE_DEADLINE_FRACTION * settings.intervalUs())) * timeoutFactor;
    long deadlineUs = Math.max(nowUs + durationUs, indirectAtUs + settings.timeoutUs());
    start(Probe.own(target, indirectAtUs, deadlineUs));
  }

  private void start(Probe probe) {
    lastSequence++;
    probes.put(lastSequence, probe);
    ping(probe.target(), lastSequence);
  }

  /** Pings the target. If it is suspect, the ping carries its record, for it to refute. */
  private void ping(MemberRecord target, long sequence) {
    boolean isAlive = target.state() == MemberState.ALIVE;
    List<MemberRecord> records = isAlive ? List.of() : List.of(target);
    outbox.sendPing(target.address(), sequence, records);
  }

  /** Starts indirect probes that are due and ends probes that have failed. */
  void expire(long nowUs) {
    for (long sequence : List.copyOf(probes.keySet())) {
      Probe probe = probes.get(sequence);
      if (probe.isIndirectDue(nowUs)) {
        probeIndirectly(sequence, probe);
      }
      if (probe.isExpired(nowUs)) {
        probes.remove(sequence);
        onFailed(probe, nowUs);
      }
    }
  }

  private void probeIndirectly(long sequence, Probe probe) {
    List<MemberRecord> helpers = targets.helpersFor(probe.target());
    probe.onIndirect(helpers.size());
    for (MemberRecord helper : helpers) {
      outbox.sendPingRequest(helper.address(), sequence, probe.target());
    }
    ping(probe.target(), sequence); // repeated, in case only the first ping was lost
  }

  private void onFailed(Probe probe, long nowUs) {
    if (!probe.isOwn()) {
      outbox.replyNack(probe.requesterAddress(), probe.requesterSequence());
      return;
    }
    metrics.onProbeFailed();
    health.worsen(probe.healthPenalty());
    merger.suspect(probe.target(), nowUs);
  }

  /**
   * Probes a target on behalf of the sender, unless {@link #MAX_RELAYED_PROBES} are in progress or
   * the byte budget is overdrawn.
   */
  void onPingRequest(Packet packet, long nowUs) {
    long relayed = probes.values().stream().filter(probe -> !probe.isOwn()).count();
    if (packet.target() == null || relayed >= MAX_RELAYED_PROBES || !outbox.hasBudget()) {
      metrics.onReplySuppressed();
      return;
    }
    start(Probe.relayed(packet, nowUs + settings.timeoutUs()));
  }

  /**
   * Ends the probe that the packet answers. An answer that is late, or that comes from another
   * member at the same address, is ignored.
   */
  void onAck(Packet packet) {
    Probe probe = probes.get(packet.sequence());
    if (probe == null || !isAnsweredBy(packet, probe)) {
      return;
    }
    probes.remove(packet.sequence());
    if (probe.isOwn()) {
      health.improve();
    } else {
      relayAck(packet, probe);
    }
  }

  /**
   * Tells the requester that the target answered, with the target's record: its incarnation proves
   * to the requester that the target is alive.
   */
  private void relayAck(Packet packet, Probe probe) {
    List<MemberRecord> records =
        table.find(probe.target().name()).map(MemberEntry::record).stream().toList();
    outbox.replyRelayedAck(
        probe.requesterAddress(), probe.requesterSequence(), packet.sender(), records);
  }

  private static boolean isAnsweredBy(Packet packet, Probe probe) {
    if (packet.sender().name().equals(probe.target().name())) {
      return true;
    }
    return probe.isOwn() && probe.isIndirect() && isAnsweredByHelper(packet, probe.target());
  }

  private static boolean isAnsweredByHelper(Packet packet, MemberRecord target) {
    return packet.target() != null
        && packet.target().name().equals(target.name())
        && packet.target().boot() >= target.boot();
  }

  /** Handles a helper's NACK: the helper did not reach the target, but answered this member. */
  void onNack(Packet packet) {
    Probe probe = probes.get(packet.sequence());
    if (probe != null && probe.isOwn()) {
      probe.onNack();
    }
  }

  /**
   * Ends this member's own probes without suspecting their targets: after a pause, the answers may
   * have been lost in this process.
   */
  void dropOwnProbes() {
    probes.values().removeIf(Probe::isOwn);
  }

  /**
   * The time in microseconds at which {@link #expire} next has a probe to handle; empty while no
   * probe is in progress.
   */
  OptionalLong nextDueUs() {
    return probes.values().stream().mapToLong(Probe::nextDueUs).min();
  }
}
