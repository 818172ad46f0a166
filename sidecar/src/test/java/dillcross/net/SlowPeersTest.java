package dillcross.net;

import static dillcross.net.VirtualSidecar.OK;
import static dillcross.net.VirtualSidecar.assertAnswered;
import static dillcross.net.VirtualSidecar.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers timeouts of connections whose peers take bytes slowly, or take none. The test controls the
 * clock, and how much the kernel holds for each peer.
 */
class SlowPeersTest {
  private static final int SEND_BUFFER_BYTES = 4 << 20;
  private static final int RING_BYTES =
      64 << 10; // that the sidecar holds of a long body for one peer
  private static final int PIECE_BYTES = 6_400; // every 100 ms: 64 kB a second
  private static final int PIECE_INTERVAL_MS = 100;
  private static final int LONG_BODY_BYTES = 12 << 20;
  private static final int MAX_SENT_UNREAD_BYTES = 5 << 20; // that the kernels may hold unread
  // What an endpoint has to read before a client of a long body can have sent all of it.
  private static final int BYTES_SURELY_UNSENT =
      LONG_BODY_BYTES - SEND_BUFFER_BYTES - 2 * RING_BYTES - MAX_SENT_UNREAD_BYTES;
  private static final int UNREAD_TIMEOUT_MS = 20_000;
  private static final int FIRST_BYTES = 70_000; // more than is buffered before it is forwarded

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

  /** Guards against: a body is given up as stalled while its endpoint reads it all the time. */
  @Test
  void forwardsBodyToEndpointThatReadsSlowly() {
    Exchange exchange = exchangeWithLongRequest(LONG_BODY_BYTES);
    exchange.client().receive("x".repeat(LONG_BODY_BYTES - FIRST_BYTES));

    readSlowly(exchange.endpoint(), secondsToRead(BYTES_SURELY_UNSENT) - 2);
    for (int i = 0; i < 1000 / PIECE_INTERVAL_MS; i++) {
      exchange.endpoint().readByPeer(LONG_BODY_BYTES);
      sidecar.advance(PIECE_INTERVAL_MS);
    }
    answer(exchange.endpoint());

    assertAnswered("200", exchange.client());
    assertTrue(exchange.endpoint().takeWritten().length() > LONG_BODY_BYTES);
  }

  /** Guards against: a client that has sent all of a body waits for as long as it is forwarded. */
  @Test
  void answersInTimeWhileEndpointReadsWhatTheClientMayHaveSent() {
    Exchange exchange = exchangeWithLongRequest(LONG_BODY_BYTES);
    exchange.client().receive("x".repeat(LONG_BODY_BYTES - FIRST_BYTES));

    readSlowly(exchange.endpoint(), secondsToRead(BYTES_SURELY_UNSENT + 2 * RING_BYTES));
    readSlowly(exchange.endpoint(), VirtualSidecar.MAX_TIMEOUT_MS / 1000);

    assertAnswered("503", exchange.client());
    assertFalse(exchange.endpoint().isOpen(), "the request never ran");
  }

  /** Guards against: the time that the endpoint was behind is given to the endpoint once more. */
  @Test
  void countsTimeFromWhenTheClientMayHaveSentTheLastByte() {
    int bodyBytes = SEND_BUFFER_BYTES + 3 * RING_BYTES;
    Exchange exchange = exchangeWithLongRequest(bodyBytes);
    exchange.client().receive("x".repeat(bodyBytes - FIRST_BYTES));

    sidecar.advance(VirtualSidecar.MAX_TIMEOUT_MS - 500);
    exchange.endpoint().readByPeer(bodyBytes);
    sidecar.advance(100);
    assertEquals("", exchange.client().takeWritten());
    sidecar.advance(500);

    assertAnswered("502", exchange.client());
  }

