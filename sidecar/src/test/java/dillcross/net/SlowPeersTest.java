package dillcross.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Covers timeouts of connections whose peers take bytes slowly, or take none. The test controls the
 * clock, and how much the kernel holds for each peer.
 */
class SlowPeersTest {
  private static final int SEND_BUFFER_BYTES = 4 << 20;
  private static final int PIECE_BYTES = 6_400; // every 100 ms: 64 kB a second
  private static final int PIECE_INTERVAL_MS = 100;
  private static final int LONG_BODY_BYTES = 12 << 20;
  private static final int UNREAD_TIMEOUT_MS = 20_000;

  private final VirtualSidecar sidecar;

  SlowPeersTest() throws Exception {
    sidecar = new VirtualSidecar();
  }

  /** Guards against: a client that reads all the time is cut off, as its kernel reports late. */
  @Test
  void servesClientThatReadsSlowly() {
    Exchange exchange = exchangeWithLongAnswer(LONG_BODY_BYTES);

    readSlowly(exchange.client(), secondsToRead(LONG_BODY_BYTES - SEND_BUFFER_BYTES));

    assertTrue(exchange.client().isOpen());
    assertTrue(exchange.client().takeWritten().length() > LONG_BODY_BYTES, "it gets the whole");
  }

  /** Guards against: a client that reads nothing holds memory and a descriptor for good. */
  @Test
  void cutsClientThatReadsNothing() {
    Exchange exchange = exchangeWithLongAnswer(LONG_BODY_BYTES);

    sidecar.advance(UNREAD_TIMEOUT_MS - 1000);
    assertTrue(exchange.client().isOpen());
    sidecar.advance(2000);
    assertFalse(exchange.client().isOpen());
    assertFalse(exchange.endpoint().isOpen(), "the endpoint is freed too");
  }

  /** Guards against: a client that goes on sending, but reads nothing, is never cut. */
  @Test
  void cutsClientThatSendsAndReadsNothing() {
    Exchange exchange = exchangeWithLongAnswer(LONG_BODY_BYTES);

    for (int i = 0; i < UNREAD_TIMEOUT_MS / 1000 + 1; i++) {
      exchange.client().receive("G");
      sidecar.advance(1000);
    }

    assertFalse(exchange.client().isOpen());
  }

  private static int secondsToRead(int bytes) {
    return bytes / (PIECE_BYTES * 1000 / PIECE_INTERVAL_MS) + 1;
  }

  private void readSlowly(FakeNetwork.FakeChannel channel, int seconds) {
    for (int i = 0; i < seconds * 1000 / PIECE_INTERVAL_MS; i++) {
      channel.readByPeer(PIECE_BYTES);
      sidecar.advance(PIECE_INTERVAL_MS);
    }
  }

  /** A client that has sent a request, and the endpoint that got it. */
  private record Exchange(FakeNetwork.FakeChannel client, FakeNetwork.FakeChannel endpoint) {}

  /** Begins an exchange whose answer has arrived as far as the sidecar reads it. */
  private Exchange exchangeWithLongAnswer(int bodyBytes) {
    FakeNetwork.FakeChannel client = sidecar.connect();
    client.limitSendBuffer(SEND_BUFFER_BYTES);
    client.receive(sidecar.get());
    FakeNetwork.FakeChannel endpoint = sidecar.connectToEndpoint();
    endpoint.receive(
        "HTTP/1.1 200 x\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes));
    sidecar.advance(PIECE_INTERVAL_MS);
    return new Exchange(client, endpoint);
  }
}
