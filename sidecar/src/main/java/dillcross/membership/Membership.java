package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Which other members live: SWIM's probes, suspicion and incarnations with Lifeguard's local
 * health, without leader or consensus. No I/O, no clock, no threads. Inputs carry the time in
 * microseconds of one clock that never goes back; then pull {@link #next} until it is null and send
 * each packet. {@link #nextDueUs} says when {@link #onTime} is wanted again; called much later, it
 * takes itself for paused. docs/membership.md has the protocol and its bounds.
 */
public final class Membership {
  private static final int DIGEST_INTERVALS = 10; // between two digests
  private static final int RECONNECT_INTERVALS = 4; // between two tries to reach one who was lost
  private static final int DEAD_INTERVALS = 600; // that the dead are remembered
  private static final double START_JITTER = 0.2; // of an interval: all may start at once

  private final MembershipSettings settings;
  private final Random random;
  private final MembershipCounters counters = new MembershipCounters();
  private final GossipQueue gossip = new GossipQueue();
  private final LocalHealth health = new LocalHealth();
  private final MemberTable table;
  private final RecordMerger merger;
  private final LocalMember local;
  private final Outbox outbox;
  private final FailureDetector detector;
  private final AntiEntropy antiEntropy;
  private final Reconnector reconnector;
  private long now;
  private long expectedUs = Long.MAX_VALUE; // when we asked to be called
  private long probeUs;
  private long digestUs;
  private long reconnectUs;
  private boolean hasLeft;

  /**
   * A member that knows no others yet.
   *
   * @param seed of all that is drawn by chance
   * @param self its own record, in incarnation 0
   */
  public Membership(long seed, long nowUs, MemberRecord self, MembershipSettings settings) {
    this.settings = settings;
    random = new Random(seed);
    table = new MemberTable(settings.maxMembers(), counters);
    ArrayDeque<String> probeRound = new ArrayDeque<>();
    SuspicionTimeout suspicion = new SuspicionTimeout(settings.intervalUs(), table, health);
    merger = new RecordMerger(table, gossip, suspicion, probeRound::add);
    local = new LocalMember(self, gossip, health, counters, merger::merge);
    merger.setLocal(local);
    outbox = new Outbox(settings, local::self, table, gossip, counters, nowUs);
    detector =
        new FailureDetector(
            settings, random, table, local, health, merger, outbox, counters, probeRound);
    antiEntropy = new AntiEntropy(settings, table, local, outbox);
    reconnector = new Reconnector(settings, random, table, local, outbox);
    now = nowUs;
    long intervalUs = settings.intervalUs();
    probeUs = nowUs + (long) (START_JITTER * intervalUs * random.nextDouble());
    digestUs = probeUs + DIGEST_INTERVALS * intervalUs;
    reconnectUs = probeUs;
  }

  // Inputs

  /** A packet has arrived. */
  public void onPacket(long nowUs, Packet packet) {
    advanceTo(nowUs);
    counters.received++;
    if (hasLeft || isOwnPacket(packet.sender())) {
      return;
    }
    boolean wasAlone = table.liveCount() == 0;
    merger.merge(packet.sender());
    packet.records().forEach(merger::merge);
    packet.payloads().forEach(merger::merge);
    handle(packet);
    if (wasAlone && table.liveCount() > 0) { // the first that we hear of: we want what it holds
      outbox.sendDigest(packet.sender().address(), antiEntropy.digest());
    }
  }

  private boolean isOwnPacket(MemberRecord sender) {
    MemberRecord self = local.self();
    return sender.name().equals(self.name())
        && sender.boot() == self.boot()
        && sender.address().equals(self.address());
  }

  private void handle(Packet packet) {
    String sender = packet.sender().address();
    switch (packet.kind()) {
      case PING -> {
        Optional<MemberRecord> contradiction = table.contradiction(packet.sender());
        List<MemberRecord> records = contradiction.map(List::of).orElse(List.of());
        outbox.reply(sender, Packet.Kind.ACK, packet.sequence(), null, records);
      }
      case PING_REQUEST -> detector.onPingRequest(packet, now);
      case ACK -> detector.onAck(packet);
      case NACK -> detector.onNack(packet);
      case DIGEST, DELTA -> antiEntropy.onDigest(sender, packet);
    }
  }

  /** Time has passed. */
  public void onTime(long nowUs) {
    advanceTo(nowUs);
    if (hasLeft) {
      expectedUs = Long.MAX_VALUE;
      return;
    }
    detector.expire(now);
    expireMembers();
    long intervalUs = settings.intervalUs();
    if (now >= probeUs) {
      double jitter = 0.9 + 0.2 * random.nextDouble();
      probeUs = now + (long) (intervalUs * (1 + health.multiplier()) * jitter);
      detector.probeNext(now);
    }
    if (now >= reconnectUs) {
      int intervals = table.liveCount() == 0 ? 1 : RECONNECT_INTERVALS;
      reconnectUs = now + (long) (intervalUs * intervals * (0.5 + random.nextDouble()));
      reconnector.contactLost();
    }
    if (now >= digestUs) {
      digestUs = now + (long) (DIGEST_INTERVALS * intervalUs * (0.5 + random.nextDouble()));
      sendDigest();
    }
    expectedUs = nextTimerUs();
  }

  private void expireMembers() {
    for (MemberEntry entry : List.copyOf(table.all())) {
      if (entry.record.state() == MemberState.SUSPECT && now >= entry.deadUs) {
        counters.deaths++;
        merger.update(entry, entry.record.withState(MemberState.DEAD, ""));
      } else if (!entry.isLive() && now - entry.sinceUs >= deadKeptUs()) {
        merger.forget(entry);
      }
    }
  }

  private long deadKeptUs() {
    return DEAD_INTERVALS * settings.intervalUs();
  }

  private void sendDigest() {
    List<MemberRecord> others = table.liveRecords();
    if (!others.isEmpty()) {
      MemberRecord other = others.get(random.nextInt(others.size()));
      outbox.sendDigest(other.address(), antiEntropy.digest());
    }
  }

  /** Says good-bye to some, who gossip it. Nothing is answered from here on. */
  public void leave(long nowUs) {
    advanceTo(nowUs);
    if (hasLeft) {
      return;
    }
    local.markLeft();
    List<MemberRecord> others = new ArrayList<>(table.liveRecords());
    Collections.shuffle(others, random);
    others.stream()
        .limit(2 * FailureDetector.HELPERS)
        .forEach(other -> outbox.send(other.address(), Packet.Kind.ACK, 0, null, List.of()));
    hasLeft = true;
  }

  /**
   * Gossips a message of another part; it takes the place of the last one of its type.
   *
   * @throws IllegalArgumentException if the type or the size is out of range, see {@link Payload}
   */
  public void publish(long nowUs, int type, byte[] bytes) {
    advanceTo(nowUs);
    if (type < 0 || type >= Payload.TYPES || bytes.length > Payload.MAX_BYTES) {
      throw new IllegalArgumentException("type " + type + " of " + bytes.length + " bytes");
    }
    local.publish(type, bytes);
  }

  // Outputs

  /** The next packet to send; null if there is none. */
  public OutboundPacket next() {
    return outbox.poll();
  }

  /** When {@link #onTime} has to be called at the latest, by the clock of the inputs. */
  public long nextDueUs() {
    boolean isUnscheduled = expectedUs == Long.MAX_VALUE && !hasLeft;
    return outbox.isEmpty() && !isUnscheduled ? expectedUs : now;
  }

  /** Our own record. */
  public MemberRecord self() {
    return local.self();
  }

  /** All others that are held, in the order in which they were first heard of. */
  public List<Member> members() {
    return table.all().stream().map(entry -> new Member(entry.record, entry.sinceUs)).toList();
  }

  /** How many others are alive or suspect. */
  public int liveCount() {
    return table.liveCount();
  }

  /** Whether a live member is at that address. */
  public boolean hasLiveAddress(String address) {
    return table.hasLiveAddress(address);
  }

  /** The newest payload of that type from another; empty where there is none. */
  public Optional<Payload> payload(String origin, int type) {
    MemberEntry entry = table.find(origin);
    return entry == null ? Optional.empty() : Optional.ofNullable(entry.payloads.get(type));
  }

  /** 0 is well; each more makes our own verdicts slower by as much again. */
  public int localHealth() {
    return health.multiplier();
  }

  /** What was counted since the start. */
  public MembershipCounters counters() {
    return counters;
  }

  // Time

  private void advanceTo(long nowUs) {
    now = Math.max(now, nowUs);
    merger.setNow(now);
    long lateUs = expectedUs == Long.MAX_VALUE ? 0 : now - expectedUs;
    if (lateUs > settings.timeoutUs() / 2) {
      onPause(lateUs);
    }
    outbox.refill(now);
  }

  /**
   * A process that was paused or starved finds all its timers run out at once. What it did not hear
   * meanwhile says nothing of others, so all that waits for an answer waits on, and it judges
   * slowly for a while. Guards too against a clock that is told late.
   */
  private void onPause(long lateUs) {
    counters.pauses++;
    health.worsen(1 + (int) (lateUs / settings.intervalUs()));
    detector.dropOwnProbes();
    table.all().forEach(entry -> entry.deadUs += lateUs + settings.intervalUs());
    probeUs = now + (long) (settings.intervalUs() * random.nextDouble());
    expectedUs = now;
  }

  private long nextTimerUs() {
    long dueUs = Math.min(probeUs, Math.min(digestUs, reconnectUs));
    dueUs = Math.min(dueUs, detector.nextDueUs().orElse(Long.MAX_VALUE));
    for (MemberEntry entry : table.all()) {
      if (entry.record.state() == MemberState.SUSPECT) {
        dueUs = Math.min(dueUs, entry.deadUs);
      }
    }
    return dueUs;
  }
}
