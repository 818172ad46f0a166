package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds packets and queues them for sending. Each packet carries as much gossip as the datagram
 * size and the byte budget allow. Replies are suppressed while the budget is overdrawn; other
 * packets are sent even then.
 */
final class Outbox {
  private static final int GOSSIP_FACTOR = 3; // an item is sent this factor times log2(members)
  private static final long NO_SEQUENCE = 0; // the packet belongs to no probe

  private final MembershipSettings settings;
  private final LocalMember local;
  private final MemberTable table;
  private final GossipQueue gossip;
  private final MembershipMetrics metrics;
  private final SendBudget budget;
  private final ArrayDeque<OutboundPacket> queue = new ArrayDeque<>();

  Outbox(
      MembershipSettings settings,
      LocalMember local,
      MemberTable table,
      GossipQueue gossip,
      MembershipMetrics metrics,
      long nowUs) {
    this.settings = settings;
    this.local = local;
    this.table = table;
    this.gossip = gossip;
    this.metrics = metrics;
    budget = new SendBudget(settings.bytesPerSecond(), nowUs);
  }

  /** Adds the bytes that have accrued since the last call to the byte budget. */
  void refillBudget(long nowUs) {
    budget.refill(nowUs);
  }

  boolean hasBudget() {
    return budget.availableBytes() > 0;
  }

  /** Takes the next packet to send; null if the queue is empty. */
  OutboundPacket poll() {
    return queue.poll();
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Pings a member; {@code records} are about that member, for it to refute. */
  void sendPing(String receiver, long sequence, List<MemberRecord> records) {
    send(receiver, packet(Packet.Kind.PING, sequence, null, records));
  }

  /** Asks a helper to probe the target. */
  void sendPingRequest(String helper, long sequence, MemberRecord target) {
    send(helper, packet(Packet.Kind.PING_REQUEST, sequence, target, List.of()));
  }

  /** Announces that this member leaves, by its own record, which every packet carries. */
  void sendLeave(String receiver) {
    send(receiver, packet(Packet.Kind.ACK, NO_SEQUENCE, null, List.of()));
  }

  /** Sends the digest of this member's table. */
  void sendDigest(String receiver, int[] digest) {
    MemberRecord self = local.self();
    send(
        receiver,
        new Packet(Packet.Kind.DIGEST, NO_SEQUENCE, self, null, digest, List.of(), List.of()));
  }

  /** Answers a ping; {@code records} are about the receiver, for it to refute. */
  void replyAck(String receiver, long sequence, List<MemberRecord> records) {
    reply(receiver, packet(Packet.Kind.ACK, sequence, null, records));
  }

  /** Answers a ping request whose target has answered. */
  void replyRelayedAck(
      String receiver, long sequence, MemberRecord target, List<MemberRecord> records) {
    reply(receiver, packet(Packet.Kind.ACK, sequence, target, records));
  }

  /** Answers a ping request whose target has not answered. */
  void replyNack(String receiver, long sequence) {
    reply(receiver, packet(Packet.Kind.NACK, sequence, null, List.of()));
  }

  private Packet packet(
      Packet.Kind kind, long sequence, MemberRecord target, List<MemberRecord> records) {
    return new Packet(kind, sequence, local.self(), target, Packet.NO_DIGEST, records, List.of());
  }

  private void reply(String receiver, Packet packet) {
    if (hasBudget()) {
      send(receiver, packet);
    } else {
      metrics.onReplySuppressed();
    }
  }

  private void send(String receiver, Packet packet) {
    double allowed = Math.min(settings.datagramBytes(), Math.max(0, budget.availableBytes()));
    int space = Math.max(0, (int) allowed - packet.size());
    GossipQueue.Batch batch = gossip.take(space, transmissionsPerItem());
    sendWithoutGossip(receiver, withGossip(packet, batch));
  }

  /** How often an item is sent; by SWIM's analysis O(log members) reaches nearly all members. */
  private int transmissionsPerItem() {
    int members = table.liveCount() + 1;
    return GOSSIP_FACTOR * (int) Math.ceil(Math.log(members + 1.0) / Math.log(2));
  }

  private static Packet withGossip(Packet packet, GossipQueue.Batch batch) {
    List<MemberRecord> records = new ArrayList<>(packet.records());
    records.addAll(batch.records());
    return new Packet(
        packet.kind(),
        packet.sequence(),
        packet.sender(),
        packet.target(),
        packet.digest(),
        records,
        batch.payloads());
  }

  /** Queues a packet without adding gossip to it. */
  void sendWithoutGossip(String receiver, Packet packet) {
    int size = packet.size();
    budget.spend(size);
    metrics.onPacketSent(size);
    queue.add(new OutboundPacket(receiver, packet));
  }
}
