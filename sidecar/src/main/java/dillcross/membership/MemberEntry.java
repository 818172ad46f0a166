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
  private final Set<String> suspectors = new HashSet<>(); // names of the members that suspect it
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

  /** When the record was stored, in microseconds. */
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
  void hold(MemberRecord newRecord, long nowUs) {
    record = newRecord;
    sinceUs = nowUs;
    suspectors.clear();
  }

  /** Starts the suspicion that the record names. */
  void startSuspicion(long nowUs, long timeoutUs) {
    suspectors.add(record.suspectedBy());
    suspectedAtUs = nowUs;
    suspicionDeadlineUs = nowUs + timeoutUs;
  }

  /** Adds a member that suspects it too; returns whether that member is a new one. */
  boolean confirmSuspicion(String suspector) {
    return suspectors.add(suspector);
  }

  /** How many members confirmed the suspicion, beside the one that started it. */
  int confirmations() {
    return suspectors.size() - 1;
  }

  /** Changes the timeout of the running suspicion, counted from its start, in microseconds. */
  void changeSuspicionTimeout(long timeoutUs) {
    suspicionDeadlineUs = suspectedAtUs + timeoutUs;
  }

  /** Moves the end of the running suspicion, by microseconds. */
  void postponeSuspicion(long byUs) {
    suspicionDeadlineUs += byUs;
  }

  /** When a suspect is declared dead, in microseconds; meaningless unless it is suspect. */
  long suspicionDeadlineUs() {
    return suspicionDeadlineUs;
  }

  /** Whether it is suspect and did not refute that in time. */
  boolean isSuspicionExpired(long nowUs) {
    return isSuspect() && nowUs >= suspicionDeadlineUs;
  }

  /** Its payloads, in the order of their types. */
  Collection<Payload> payloads() {
    return Collections.unmodifiableCollection(payloads.values());
  }

  /** Its payload of that type; empty where there is none. */
  Optional<Payload> payload(int type) {
    return Optional.ofNullable(payloads.get(type));
  }

  /** Replaces its payload of the same type. */
  void putPayload(Payload payload) {
    payloads.put(payload.type(), payload);
  }

  void clearPayloads() {
    payloads.clear();
  }

  /** Bytes of the record and all payloads in a datagram, at most. */
  int size() {
    return record.size() + payloads.values().stream().mapToInt(Payload::size).sum();
  }
}
