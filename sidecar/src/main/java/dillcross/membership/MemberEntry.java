package dillcross.membership;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What is held of another member. Plain state. */
final class MemberEntry {
  MemberRecord record;
  long sinceUs;

  /** Since when it is suspect. */
  long suspectedUs;

  /** When a suspect is declared dead. */
  long deadUs;

  /** Who suspects it. */
  final Set<String> accusers = new HashSet<>();

  /** Its payloads by type. */
  final Map<Integer, Payload> payloads = new TreeMap<>();

  MemberEntry(MemberRecord record) {
    this.record = record;
  }

  boolean isLive() {
    return record.state().isLive();
  }
}
