package dillcross.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** This process's own record and payloads, and the refutation of wrong records about it. */
final class LocalMember {
  /** How a received record with this member's name was handled. */
  enum Resolution {
    /** The record was refuted, or needs no refutation. */
    HANDLED,
    /** The record is about another process, which keeps the name; this member took another. */
    NAME_YIELDED
  }

  private static final String COLLISION_MARK = "~"; // between the old name and the added suffix
  private static final long SUFFIX_MASK = 0xffffffL; // the last six hexadecimal digits of the boot

  private final GossipQueue gossip;
  private final LocalHealth health;
  private final MembershipMetrics metrics;
  private final Map<Integer, Payload> payloads = new TreeMap<>(); // by type
  private MemberRecord self;

  LocalMember(
      MemberRecord self, GossipQueue gossip, LocalHealth health, MembershipMetrics metrics) {
    this.self = self;
    this.gossip = gossip;
    this.health = health;
    this.metrics = metrics;
    gossip.add(self);
  }

  MemberRecord self() {
    return self;
  }

  /** This member's payloads, in the order of their types. */
  Collection<Payload> payloads() {
    return Collections.unmodifiableCollection(payloads.values());
  }

  /** Publishes a payload, which replaces this member's last payload of that type. */
  void publish(int type, byte[] bytes) {
    Payload last = payloads.get(type);
    long version = last == null ? 1 : last.version() + 1;
    Payload next = new Payload(self.name(), self.boot(), type, version, bytes.clone());
    payloads.put(type, next);
    gossip.add(next);
  }

  /** Marks this member as left. */
  void leave() {
    self = self.withState(MemberState.LEFT, MemberRecord.NOT_SUSPECTED);
  }

  /** Handles a record with this member's name: refutes it, or gives up the name. */
  Resolution onRecord(MemberRecord record) {
    boolean isSameAddress = record.address().equals(self.address());
    if (record.boot() == self.boot() && isSameAddress) {
      onOwnRecord(record);
    } else if (isOlder(record, isSameAddress)) {
      gossip.add(self); // supersedes the record, which is about an earlier process of this name
    } else if (isSameAddress || !record.state().isLive()) {
      raise(record.boot() + 1, 0); // supersedes a record made before the wall clock went back
    } else {
      yieldName();
      return Resolution.NAME_YIELDED;
    }
    return Resolution.HANDLED;
  }

  private void onOwnRecord(MemberRecord record) {
    if (record.state() != MemberState.ALIVE && record.incarnation() >= self.incarnation()) {
      metrics.onRefutation();
      health.worsen(1);
      raise(self.boot(), record.incarnation() + 1);
    } else if (record.incarnation() > self.incarnation()) {
      raise(self.boot(), record.incarnation());
    }
  }

  private boolean isOlder(MemberRecord record, boolean isSameAddress) {
    if (record.boot() != self.boot()) {
      return record.boot() < self.boot();
    }
    return !isSameAddress && record.address().compareTo(self.address()) < 0;
  }

  /** Of two processes with one name, the one with the smaller boot continues under another name. */
  private void yieldName() {
    metrics.onNameCollision();
    String suffix = Long.toHexString(self.boot() & SUFFIX_MASK);
    String baseName = self.name().replaceAll(COLLISION_MARK + ".*", "");
    String name = baseName + COLLISION_MARK + suffix;
    replaceSelf(name, self.boot(), self.incarnation() + 1);
    payloads.values().forEach(gossip::add);
  }

  /** Gives this member's record a greater boot or incarnation, so that it supersedes others. */
  private void raise(long boot, long incarnation) {
    replaceSelf(self.name(), boot, incarnation);
  }

  private void replaceSelf(String name, long boot, long incarnation) {
    self =
        new MemberRecord(
            name,
            self.address(),
            self.zone(),
            boot,
            incarnation,
            self.state(),
            MemberRecord.NOT_SUSPECTED);
    payloads.replaceAll(
        (type, payload) -> new Payload(name, boot, type, payload.version(), payload.bytes()));
    gossip.add(self);
  }
}
