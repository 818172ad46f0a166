package dillcross.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The state of one other member: its record, a running suspicion, and its payloads. */
final class MemberEntry {
  private final Set<String> suspectors = new HashSet<>(); // names of members that suspect this one
  private final Map<Integer, Payload> payloads = new TreeMap<>(); // by type
  private MemberRecord record;
  private long sinceUs;
  private long suspectedAtUs;
  private long suspicionDeadlineUs;

  MemberEntry(MemberRecord record) {
    this.record = record;
  }

  MemberRecord record() {
    return record;
  }

  /** The time at which the record was stored, in microseconds. */
  long sinceUs() {
    return sinceUs;
  }

  boolean isLive() {
    return record.state().isLive();
  }

  boolean isSuspect() {
    return record.state() == MemberState.SUSPECT;
  }

  boolean isDead() {
    return record.state() == MemberState.DEAD;
  }

  /** Replaces the record and ends a running suspicion. */
  void replaceRecord(MemberRecord newRecord, long nowUs) {
    record = newRecord;
    sinceUs = nowUs;
    suspectors.clear();
  }

  /** Starts the suspicion that the stored record states, with a timeout in microseconds. */
  void startSuspicion(long nowUs, long timeoutUs) {
    suspectors.add(record.suspectedBy());
    suspectedAtUs = nowUs;
    suspicionDeadlineUs = nowUs + timeoutUs;
  }

  /** Adds a member that suspects this one too; returns false if that name was added before. */
  boolean confirmSuspicion(String suspector) {
    return suspectors.add(suspector);
  }

  /** The number of members that confirmed the suspicion, without the one that started it. */
  int confirmations() {
    return suspectors.size() - 1;
  }

  /** Changes the timeout of the running suspicion, counted from its start, in microseconds. */
  void changeSuspicionTimeout(long timeoutUs) {
    suspicionDeadlineUs = suspectedAtUs + timeoutUs;
  }

  /** Postpones the end of the running suspicion by {@code byUs} microseconds. */
  void postponeSuspicion(long byUs) {
    suspicionDeadlineUs += byUs;
  }

  /** The end of the suspicion, in microseconds; meaningless unless the member is suspect. */
  long suspicionDeadlineUs() {
    return suspicionDeadlineUs;
  }

  /** Whether the member is suspect and did not refute the suspicion in time. */
  boolean isSuspicionExpired(long nowUs) {
    return isSuspect() && nowUs >= suspicionDeadlineUs;
  }

  /** The payloads of the member, in the order of their types. */
  Collection<Payload> payloads() {
    return Collections.unmodifiableCollection(payloads.values());
  }

  /** The member's payload of that type; empty if none was received. */
  Optional<Payload> payload(int type) {
    return Optional.ofNullable(payloads.get(type));
  }

  /** Stores a payload of the member in place of the last one of that type. */
  void putPayload(Payload payload) {
    payloads.put(payload.type(), payload);
  }

  void clearPayloads() {
    payloads.clear();
  }

  /** An upper bound of the bytes that the record and all payloads take in a datagram. */
  int size() {
    return record.size() + payloads.values().stream().mapToInt(Payload::size).sum();
  }
}
