package dillcross.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RingTest {
  /**
   * An answer for a client that closed in the same turn is put into its ring still: nobody would
   * give that room back.
   */
  @Test
  void whatIsClosedTakesNoRoomAgain() {
    Budget budget = new Budget(1 << 20);
    Ring ring = new Ring(1 << 17, budget);
    assertTrue(ring.add(new byte[50_000]));
    assertTrue(budget.taken() > 0);
    ring.free();
    assertEquals(0, budget.taken());
    assertFalse(ring.add(new byte[50_000]), "there is no room in it any more");
    Ring from = new Ring(1 << 17, budget);
    assertTrue(from.add(new byte[100]));
    int room = ring.room(1 << 16);
    ring.pull(from, Math.min(100, room)); // a body that still flows has somewhere to go
    from.free();
    assertEquals(0, budget.taken());
  }

  @Test
  void whatWasLargeOnceGivesItsRoomBackAndMayTakeItAgain() {
    Budget budget = new Budget(1 << 20);
    Ring ring = new Ring(1 << 17, budget);
    for (int i = 0; i < 3; i++) {
      assertTrue(ring.add(new byte[60_000]));
      ring.skip(60_000);
      assertEquals(0, budget.taken());
    }
  }

  /** A client's time begins with its last byte, wherever that waits. */
  @ParameterizedTest
  @CsvSource({
    "100, true, false",
    "69999, true, false",
    "70000, true, true",
    "100, false, false",
    "70000, false, false"
  })
  void theLastByteOfALargeBodyIsKnownToHaveCome(int came, boolean measured, boolean known) {
    Ring ring = new Ring(1 << 17, new Budget(1 << 20));
    Reader reader = new Reader(true, 1 << 10, 1 << 20);
    String head =
        "POST /b HTTP/1.1\r\nHost: a\r\n"
            + (measured
                ? "Content-Length: 70000\r\n\r\n"
                : "Transfer-Encoding: chunked\r\n\r\n11170\r\n");
    ring.add(head.getBytes(StandardCharsets.US_ASCII));
    ring.add(new byte[Math.min(came, 2000)]);
    Message message = reader.read(ring, false);
    assertEquals(came > 1024, message != null && message.rest() != 0);
    ring.add(new byte[came - Math.min(came, 2000)]);
    assertEquals(known, reader.restCame(ring));
  }
}
