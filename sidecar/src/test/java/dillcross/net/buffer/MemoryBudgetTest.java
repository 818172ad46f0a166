package dillcross.net.buffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Covers who gets memory when it runs short. */
class MemoryBudgetTest {
  private static final int MAX_BYTES = 1 << 20;
  private static final int BUFFER_BYTES = 1 << 16;

  private final MemoryBudget budget = new MemoryBudget(MAX_BYTES);
  private final List<RingBuffer> buffers = new ArrayList<>();

  /** Fills new buffers until one is refused; returns the share of the budget that is taken. */
  private double fill(MemoryUse use) {
    RingBuffer buffer;
    do {
      buffer = new RingBuffer(BUFFER_BYTES, budget, use);
      buffers.add(buffer);
    } while (buffer.add(new byte[BUFFER_BYTES]));
    return budget.taken() / (double) MAX_BYTES;
  }

  private boolean fits(MemoryUse use, int bytes) {
    RingBuffer buffer = new RingBuffer(BUFFER_BYTES, budget, use);
    boolean fits = buffer.add(new byte[bytes]);
    buffer.release();
    return fits;
  }

  /** Guards against: requests that arrive take the memory for answers to earlier requests. */
  @Test
  void keepsMemoryForWhatIsNearerToItsAnswer() {
    assertTrue(fill(MemoryUse.REQUEST_INPUT) <= 0.5);
    assertTrue(fits(MemoryUse.REQUEST_INPUT, 8 << 10), "a small request behind large ones");
    assertTrue(fits(MemoryUse.REQUEST_OUTPUT, BUFFER_BYTES));
    assertTrue(fill(MemoryUse.REQUEST_OUTPUT) <= 0.75);
    assertFalse(fits(MemoryUse.REQUEST_INPUT, 8 << 10));
    assertTrue(fits(MemoryUse.RESPONSE_INPUT, BUFFER_BYTES));
    assertTrue(fill(MemoryUse.RESPONSE_INPUT) <= 0.875);
    assertFalse(budget.isExhausted());
  }

  /** Guards against: an answer that was begun is dropped when all memory is taken. */
  @Test
  void alwaysHasMemoryForAnswers() {
    budget.take(MAX_BYTES);

    assertTrue(budget.isExhausted());
    assertTrue(fits(MemoryUse.RESPONSE_OUTPUT, BUFFER_BYTES));
    assertTrue(fits(MemoryUse.RESPONSE_INPUT, 20 << 10), "the head of a response");
    assertTrue(fits(MemoryUse.REQUEST_OUTPUT, 8 << 10), "the head of a request");
    MemoryHold hold = new MemoryHold(budget);
    assertTrue(hold.tryAddHead(2000), "a usual request is rejected by the listener, with a reason");
    assertFalse(hold.tryAddHead(30_000));
    hold.close();
    assertEquals(MAX_BYTES, budget.taken(), "what was taken beyond the limit is returned");
  }

  /** A streamed body gives its memory back while there is nothing to stream and others need it. */
  @Test
  void emptyBuffersGiveMemoryBackUnlessItIsAmple() {
    RingBuffer buffer = new RingBuffer(BUFFER_BYTES, budget, MemoryUse.RESPONSE_OUTPUT);
    buffer.setKeepsCapacity(true);
    buffer.add(new byte[BUFFER_BYTES]);
    buffer.skip(BUFFER_BYTES);
    assertTrue(budget.taken() > 0);

    budget.take(MAX_BYTES);
    buffer.add(new byte[1]);
    buffer.skip(1);

    assertEquals(MAX_BYTES, budget.taken());
  }

  /**
   * Guards against: memory that is held for a request is taken again after its connection closed.
   */
  @Test
  void holdTakesNothingAfterItsClose() {
    MemoryHold hold = new MemoryHold(budget);
    assertTrue(hold.tryAddHead(1000));
    hold.add(500);
    assertEquals(1500, budget.taken());
    hold.close();
    assertFalse(hold.tryAddHead(1));
    hold.add(1);
    assertEquals(0, budget.taken());
  }
}
