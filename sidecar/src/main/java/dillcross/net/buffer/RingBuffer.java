package dillcross.net.buffer;

import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A ring buffer for the bytes of one connection in one direction. Starts with 1 KiB, which does not
 * count against the memory budget, and doubles up to a limit as long as the budget that all buffers
 * share allows it.
 */
public final class RingBuffer {
  private static final int INITIAL_BYTES = 1 << 10;
  private static final int MAX_IDLE_BYTES = 8 * INITIAL_BYTES;

  private final int maxBytes;
  private final MemoryBudget budget;
  private final MemoryUse use;
  private byte[] bytes = new byte[INITIAL_BYTES];
  private int head;
  private int size;
  private boolean isStarved;
  private boolean isReleased;
  private boolean keepsCapacity;

  /**
   * Creates an empty buffer.
   *
   * @param maxBytes the most bytes that the buffer can hold; a power of two
   * @param use what the buffer holds, which says how much of the budget it may take
   */
  public RingBuffer(int maxBytes, MemoryBudget budget, MemoryUse use) {
    this.maxBytes = maxBytes;
    this.budget = budget;
    this.use = use;
  }

  /** The number of bytes in the buffer. */
  public int size() {
    return size;
  }

  /**
   * Whether no byte can be added: the buffer holds its maximum, or the budget refused its last
   * growth.
   */
  public boolean isFull() {
    return size == maxBytes || isStarved;
  }

  /** Whether the budget refused the buffer's last growth, and no bytes have been removed since. */
  public boolean isStarved() {
    return isStarved;
  }

  /**
   * Drops all bytes and returns the buffer's memory to the budget. From then on the buffer does not
   * grow beyond its initial size: memory that it took after its connection was closed would never
   * be returned.
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

  /** The byte at {@code index}, counted from the head. */
  public byte at(int index) {
    return bytes[(head + index) & (bytes.length - 1)];
  }

  /** Removes {@code count} bytes from the head. */
  public void skip(int count) {
    head = (head + count) & (bytes.length - 1);
    size -= count;
    if (count > 0) {
      isStarved = false; // there is space again; a streamed body would stall otherwise
    }
    if (size == 0) {
      head = 0;
      if (bytes.length > MAX_IDLE_BYTES && !(keepsCapacity && budget.isAmple())) {
        shrink(); // one large message must not occupy memory for as long as the connection is open
      }
    }
  }

  /** Removes all bytes. */
  public void clear() {
    skip(size);
  }

  /**
   * Sets whether the buffer keeps its memory while it is empty and the budget is ample. Set for a
   * streamed body, for which the buffer would otherwise shrink and grow again at each read.
   */
  public void setKeepsCapacity(boolean keeps) {
    keepsCapacity = keeps;
    skip(0);
  }

  /**
   * Returns how many bytes can be added before the buffer holds {@code window} bytes. The buffer
   * grows for them as far as its maximum and the budget allow.
   */
  public int freeBytes(int window) {
    int wanted = Math.min(window, maxBytes);
    if (bytes.length < wanted) {
      grow(wanted);
      isStarved = false; // a streamed body goes on in the present size if grow failed
    }
    return Math.max(0, Math.min(wanted, bytes.length) - size);
  }

  /**
   * Moves {@code count} bytes from the head of another buffer to the end of this one; at most
   * {@link #freeBytes} may be moved.
   */
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

  /**
   * Copies {@code count} bytes, which begin at {@code index} from the head, into an array; the
   * bytes stay in the buffer.
   */
  public void copyTo(int index, byte[] to, int offset, int count) {
    int start = (head + index) & (bytes.length - 1);
    int first = Math.min(count, bytes.length - start);
    System.arraycopy(bytes, start, to, offset, first);
    System.arraycopy(bytes, 0, to, offset + first, count - first);
  }

  /**
   * Grows in one step to make space for {@code more} bytes; returns false if the buffer's maximum
   * or the budget does not allow it.
   */
  public boolean ensureSpace(int more) {
    return size + more <= maxBytes && grow(size + more);
  }

  /** Adds all of the bytes; returns false, and adds none, if they do not fit. */
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

  /**
   * A view of the bytes from the head to the end of the array, for writing; they stay in the buffer
   * until they are skipped.
   */
  public ByteBuffer contiguous() {
    return ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head)).slice();
  }

  /**
   * Reads until the buffer holds {@code window} bytes or nothing more has arrived. A short read
   * does not end the loop, because the end of the stream may follow it: a client's disconnect has
   * to be seen before its request is sent.
   */
  public ReadEnd read(TransportChannel from, int window) throws IOException {
    int limit = Math.min(window, maxBytes);
    int readCount = 1;
    while (readCount > 0 && size < limit && grow(size + 1)) {
      int end = (head + size) & (bytes.length - 1);
      int space = end < head ? head - end : bytes.length - end;
      readCount = from.read(ByteBuffer.wrap(bytes, end, space));
      size += Math.max(0, readCount);
    }
    if (readCount < 0) {
      return ReadEnd.END_OF_STREAM;
    }
    return readCount == 0 ? ReadEnd.NOTHING_LEFT : ReadEnd.NO_SPACE;
  }

  private boolean grow(int needed) {
    isStarved = false;
    if (needed <= bytes.length) {
      return true;
    }
    int length = Integer.highestOneBit(needed - 1) * 2;
    isStarved = isReleased || !budget.tryGrow(use, bytes.length, length);
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
