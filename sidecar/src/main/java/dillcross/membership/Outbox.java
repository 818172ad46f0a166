package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Packets to send, within a budget of bytes; gossip rides along on each as far as that goes. */
final class Outbox {
  private static final int GOSSIP_FACTOR =
      3; // times the logarithm of the size that an item is sent
  private static final int[] NO_DIGEST = {};
  private static final double MICROS_PER_SECOND = 1e6;

  private final MembershipSettings settings;
  private final Supplier<MemberRecord> self;
  private final MemberTable table;
  private final GossipQueue gossip;
  private final MembershipCounters counters;
  private final ArrayDeque<OutboundPacket> ready = new ArrayDeque<>();
  private final double bytesPerUs;
  private double budget;
  private long refilledUs;

  Outbox(
      MembershipSettings settings,
      Supplier<MemberRecord> self,
      MemberTable table,
      GossipQueue gossip,
      MembershipCounters counters,
      long nowUs) {
    this.settings = settings;
    this.self = self;
    this.table = table;
    this.gossip = gossip;
    this.counters = counters;
    bytesPerUs = settings.bytesPerSecond() / MICROS_PER_SECOND;
    budget = settings.bytesPerSecond();
    refilledUs = nowUs;
  }

  /** Adds what has accrued to the budget; one second's worth at the most. */
  void refill(long nowUs) {
    double accrued = (nowUs - refilledUs) * bytesPerUs;
    budget = Math.min(MICROS_PER_SECOND * bytesPerUs, budget + accrued);
    refilledUs = nowUs;
  }

  boolean hasBudget() {
    return budget > 0;
  }

  /** The next packet to send; null if there is none. */
  OutboundPacket poll() {
    return ready.poll();
  }

  boolean isEmpty() {
    return ready.isEmpty();
  }

  /**
   * Sends a reply; suppressed while others make us send more than we may.
   *
   * @param about null for nobody
   */
  void reply(
      String receiver,
      Packet.Kind kind,
      long sequence,
      MemberRecord about,
      List<MemberRecord> records) {
    if (hasBudget()) {
      send(receiver, kind, sequence, about, NO_DIGEST, records);
    } else {
      counters.suppressedReplies++;
    }
  }

  /** Sends a packet with no digest. */
  void send(
      String receiver,
      Packet.Kind kind,
      long sequence,
      MemberRecord about,
      List<MemberRecord> records) {
    send(receiver, kind, sequence, about, NO_DIGEST, records);
  }

  /** Sends our digest. */
  void sendDigest(String receiver, int[] digest) {
    send(receiver, Packet.Kind.DIGEST, 0, null, digest, List.of());
  }

  private void send(
      String receiver,
      Packet.Kind kind,
      long sequence,
      MemberRecord about,
      int[] digest,
      List<MemberRecord> first) {
    List<MemberRecord> records = new ArrayList<>(first);
    List<Payload> payloads = new ArrayList<>();
    Packet bare = new Packet(kind, sequence, self.get(), about, digest, records, payloads);
    int allowed = (int) Math.min(settings.datagramBytes(), Math.max(0, budget));
    int space = allowed - bare.size();
    int times = GOSSIP_FACTOR * (int) Math.ceil(Math.log(table.liveCount() + 2.0) / Math.log(2));
    gossip.take(Math.max(0, space), times, records, payloads);
    put(receiver, new Packet(kind, sequence, self.get(), about, digest, records, payloads));
  }

  /** Sends a packet as it is. */
  void put(String receiver, Packet packet) {
    int size = packet.size();
    budget -= size;
    counters.sent++;
    counters.bytes += size;
    ready.add(new OutboundPacket(receiver, packet));
  }
}
