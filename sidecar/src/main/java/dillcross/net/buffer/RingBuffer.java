package dillcross.net.buffer;

import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Bytes of one connection in one direction. Starts small, which is free, and doubles up to a limit
 * while the memory budget of all buffers allows it.
 */
public final class RingBuffer {
  private static final int INITIAL_BYTES = 1 << 10;
  private static final int MAX_IDLE_BYTES = 8 * INITIAL_BYTES;

  private final int maxBytes;
  private final MemoryBudget budget;
  private byte[] bytes = new byte[INITIAL_BYTES];
  private int head;
  private int size;
  private boolean isStarved;
  private boolean isReleased;
  private boolean keepsCapacity;

  /**
   * An empty buffer.
   *
   * @param maxBytes a power of two
   */
  public RingBuffer(int maxBytes, MemoryBudget budget) {
    this.maxBytes = maxBytes;
    this.budget = budget;
  }

  /** How many bytes it holds. */
  public int size() {
    return size;
  }

  /** Whether nothing more fits in. */
  public boolean isFull() {
    return size == maxBytes || isStarved;
  }

  /** Whether the budget did not let it grow when it last had to. */
  public boolean isStarved() {
    return isStarved;
  }

  /**
   * Returns its memory to the budget for good. What is added later takes none, because it would
   * never be returned.
   */
  public void release() {
    shrink();
    isReleased = true;
  }

  private void shrink() {
    budget.giveBack(bytes.length - INITIAL_BYTES);
    bytes = new byte[INITIAL_BYTES];
    head = 0;
    size = 0;
  }

  /** The byte at an index from the head. */
  public byte at(int index) {
    return bytes[(head + index) & (bytes.length - 1)];
  }

  /** Drops bytes from the head. */
  public void skip(int count) {
    head = (head + count) & (bytes.length - 1);
    size -= count;
    if (count > 0) {
      isStarved = false; // there is space again: a streamed body must not stand still for it
    }
    if (size == 0) {
      head = 0;
      if (bytes.length > MAX_IDLE_BYTES && !keepsCapacity) {
        shrink(); // one large message must not cost for ever
      }
    }
  }

  /** Drops all bytes. */
  public void clear() {
    skip(size);
  }

  /**
   * Sets whether it keeps its memory while empty, as a streamed body would grow it at each read.
   */
  public void setKeepsCapacity(boolean keeps) {
    keepsCapacity = keeps;
    skip(0);
  }

  /** How many more bytes fit in, up to a window; it grows for them where the budget allows it. */
  public int freeBytes(int window) {
    int wanted = Math.min(window, maxBytes);
    if (bytes.length < wanted) {
      grow(wanted);
      isStarved = false; // it goes on with the memory it has
    }
    return Math.max(0, Math.min(wanted, bytes.length) - size);
  }

  /** Moves bytes over from the head of another, for which there are {@link #freeBytes}. */
  public void moveFrom(RingBuffer other, int count) {
    int remaining = count;
    while (remaining > 0) {
      int end = (head + size) & (bytes.length - 1);
      int contiguous = Math.min(bytes.length - end, other.bytes.length - other.head);
      int part = Math.min(remaining, contiguous);
      System.arraycopy(other.bytes, other.head, bytes, end, part);
      size += part;
      remaining -= part;
      other.skip(part);
    }
  }

  /** Copies bytes out, from an index from the head, and leaves them in. */
  public void copyTo(int index, byte[] to, int offset, int count) {
    int start = (head + index) & (bytes.length - 1);
    int first = Math.min(count, bytes.length - start);
    System.arraycopy(bytes, start, to, offset, first);
    System.arraycopy(bytes, 0, to, offset + first, count - first);
  }

  /** Grows for so many more bytes, at once and not step by step; whether they fit in. */
  public boolean ensureSpace(int more) {
    return size + more <= maxBytes && grow(size + more);
  }

  /** Adds all of the bytes if they fit in; whether it did. */
  public boolean add(byte[] from) {
    if (!ensureSpace(from.length)) {
      return false;
    }
    int end = (head + size) & (bytes.length - 1);
    int first = Math.min(from.length, bytes.length - end);
    System.arraycopy(from, 0, bytes, end, first);
    System.arraycopy(from, first, bytes, 0, from.length - first);
    size += from.length;
    return true;
  }

  /** The first contiguous bytes, for writing; they stay in until skipped. */
  public ByteBuffer contiguous() {
    return ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head)).slice();
  }

  /**
   * Reads what fits into a window, up to where nothing more has arrived. A short read is no sign
   * that nothing is behind it: that a client has gone is to be seen before its request is sent.
   *
   * @return whether the stream has ended
   */
  public boolean read(TransportChannel from, int window) throws IOException {
    int limit = Math.min(window, maxBytes);
    int got = 1;
    while (got > 0 && size < limit && grow(size + 1)) {
      int end = (head + size) & (bytes.length - 1);
      int space = end < head ? head - end : bytes.length - end;
      got = from.read(ByteBuffer.wrap(bytes, end, space));
      size += Math.max(0, got);
    }
    return got < 0;
  }

  private boolean grow(int needed) {
    isStarved = false;
    if (needed <= bytes.length) {
      return true;
    }
    int length = Integer.highestOneBit(needed - 1) * 2;
    isStarved = isReleased || !budget.tryTake(length - bytes.length);
    if (isStarved) {
      return false;
    }
    byte[] larger = new byte[length];
    copyTo(0, larger, 0, size);
    bytes = larger;
    head = 0;
    return true;
  }
}
