package dillcross.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * What is still to be gossiped, each item some times, the least sent first and of these the newest.
 * A newer item on the same subject takes the older one's place, so there are no more than subjects.
 */
final class GossipQueue {
  /** A record or a payload, and how often it was sent. */
  private static final class Item {
    final Object subject;
    final Object content;
    final int size;
    final long sequence;
    int timesSent;

    Item(Object subject, Object content, int size, long sequence) {
      this.subject = subject;
      this.content = content;
      this.size = size;
      this.sequence = sequence;
    }
  }

  private static final Comparator<Item> LEAST_SENT_FIRST =
      Comparator.<Item>comparingInt(item -> item.timesSent)
          .thenComparingLong(item -> -item.sequence);

  private final Map<Object, Item> bySubject = new HashMap<>();
  private final TreeSet<Item> queue = new TreeSet<>(LEAST_SENT_FIRST);
  private long nextSequence;

  void add(MemberRecord record) {
    put(record.name(), record, record.size());
  }

  void add(Payload payload) {
    put(List.of(payload.origin(), payload.type()), payload, payload.size());
  }

  private void put(Object subject, Object content, int size) {
    remove(subject);
    Item item = new Item(subject, content, size, nextSequence++);
    bySubject.put(subject, item);
    queue.add(item);
  }

  /** Drops all that is about a member. */
  void forget(String name) {
    remove(name);
    for (int type = 0; type < Payload.TYPES; type++) {
      remove(List.of(name, type));
    }
  }

  private void remove(Object subject) {
    Item item = bySubject.remove(subject);
    if (item != null) {
      queue.remove(item);
    }
  }

  /**
   * Takes what fits into that many bytes; what was sent often enough is dropped.
   *
   * @param times that each item is sent
   */
  void take(int bytes, int times, List<MemberRecord> records, List<Payload> payloads) {
    for (Item item : select(bytes)) {
      queue.remove(item);
      item.timesSent++;
      if (item.timesSent < times) {
        queue.add(item);
      } else {
        bySubject.remove(item.subject);
      }
      if (item.content instanceof MemberRecord record) {
        records.add(record);
      } else {
        payloads.add((Payload) item.content);
      }
    }
  }

  private List<Item> select(int bytes) {
    int remaining = bytes;
    List<Item> selected = new ArrayList<>();
    for (Item item : queue) {
      if (remaining < Payload.MAX_BYTES && item.size > remaining && !selected.isEmpty()) {
        break; // hardly anything fits any more
      }
      if (item.size <= remaining) {
        remaining -= item.size;
        selected.add(item);
      }
    }
    return selected;
  }
}
