package dillcross.membership;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** This process's own record and payloads, and the refutation of what others say of it. */
final class LocalMember {
  private final GossipQueue gossip;
  private final LocalHealth health;
  private final MembershipCounters counters;
  private final Consumer<MemberRecord> mergeOther;
  private final Map<Integer, Payload> payloads = new TreeMap<>();
  private MemberRecord self;

  /** {@code mergeOther} merges the record of another process that has our former name. */
  LocalMember(
      MemberRecord self,
      GossipQueue gossip,
      LocalHealth health,
      MembershipCounters counters,
      Consumer<MemberRecord> mergeOther) {
    this.self = self;
    this.gossip = gossip;
    this.health = health;
    this.counters = counters;
    this.mergeOther = mergeOther;
    gossip.add(self);
  }

  MemberRecord self() {
    return self;
  }

  Map<Integer, Payload> payloads() {
    return payloads;
  }

  /** Takes the place of the last payload of that type. */
  void publish(int type, byte[] bytes) {
    Payload last = payloads.get(type);
    long version = last == null ? 1 : last.version() + 1;
    Payload next = new Payload(self.name(), self.boot(), type, version, bytes.clone());
    payloads.put(type, next);
    gossip.add(next);
  }

  void markLeft() {
    self = self.withState(MemberState.LEFT, "");
  }

  /** What is said of our name. */
  void onRecord(MemberRecord record) {
    boolean isSameAddress = record.address().equals(self.address());
    if (record.boot() == self.boot() && isSameAddress) {
      onOwnRecord(record);
    } else if (isOlder(record, isSameAddress)) {
      gossip.add(self); // it is of the process that had the name before us
    } else if (isSameAddress || !record.state().isLive()) {
      raise(record.boot() + 1, 0); // ourselves, before the wall clock went back
    } else {
      resolveCollision(record);
    }
  }

  private void onOwnRecord(MemberRecord record) {
    if (record.state() != MemberState.ALIVE && record.incarnation() >= self.incarnation()) {
      counters.refutations++;
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

  /** Two processes have the name: who came first, by its own clock, takes another from now on. */
  private void resolveCollision(MemberRecord record) {
    counters.collisions++;
    String suffix = Long.toHexString(self.boot() & 0xffffffL);
    String name = self.name().replaceAll("~.*", "") + "~" + suffix;
    self =
        new MemberRecord(
            name,
            self.address(),
            self.zone(),
            self.boot(),
            self.incarnation() + 1,
            self.state(),
            "");
    gossip.add(self);
    payloads.replaceAll(
        (type, payload) ->
            new Payload(name, payload.boot(), type, payload.version(), payload.bytes()));
    payloads.values().forEach(gossip::add);
    mergeOther.accept(record);
  }

  private void raise(long boot, long incarnation) {
    self =
        new MemberRecord(
            self.name(), self.address(), self.zone(), boot, incarnation, self.state(), "");
    payloads.replaceAll(
        (type, payload) ->
            new Payload(payload.origin(), boot, type, payload.version(), payload.bytes()));
    gossip.add(self);
  }
}