  /** Guards against: a slow client runs out of time, as the end of a body might have come. */
  @Test
  void waitsForChunksOfSlowClient() {
    FakeNetwork.FakeChannel client = sidecar.connect();
    client.receive(
        sidecar.postChunked() + chunk(PIECE_BYTES).repeat(FIRST_BYTES / PIECE_BYTES + 1));
    FakeNetwork.FakeChannel endpoint = sidecar.connectToEndpoint();

    for (int elapsedMs = 0; elapsedMs < 3 * VirtualSidecar.MAX_TIMEOUT_MS; elapsedMs += 1000) {
      client.receive(chunk(PIECE_BYTES));
      sidecar.advance(1000);
    }
    client.receive("0\r\n\r\n");
    answer(endpoint);

    assertAnswered("200", client);
  }

  /** Guards against: two connections that relay to each other look at each other without end. */
  @Test
  void forwardsEndOfBodyWhileAnswerArrives() {
    int bodyBytes = SEND_BUFFER_BYTES + 10_000;
    Exchange exchange = exchangeWithLongRequest(bodyBytes);
    exchange.client().receive("x".repeat(bodyBytes - FIRST_BYTES));
    sidecar.advance(PIECE_INTERVAL_MS);
    exchange
        .endpoint()
        .receive(
            "HTTP/1.1 200 x\r\nContent-Length: "
                + 2 * FIRST_BYTES
                + "\r\n\r\n"
                + "a".repeat(FIRST_BYTES));

    sidecar.advance(1000);
    exchange.endpoint().readByPeer(bodyBytes);
    exchange.endpoint().receive("z".repeat(FIRST_BYTES));
    sidecar.advance(1000);

    assertEquals(0, sidecar.failedIterations());
    assertAnswered("200", exchange.client());
    assertTrue(exchange.endpoint().takeWritten().length() > bodyBytes);
  }

  /** Guards against: a body that its endpoint does not read at all holds a client for good. */
  @Test
  void givesUpBodyThatEndpointDoesNotRead() {
    Exchange exchange = exchangeWithLongRequest(LONG_BODY_BYTES);
    exchange.client().receive("x".repeat(LONG_BODY_BYTES - FIRST_BYTES));

    sidecar.advance(VirtualSidecar.MAX_TIMEOUT_MS - 500);
    assertEquals("", exchange.client().takeWritten());
    sidecar.advance(1000);
    assertAnswered("503", exchange.client());
  }

  /** Guards against: a client whose body has come whole is told that it stopped sending. */
  @ParameterizedTest
  @ValueSource(ints = {10_000, 30_000, 50_000, 70_000, 90_000, 110_000})
  void doesNotTimeOutClientWhileEndpointIsBehind(int bytesBeyondKernel) {
    int bodyBytes = SEND_BUFFER_BYTES + bytesBeyondKernel;
    Exchange exchange = exchangeWithLongRequest(bodyBytes);
    exchange.client().receive("x".repeat(bodyBytes - FIRST_BYTES));

    sidecar.advance(2500);
    exchange.endpoint().readByPeer(bodyBytes);
    sidecar.advance(100);
    answer(exchange.endpoint());

    assertAnswered("200", exchange.client());
  }

  /** Guards against: an endpoint that has sent all counts as silent while the client is behind. */
  @ParameterizedTest
  @ValueSource(ints = {10_000, 30_000, 50_000, 70_000, 90_000, 110_000})
  void doesNotTimeOutEndpointWhileClientIsBehind(int bytesBeyondKernel) {
    int bodyBytes = SEND_BUFFER_BYTES + bytesBeyondKernel;
    Exchange exchange = exchangeWithLongAnswer(bodyBytes);

    sidecar.advance(2 * VirtualSidecar.KEEP_ALIVE_MS);
    exchange.client().readByPeer(bodyBytes);
    sidecar.advance(100);

    assertTrue(exchange.client().takeWritten().length() > bodyBytes, "it gets the whole");
    assertTrue(exchange.client().isOpen());
  }

