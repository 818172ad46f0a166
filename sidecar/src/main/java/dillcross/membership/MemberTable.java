package dillcross.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** All other members in the table, in the order in which they were added; bounded in size. */
final class MemberTable {
  private final int maxMembers;
  private final Map<String, MemberEntry> entries = new LinkedHashMap<>(); // by name
  private final Set<String> liveAddresses = new HashSet<>();
  private int liveCount;

  MemberTable(int maxMembers) {
    this.maxMembers = maxMembers;
  }

  /** The entry of that name; empty where there is none. */
  Optional<MemberEntry> find(String name) {
    return Optional.ofNullable(entries.get(name));
  }

  Collection<MemberEntry> all() {
    return Collections.unmodifiableCollection(entries.values());
  }

  Collection<String> names() {
    return Collections.unmodifiableCollection(entries.keySet());
  }

  int size() {
    return entries.size();
  }

  void add(MemberEntry entry) {
    entries.put(entry.record().name(), entry);
  }

  void remove(MemberEntry entry) {
    entries.remove(entry.record().name());
  }

  /** Whether it holds as many members as it may. */
  boolean isFull() {
    return entries.size() >= maxMembers;
  }

  /** The member that has been dead or left for the longest; empty where all are live. */
  Optional<MemberEntry> longestNotLive() {
    return entries.values().stream()
        .filter(entry -> !entry.isLive())
        .min(Comparator.comparingLong(MemberEntry::sinceUs));
  }

  /** The records of live members. */
  List<MemberRecord> liveRecords() {
    return entries.values().stream().filter(MemberEntry::isLive).map(MemberEntry::record).toList();
  }

  /** Brings {@link #liveCount} and {@link #hasLiveAddress} up to date with the entries. */
  void recountLive() {
    liveAddresses.clear();
    List<MemberRecord> live = liveRecords();
    live.forEach(record -> liveAddresses.add(record.address()));
    liveCount = live.size();
  }

  int liveCount() {
    return liveCount;
  }

  boolean hasLiveAddress(String address) {
    return liveAddresses.contains(address);
  }

  /**
   * The stored record that supersedes a sender's own, for it to refute; empty where there is none.
   */
  Optional<MemberRecord> newerThan(MemberRecord senderRecord) {
    return find(senderRecord.name())
        .map(MemberEntry::record)
        .filter(held -> held.supersedes(senderRecord));
  }
}
