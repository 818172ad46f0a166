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

/** The other members that this one knows, in the order they were added; bounded in size. */
final class MemberTable {
  private final int maxMembers;
  private final Map<String, MemberEntry> entries = new LinkedHashMap<>(); // by name
  private final Set<String> liveAddresses = new HashSet<>();
  private int liveCount;

  MemberTable(int maxMembers) {
    this.maxMembers = maxMembers;
  }

  /** The entry of the member with that name; empty if the member is unknown. */
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

  /** Whether the table has the maximum number of members. */
  boolean isFull() {
    return entries.size() >= maxMembers;
  }

  /** The member that has been dead or left for the longest; empty if all members are live. */
  Optional<MemberEntry> longestNotLive() {
    return entries.values().stream()
        .filter(entry -> !entry.isLive())
        .min(Comparator.comparingLong(MemberEntry::sinceUs));
  }

  /** The records of all members that are alive or suspect. */
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
   * The stored record that supersedes the one a sender has of itself, for the sender to refute;
   * empty if no stored record does.
   */
  Optional<MemberRecord> recordSuperseding(MemberRecord senderRecord) {
    return find(senderRecord.name())
        .map(MemberEntry::record)
        .filter(stored -> stored.supersedes(senderRecord));
  }
}