  /** Guards against: a connection counts as idle while its client reads what the kernel holds. */
  @Test
  void keepsConnectionWhileClientReadsFromKernel() {
    Exchange exchange = exchangeWithLongAnswer(SEND_BUFFER_BYTES - FIRST_BYTES);

    readSlowly(exchange.client(), 30);
    assertTrue(exchange.client().isOpen());
    exchange.client().takeWritten();
    exchange.client().receive(sidecar.get());
    answer(sidecar.connectToEndpoint());
    assertAnswered("200", exchange.client());

    sidecar.advance(secondsToRead(SEND_BUFFER_BYTES) * 1000 + UNREAD_TIMEOUT_MS);
    assertFalse(exchange.client().isOpen(), "it is idle when the client can have read all");
  }

  /** Guards against: a long endpoint list is never taken, as each call gives up its beginning. */
  @Test
  void takesEndpointListThatArrivesSlowly() {
    String newAddress = "127.0.0.1:9";
    String list =
        ("{\"version\":2,\"full\":true,\"servers\":[{\"id\":\"b\",\"addr\":\"%s\",\"zone\":\"east\","
                + "\"kind\":\"std\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}]}")
            .formatted(newAddress);
    int listBytes = 100 * PIECE_BYTES;
    FakeNetwork.FakeChannel discovery = sidecar.connectToDiscovery();
    discovery.receive("HTTP/1.1 200 x\r\nContent-Length: " + listBytes + "\r\n\r\n");

    String padded = " ".repeat(listBytes - list.length()) + list;
    for (int sent = 0; sent < listBytes; sent += PIECE_BYTES) {
      discovery.receive(padded.substring(sent, sent + PIECE_BYTES));
      sidecar.advance(PIECE_INTERVAL_MS);
    }

    FakeNetwork.FakeChannel client = sidecar.connect();
    client.receive(sidecar.get());
    answer(sidecar.connectTo(newAddress));
    assertAnswered("200", client);
  }

  /** Guards against: a call whose list stops half way keeps later calls from being answered. */
  @Test
  void givesUpEndpointListThatStopsHalfWay() {
    FakeNetwork.FakeChannel discovery = sidecar.connectToDiscovery();
    discovery.receive("HTTP/1.1 200 x\r\nContent-Length: 100\r\n\r\n{");

    sidecar.advance(10_000);

    assertFalse(discovery.isOpen());
  }

  /** Guards against: an answer of the admin endpoint is cut off while its caller reads it. */
  @Test
  void servesAdminCallerThatReadsSlowly() {
    FakeNetwork.FakeChannel caller = sidecar.connectToAdmin();
    caller.limitSendBuffer(10);
    caller.receive("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");

    for (int i = 0; i < 30; i++) {
      caller.readByPeer(10);
      sidecar.advance(1000);
    }

    String answer = caller.takeWritten();
    assertTrue(answer.endsWith("ready\n"), answer);
  }

  /** Guards against: a caller of the admin endpoint that reads nothing keeps its place. */
  @Test
  void cutsAdminCallerThatReadsNothing() {
    FakeNetwork.FakeChannel caller = sidecar.connectToAdmin();
    caller.limitSendBuffer(10);
    caller.receive("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");

    sidecar.advance(6000);

    assertFalse(caller.isOpen());
  }

  private void answer(FakeNetwork.FakeChannel endpoint) {
    endpoint.receive(OK);
    sidecar.advance(PIECE_INTERVAL_MS);
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

  /** Begins an exchange whose body has arrived in part, and is forwarded already. */
  private Exchange exchangeWithLongRequest(int bodyBytes) {
    FakeNetwork.FakeChannel client = sidecar.connect();
    client.receive(sidecar.post(bodyBytes) + "x".repeat(FIRST_BYTES));
    FakeNetwork.FakeChannel endpoint = sidecar.connectToEndpoint();
    endpoint.limitSendBuffer(SEND_BUFFER_BYTES - FIRST_BYTES);
    return new Exchange(client, endpoint);
  }
}
