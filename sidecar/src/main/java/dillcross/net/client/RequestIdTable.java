package dillcross.net.client;

import dillcross.net.http.HeaderNames;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.function.LongSupplier;

/**
 * The {@link HeaderNames#REQUEST_ID ids} of requests that may have run and must not run again, for
 * {@link #RETENTION_US} each. The memory may be shared by two processes that serve the same clients
 * while one replaces the other: each entry is one 64-bit word, claimed by compare-and-set, so that
 * one process at most gets an id. The size is fixed; where entries compete for their slots, the
 * oldest one goes.
 *
 * <p>A word holds 40 bits of the id's hash and 24 bits of the time at which it expires, in ticks; 0
 * stands for an empty slot.
 */
public final class RequestIdTable {
  /** The size of the memory of a table. */
  public static final int BYTES = 64 << 10;

  private static final long RETENTION_US = 60_000_000;
  private static final int SLOTS = BYTES / Long.BYTES;
  private static final int MAX_PROBES = 16;
  private static final int TICK_SHIFT = 16; // a tick is 65.5 ms
  private static final int TICK_BITS = 24;
  private static final long TICK_MASK = (1L << TICK_BITS) - 1;
  private static final long RETENTION_TICKS = RETENTION_US >> TICK_SHIFT;

  private final RequestIdWords words;
  private final LongSupplier clock;
  private final MessageDigest digest;

  private RequestIdTable(RequestIdWords words, LongSupplier clock) {
    this.words = words;
    this.clock = clock;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Creates a table in memory that no other process shares. */
  public static RequestIdTable unshared(LongSupplier clock) {
    return new RequestIdTable(RequestIdWords.onHeap(SLOTS), clock);
  }

  /**
   * Creates a table in memory that another process may share.
   *
   * @param memory {@link #BYTES} of direct memory, all 0 or used by another table
   * @param clock gives microseconds, the same in all processes that share the memory, and never
   *     goes back
   */
  public static RequestIdTable shared(ByteBuffer memory, LongSupplier clock) {
    return new RequestIdTable(RequestIdWords.in(memory), clock);
  }

  /** Adds an id; returns false if it is in the table already, and so must not run again. */
  boolean tryAdd(String id) {
    long hash = hash(id);
    long nowTicks = clock.getAsLong() >> TICK_SHIFT;
    while (true) {
      if (find(hash, nowTicks) >= 0) {
        return false;
      }
      int slot = slotToReplace(hash, nowTicks);
      long before = words.get(slot);
      long expiryTicks = (nowTicks + RETENTION_TICKS) & TICK_MASK;
      if (words.compareAndSet(slot, before, hash | expiryTicks)) {
        return true;
      } // else the other process has written there, perhaps the same id
    }
  }

  /** Removes an id, which may run again. */
  void remove(String id) {
    long hash = hash(id);
    int slot = find(hash, clock.getAsLong() >> TICK_SHIFT);
    if (slot >= 0) {
      long before = words.get(slot);
      if (hashOf(before) == hash) {
        words.compareAndSet(slot, before, 0);
      }
    }
  }

  private long hash(String id) {
    byte[] bytes = digest.digest(id.getBytes(StandardCharsets.UTF_8));
    long hash = ByteBuffer.wrap(bytes).getLong() & ~TICK_MASK;
    return hash == 0 ? 1L << TICK_BITS : hash;
  }

  /** The slot of a live entry with this hash; -1 if there is none. */
  private int find(long hash, long nowTicks) {
    for (int probe = 0; probe < MAX_PROBES; probe++) {
      int slot = slot(hash, probe);
      if (hashOf(words.get(slot)) == hash && remainingTicks(words.get(slot), nowTicks) > 0) {
        return slot;
      }
    }
    return -1;
  }

  /** The slot for a new entry: one without a live entry, or else the one that expires first. */
  private int slotToReplace(long hash, long nowTicks) {
    int first = slot(hash, 0);
    for (int probe = 1; probe < MAX_PROBES; probe++) {
      int slot = slot(hash, probe);
      if (remainingTicks(words.get(slot), nowTicks) < remainingTicks(words.get(first), nowTicks)) {
        first = slot;
      }
    }
    return first;
  }

  private static int slot(long hash, int probe) {
    return (int) ((hash >>> TICK_BITS) + probe) & (SLOTS - 1);
  }

  private static long hashOf(long word) {
    return word & ~TICK_MASK;
  }

  /** How long the entry stays; 0 if it has expired, is empty, or is from before a reboot. */
  private static long remainingTicks(long word, long nowTicks) {
    long ticks = ((word & TICK_MASK) - nowTicks) & TICK_MASK;
    return word == 0 || ticks > RETENTION_TICKS ? 0 : ticks;
  }
}
