package dillcross.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/**
 * Group membership of a fleet by SWIM with Lifeguard's local health: random probes, indirect
 * probes, suspicions that the suspect can refute by a new incarnation, gossip and anti-entropy.
 * There is no leader and no consensus.
 *
 * <p>Performs no I/O, reads no clock, starts no thread and is not thread-safe. Every input carries
 * the time in microseconds of one clock that never goes back. After an input, take packets by
 * {@link #next} until it returns null, and send them; call {@link #onTime} at {@link #nextDueUs}.
 * docs/membership.md describes the protocol and its bounds.
 */
public final class Membership {
  private static final int MAX_LEAVE_PACKETS = 6;

  private final Random random;
  private final long intervalUs;
  private final MembershipMetrics metrics = new MembershipMetrics();
  private final LocalHealth health = new LocalHealth();
  private final MemberTable table;
  private final LocalMember local;
  private final RecordMerger merger;
  private final MemberExpiry expiry;
  private final Outbox outbox;
  private final FailureDetector detector;
  private final AntiEntropy antiEntropy;
  private final Reconnector reconnector;
  private final PauseDetector pauseDetector;
  private final ProtocolSchedule schedule;
  private long currentUs;
  private boolean hasLeft;

  /**
   * Creates a member that knows no other members yet.
   *
   * @param seed seed of all random choices
   * @param nowUs the present time, in microseconds
   * @param self record of this member, in incarnation 0
   * @param settings timing and bounds of the protocol
   */
  public Membership(long seed, long nowUs, MemberRecord self, MembershipSettings settings) {
    random = new Random(seed);
    intervalUs = settings.intervalUs();
    currentUs = nowUs;
    GossipQueue gossip = new GossipQueue();
    table = new MemberTable(settings.maxMembers());
    local = new LocalMember(self, gossip, health, metrics);
    ProbeTargets targets = new ProbeTargets(table, local, random);
    SuspicionTimeout suspicionTimeout = new SuspicionTimeout(intervalUs, table, health);
    merger = new RecordMerger(table, local, gossip, suspicionTimeout, metrics, targets::add);
    expiry = new MemberExpiry(settings, table, merger);
    outbox = new Outbox(settings, local, table, gossip, metrics, nowUs);
    detector = new FailureDetector(settings, table, targets, health, merger, outbox, metrics);
    antiEntropy = new AntiEntropy(settings, random, table, local, outbox);
    reconnector = new Reconnector(settings, random, table, local, outbox);
    pauseDetector = new PauseDetector(settings.timeoutUs() / 2);
    schedule = new ProtocolSchedule(intervalUs, random, nowUs);
  }

  // Inputs

  /** Handles a packet that has arrived; after {@link #leave} it is only counted. */
  public void onPacket(long nowUs, Packet packet) {
    advanceTo(nowUs);
    metrics.onPacketReceived();
    if (hasLeft || isOwnPacket(packet.sender())) {
      return;
    }
    boolean wasAlone = table.liveCount() == 0;
    merger.merge(packet.sender(), currentUs);
    packet.records().forEach(record -> merger.merge(record, currentUs));
    packet.payloads().forEach(merger::merge);
    handle(packet);
    if (wasAlone && table.liveCount() > 0) { // joined: ask for all members that the sender knows
      antiEntropy.sendDigest(packet.sender().address());
    }
  }

  private boolean isOwnPacket(MemberRecord sender) {
    MemberRecord self = local.self();
    return sender.name().equals(self.name())
        && sender.boot() == self.boot()
        && sender.address().equals(self.address());
  }

  private void handle(Packet packet) {
    switch (packet.kind()) {
      case PING -> onPing(packet);
      case PING_REQUEST -> detector.onPingRequest(packet, currentUs);
      case ACK -> detector.onAck(packet);
      case NACK -> detector.onNack(packet);
      case DIGEST, DELTA -> antiEntropy.onDigest(packet);
    }
  }

  /**
   * Replies with the stored record that supersedes the sender's own, if any, so that the sender can
   * refute it.
   */
  private void onPing(Packet packet) {
    List<MemberRecord> records = table.recordSuperseding(packet.sender()).stream().toList();
    outbox.replyAck(packet.sender().address(), packet.sequence(), records);
  }

