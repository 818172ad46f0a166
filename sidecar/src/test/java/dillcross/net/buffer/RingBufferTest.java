package dillcross.net.buffer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RingBufferTest {
  /**
   * If a client disconnects in the iteration in which its response is written, the response is
   * added to a buffer that was released already. The buffer must not take memory from the budget
   * then, because nothing would return it.
   */
  @Test
  void takesNoMemoryAfterItsRelease() {
    MemoryBudget budget = new MemoryBudget(1 << 20);
    RingBuffer buffer = new RingBuffer(1 << 17, budget, MemoryUse.REQUEST_INPUT);
    assertTrue(buffer.add(new byte[50_000]));
    assertTrue(budget.taken() > 0);
    buffer.release();
    assertEquals(0, budget.taken());
    assertFalse(buffer.add(new byte[50_000]), "the buffer does not grow after its release");
    RingBuffer from = new RingBuffer(1 << 17, budget, MemoryUse.REQUEST_INPUT);
    assertTrue(from.add(new byte[100]));
    int free = buffer.freeBytes(1 << 16);
    buffer.moveFrom(from, Math.min(100, free)); // the relay of a streamed body still adds bytes
    from.release();
    assertEquals(0, budget.taken());
  }

  @Test
  void returnsMemoryWhenItIsEmptied() {
    MemoryBudget budget = new MemoryBudget(1 << 20);
    RingBuffer buffer = new RingBuffer(1 << 17, budget, MemoryUse.REQUEST_INPUT);
    for (int i = 0; i < 3; i++) {
      assertTrue(buffer.add(new byte[60_000]));
      buffer.skip(60_000);
      assertEquals(0, budget.taken());
    }
  }

  /**
   * Bytes are added and removed in pieces of random sizes; they keep their order, and the buffer
   * never holds more than its maximum.
   */
  @Test
  void keepsOrderAndLimit() {
    Random random = new Random(4);
    RingBuffer buffer = new RingBuffer(1 << 12, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    int in = 0;
    int out = 0;
    for (int step = 0; step < 20_000; step++) {
      byte[] piece = new byte[random.nextInt(700)];
      for (int i = 0; i < piece.length; i++) {
        piece[i] = (byte) (in + i);
      }
      boolean fits = buffer.size() + piece.length <= 1 << 12;
      assertEquals(fits, buffer.add(piece));
      in += fits ? piece.length : 0;
      int count = random.nextInt(buffer.size() + 1);
      byte[] got = new byte[count];
      byte[] want = new byte[count];
      buffer.copyTo(0, got, 0, count);
      for (int i = 0; i < count; i++) {
        want[i] = (byte) (out + i);
      }
      assertArrayEquals(want, got);
      buffer.skip(count);
      out += count;
    }
    assertFalse(buffer.add(new byte[5000]));
  }

  /**
   * While the memory budget is used up, the buffer of a streamed body can't grow. It accepts bytes
   * again in the space that it has, once bytes are removed.
   */
  @Test
  void acceptsBytesAgainOnceItIsEmptied() {
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(0), MemoryUse.REQUEST_INPUT);
    assertTrue(buffer.add(new byte[1024]));
    assertFalse(buffer.add(new byte[1]));
    assertTrue(buffer.isFull() && buffer.freeBytes(1 << 16) == 0);
    buffer.skip(1000);
    assertFalse(buffer.isFull());
    assertEquals(1000, buffer.freeBytes(1 << 16));
  }

  /**
   * The budget that all buffers share limits large messages; messages of up to 1 KiB always fit.
   */
  @Test
  void sharesABudgetWithOtherBuffers() {
    MemoryBudget budget = new MemoryBudget(200_000); // requests may take half of it
    RingBuffer first = new RingBuffer(1 << 17, budget, MemoryUse.REQUEST_INPUT);
    RingBuffer second = new RingBuffer(1 << 17, budget, MemoryUse.REQUEST_INPUT);
    assertTrue(first.add(new byte[60_000]));
    assertFalse(second.add(new byte[60_000]));
    assertTrue(second.isStarved());
    assertTrue(second.add(new byte[1000]));
    assertFalse(
        second.isStarved(), "a small request after a large one would be rejected otherwise");
    first.skip(60_000);
    assertTrue(second.add(new byte[60_000]));
    second.release();
    first.release();
    assertEquals(0, budget.taken(), "all memory was returned");
  }
}
