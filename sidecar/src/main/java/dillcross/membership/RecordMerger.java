package dillcross.membership;

import java.util.Optional;
import java.util.function.Consumer;

/** Merges what is heard of members into the table, by SWIM's incarnations and suspicion. */
final class RecordMerger {
  private static final long MAX_COUNTER = 1L << 60; // boots and incarnations beyond are ignored

  private final MemberTable table;
  private final GossipQueue gossip;
  private final SuspicionTimeout suspicion;
  private final Consumer<String> onJoined;
  private LocalMember local; // set once, as it merges records too
  private long now;

  /** {@code onJoined} is called with the name of each new member. */
  RecordMerger(
      MemberTable table,
      GossipQueue gossip,
      SuspicionTimeout suspicion,
      Consumer<String> onJoined) {
    this.table = table;
    this.gossip = gossip;
    this.suspicion = suspicion;
    this.onJoined = onJoined;
  }

  void setLocal(LocalMember newLocal) {
    local = newLocal;
  }

  void setNow(long nowUs) {
    now = nowUs;
  }

  void merge(MemberRecord record) {
    if (record.boot() > MAX_COUNTER || record.incarnation() > MAX_COUNTER) {
      return;
    }
    if (record.name().equals(local.self().name())) {
      local.onRecord(record);
      return;
    }
    MemberEntry entry = table.find(record.name());
    if (entry == null) {
      addNew(record);
    } else if (record.supersedes(entry.record)) {
      if (record.boot() != entry.record.boot()) {
        entry.payloads.clear();
      }
      update(entry, record);
    } else if (isConfirmation(entry, record) && entry.accusers.add(record.suspectedBy())) {
      entry.deadUs = entry.suspectedUs + suspicion.afterUs(entry.accusers.size() - 1);
      gossip.add(record);
    }
  }

  /** Of the dead only those who knew them keep a record. */
  private void addNew(MemberRecord record) {
    if (record.state().isLive() && makeSpace()) {
      MemberEntry entry = new MemberEntry(record);
      table.add(entry);
      onJoined.accept(record.name());
      update(entry, record);
      table.recountLive();
    }
  }

  private boolean makeSpace() {
    if (!table.isFull()) {
      return true;
    }
    Optional<MemberEntry> oldest = table.oldestGone();
    oldest.ifPresent(this::forget);
    return oldest.isPresent();
  }

  /** Whether another member suspects a suspect in the same incarnation. */
  private static boolean isConfirmation(MemberEntry entry, MemberRecord record) {
    return record.state() == MemberState.SUSPECT
        && entry.record.state() == MemberState.SUSPECT
        && record.isSameIncarnation(entry.record)
        && entry.accusers.size() <= SuspicionTimeout.MAX_CONFIRMATIONS;
  }

  /** The entry holds that record from now on. */
  void update(MemberEntry entry, MemberRecord record) {
    MemberRecord before = entry.record;
    entry.record = record;
    entry.sinceUs = now;
    entry.accusers.clear();
    if (record.state() == MemberState.SUSPECT) {
      entry.accusers.add(record.suspectedBy());
      entry.suspectedUs = now;
      entry.deadUs = now + suspicion.afterUs(0);
    } else if (!record.state().isLive()) {
      entry.payloads.clear();
    }
    gossip.add(record);
    boolean changesLive = before.state().isLive() != record.state().isLive();
    if (changesLive || !before.address().equals(record.address())) {
      table.recountLive();
    }
  }

  void merge(Payload payload) {
    MemberEntry entry = table.find(payload.origin());
    boolean isValid =
        payload.type() >= 0
            && payload.type() < Payload.TYPES
            && payload.bytes().length <= Payload.MAX_BYTES;
    if (entry == null || !isValid || payload.boot() != entry.record.boot()) {
      return;
    }
    Payload last = entry.payloads.get(payload.type());
    if (last == null || payload.supersedes(last)) {
      entry.payloads.put(payload.type(), payload);
      gossip.add(payload);
    }
  }

  void forget(MemberEntry entry) {
    table.remove(entry);
    gossip.forget(entry.record.name());
  }
}
