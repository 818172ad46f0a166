package dillcross.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Records and payloads (items) still to be disseminated. Each item is sent several times. Items
 * sent the fewest times go first, and among those the newest. An item replaces an older one on the
 * same subject, so there are never more items than subjects.
 */
final class GossipQueue {
  private static final int MEMBER_RECORD = -1; // in place of a payload type

  private static final Comparator<Item> LEAST_SENT_FIRST =
      Comparator.<Item>comparingInt(item -> item.timesSent)
          .thenComparingLong(item -> -item.sequence);

  private final Map<Subject, Item> bySubject = new HashMap<>();
  private final TreeSet<Item> queue = new TreeSet<>(LEAST_SENT_FIRST);
  private long nextSequence;

  /** The records and payloads taken from the queue for one packet. */
  record Batch(List<MemberRecord> records, List<Payload> payloads) {}

  /**
   * The subject of an item: the record of a member, or its payload of one type.
   *
   * @param member name of the member
   * @param payloadType type of the payload; {@link #MEMBER_RECORD} for the member's record
   */
  private record Subject(String member, int payloadType) {}

  /** A record or a payload, and the number of times that it was sent. */
  private static final class Item {
    private final Subject subject;
    private final MemberRecord record; // null for a payload
    private final Payload payload; // null for a record
    private final long sequence;
    private int timesSent; // a sort key: changed only while the item is not queued

    Item(Subject subject, MemberRecord record, Payload payload, long sequence) {
      this.subject = subject;
      this.record = record;
      this.payload = payload;
      this.sequence = sequence;
    }

    int size() {
      return record == null ? payload.size() : record.size();
    }

    void addTo(Batch batch) {
      if (record == null) {
        batch.payloads().add(payload);
      } else {
        batch.records().add(record);
      }
    }
  }

  void add(MemberRecord record) {
    Subject subject = new Subject(record.name(), MEMBER_RECORD);
    put(new Item(subject, record, null, nextSequence++));
  }

  void add(Payload payload) {
    Subject subject = new Subject(payload.origin(), payload.type());
    put(new Item(subject, null, payload, nextSequence++));
  }

  private void put(Item item) {
    remove(item.subject);
    bySubject.put(item.subject, item);
    queue.add(item);
  }

  /** Removes the record and all payloads of a member. */
  void forget(String name) {
    remove(new Subject(name, MEMBER_RECORD));
    for (int type = 0; type < Payload.TYPES; type++) {
      remove(new Subject(name, type));
    }
  }

  private void remove(Subject subject) {
    Item item = bySubject.remove(subject);
    if (item != null) {
      queue.remove(item);
    }
  }

  /**
   * Takes items that fit into a packet, and drops those that were thereby sent {@code
   * transmissions} times.
   *
   * @param bytes the space left in the packet
   * @param transmissions how often each item is sent in total
   */
  Batch take(int bytes, int transmissions) {
    Batch batch = new Batch(new ArrayList<>(), new ArrayList<>());
    for (Item item : select(bytes)) {
      queue.remove(item);
      item.timesSent++;
      if (item.timesSent < transmissions) {
        queue.add(item);
      } else {
        bySubject.remove(item.subject);
      }
      item.addTo(batch);
    }
    return batch;
  }

  private List<Item> select(int bytes) {
    int remaining = bytes;
    List<Item> selected = new ArrayList<>();
    for (Item item : queue) {
      int size = item.size();
      if (remaining < Payload.MAX_BYTES && size > remaining && !selected.isEmpty()) {
        break; // so little space is left that searching the rest of the queue does not pay
      }
      if (size <= remaining) {
        remaining -= size;
        selected.add(item);
      }
    }
    return selected;
  }
}