  /** Does the periodic work that is due; nothing after {@link #leave}. */
  public void onTime(long nowUs) {
    advanceTo(nowUs);
    if (hasLeft) {
      pauseDetector.expectCall(PauseDetector.NO_CALL);
      return;
    }
    detector.expire(currentUs);
    expiry.expire(currentUs);
    if (schedule.isProbeDue(currentUs)) {
      schedule.scheduleProbe(currentUs, health.timeoutFactor());
      detector.probeNext(currentUs);
    }
    if (schedule.isReconnectDue(currentUs)) {
      schedule.scheduleReconnect(currentUs, table.liveCount() == 0);
      reconnector.pingLost();
    }
    if (schedule.isDigestDue(currentUs)) {
      schedule.scheduleDigest(currentUs);
      antiEntropy.sendDigestToAny();
    }
    pauseDetector.expectCall(nextTimerUs());
  }

  /** Announces to some live members that this one leaves; from then on it ignores packets. */
  public void leave(long nowUs) {
    advanceTo(nowUs);
    if (hasLeft) {
      return;
    }
    local.leave();
    List<MemberRecord> others = new ArrayList<>(table.liveRecords());
    Collections.shuffle(others, random);
    others.stream().limit(MAX_LEAVE_PACKETS).forEach(other -> outbox.sendLeave(other.address()));
    hasLeft = true;
  }

  /**
   * Disseminates a payload of another subsystem to all members. It replaces this member's last
   * payload of that type.
   *
   * @throws IllegalArgumentException if the type or the size is out of range, see {@link Payload}
   */
  public void publish(long nowUs, int type, byte[] bytes) {
    advanceTo(nowUs);
    if (!Payload.isValid(type, bytes.length)) {
      throw new IllegalArgumentException(
          "payload out of range: type " + type + ", " + bytes.length + " bytes");
    }
    local.publish(type, bytes);
  }

  // Outputs

  /** Takes the next packet to send; null if no packet is queued. */
  public OutboundPacket next() {
    return outbox.poll();
  }

  /**
   * The time at which {@link #onTime} has to be called, in microseconds of the inputs' clock;
   * {@link Long#MAX_VALUE} if this member has left and needs no further call.
   */
  public long nextDueUs() {
    long expectedUs = pauseDetector.expectedCallUs();
    boolean isUnscheduled = expectedUs == PauseDetector.NO_CALL && !hasLeft;
    return outbox.isEmpty() && !isUnscheduled ? expectedUs : currentUs;
  }

  /** This member's present record; its name, boot and incarnation may change while it runs. */
  public MemberRecord self() {
    return local.self();
  }

  /** All other members in the table, dead ones included, in the order of their first record. */
  public List<Member> members() {
    return table.all().stream().map(entry -> new Member(entry.record(), entry.sinceUs())).toList();
  }

  /** The number of other members that are alive or suspect. */
  public int liveCount() {
    return table.liveCount();
  }

  /** Whether another live member has that numeric address and port. */
  public boolean hasLiveAddress(String address) {
    return table.hasLiveAddress(address);
  }

  /** The newest payload of that type from another member; empty if none was received. */
  public Optional<Payload> payload(String origin, int type) {
    return table.find(origin).flatMap(entry -> entry.payload(type));
  }

  /** The local health multiplier: 0 is healthy, up to 8; see {@link LocalHealth}. */
  public int localHealth() {
    return health.multiplier();
  }

  /** A snapshot of the counters since the start. */
  public MembershipCounters counters() {
    return metrics.snapshot();
  }

  // Time

  private void advanceTo(long nowUs) {
    currentUs = Math.max(currentUs, nowUs);
    pauseDetector.pauseUs(currentUs).ifPresent(this::onPause);
    outbox.refillBudget(currentUs);
  }

  /**
   * After a pause all timers expire at once, and answers may have been lost here. That says nothing
   * about other members, so own probes end without a verdict, running suspicions are extended, and
   * the local health gets worse for a while.
   */
  private void onPause(long pauseUs) {
    metrics.onPause();
    health.worsen(1 + (int) (pauseUs / intervalUs));
    detector.dropOwnProbes();
    expiry.postponeSuspicions(pauseUs + intervalUs);
    schedule.scheduleProbeAfterPause(currentUs);
    pauseDetector.expectCall(currentUs);
  }

  private long nextTimerUs() {
    long dueUs = schedule.nextDueUs();
    OptionalLong probeDueUs = detector.nextDueUs();
    OptionalLong suspicionDueUs = expiry.nextDueUs();
    dueUs = Math.min(dueUs, probeDueUs.orElse(Long.MAX_VALUE));
    return Math.min(dueUs, suspicionDueUs.orElse(Long.MAX_VALUE));
  }
}
