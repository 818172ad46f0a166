package dillcross.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Bytes of one connection in one direction. Starts small, which is free, and doubles up to a limit
 * while the budget of all rings has room.
 */
final class Ring {
  private static final int FIRST = 1 << 10;
  private final int most;
  private final Budget budget;
  private boolean starved; // it could not grow when it last had to
  private byte[] bytes = new byte[FIRST];
  private int head; // of the first byte
  private int size;
  private boolean over; // its connection is closed
  private boolean kept; // its room: a body flows through, and would grow it anew with every read

  /** {@code most} is a power of two. */
  Ring(int most, Budget budget) {
    this.most = most;
    this.budget = budget;
  }

  int size() {
    return size;
  }

  /** Nothing more fits in. */
  boolean full() {
    return size == most || starved;
  }

  boolean starved() {
    return starved;
  }

  /**
   * Gives its room back for good: what an answer or a body still puts in must not take room again,
   * as none would give that back.
   */
  void free() {
    shrink();
    over = true;
  }

  private void shrink() {
    budget.giveBack(bytes.length - FIRST);
    bytes = new byte[FIRST];
    head = 0;
    size = 0;
  }

  byte at(int index) {
    return bytes[(head + index) & (bytes.length - 1)];
  }

  void skip(int count) {
    head = (head + count) & (bytes.length - 1);
    size -= count;
    starved &= count == 0; // there is room again: what flows must not stand still for it
    if (size == 0) {
      head = 0;
      if (bytes.length > 8 * FIRST && !kept) {
        shrink(); // one large message must not cost for ever
      }
    }
  }

  void keep(boolean now) {
    kept = now;
    skip(0);
  }

  /** How many bytes more fit in, up to a window; it grows for them where the budget has room. */
  int room(int window) {
    int want = Math.min(window, most);
    if (bytes.length < want) {
      grow(want);
      starved = false; // it goes on with the room it has
    }
    return Math.max(0, Math.min(want, bytes.length) - size);
  }

  /** Moves so many bytes over from the head of another, for which there is {@link #room}. */
  void pull(Ring from, int count) {
    for (int left = count; left > 0; ) {
      int end = (head + size) & (bytes.length - 1);
      int part = Math.min(left, Math.min(bytes.length - end, from.bytes.length - from.head));
      System.arraycopy(from.bytes, from.head, bytes, end, part);
      size += part;
      left -= part;
      from.skip(part);
    }
  }

  /** Copies bytes out and leaves them in. */
  void copy(int from, byte[] to, int at, int count) {
    int start = (head + from) & (bytes.length - 1);
    int first = Math.min(count, bytes.length - start);
    System.arraycopy(bytes, start, to, at, first);
    System.arraycopy(bytes, 0, to, at + first, count - first);
  }

  /**
   * Makes room for so many bytes more, at once and not step by step; false where it would pass the
   * limit.
   */
  boolean fits(int more) {
    return size + more <= most && grow(size + more);
  }

  /** False where it would pass the limit; then nothing is taken. */
  boolean add(byte[] from) {
    if (!fits(from.length)) {
      return false;
    }
    int end = (head + size) & (bytes.length - 1);
    int first = Math.min(from.length, bytes.length - end);
    System.arraycopy(from, 0, bytes, end, first);
    System.arraycopy(from, first, bytes, 0, from.length - first);
    size += from.length;
    return true;
  }

  /** The first run of bytes without a break, for writing; it stays in until skipped. */
  ByteBuffer run() {
    return ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head)).slice();
  }

  /**
   * Reads what there is room for in a window, up to where nothing more has come: true where that is
   * the end. A short read is no sign that nothing is behind it: a client that has gone is to be
   * seen before what it asked for goes further.
   */
  boolean read(Wire from, int window) throws IOException {
    int limit = Math.min(window, most);
    int got = 1;
    while (got > 0 && size < limit && grow(size + 1)) {
      int end = (head + size) & (bytes.length - 1);
      int space = end < head ? head - end : bytes.length - end;
      got = from.read(ByteBuffer.wrap(bytes, end, space));
      size += Math.max(0, got);
    }
    return got < 0;
  }

  private boolean grow(int need) {
    starved = false;
    if (need > bytes.length) {
      int length = Integer.highestOneBit(need - 1) * 2;
      starved = over || !budget.take(length - bytes.length);
      if (starved) {
        return false;
      }
      byte[] larger = new byte[length];
      copy(0, larger, 0, size);
      bytes = larger;
      head = 0;
    }
    return true;
  }
}
