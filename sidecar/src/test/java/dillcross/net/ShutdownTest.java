package dillcross.net;

import static dillcross.net.VirtualSidecar.OK;
import static dillcross.net.VirtualSidecar.assertAnswered;
import static dillcross.net.VirtualSidecar.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Covers what a graceful shutdown waits for, and what is answered before the process may be killed;
 * see {@link dillcross.net.admin.Lifecycle}. The test controls the clock.
 */
class ShutdownTest {
  private static final int EARLIEST_KILL_MS = VirtualSidecar.MAX_TIMEOUT_MS + 700;
  private static final int LAST_BYTE_MS = VirtualSidecar.MAX_TIMEOUT_MS - 1000; // from SIGTERM on
  private static final int SOON_MS = 800; // accepting connections ends after 0.5 s
  private static final int LINGER_MS = 1500; // for clients to read answers
  private static final int FIRST_BYTES = 70_000; // more than is buffered before it is forwarded
  private static final int REST_BYTES = 5_000;
  private static final int PIECE_BYTES = 1000;
  private static final int SMALL_PIECE_BYTES = 50; // the last of REST_BYTES come after the kill
  private static final int PIECE_INTERVAL_MS = 50;
  private static final int ANSWER_PIECES = 2 * EARLIEST_KILL_MS / PIECE_INTERVAL_MS;

  private final VirtualSidecar sidecar;

  ShutdownTest() throws Exception {
    sidecar = new VirtualSidecar();
  }

  /** How the length of a body is told. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    UNTIL_CLOSE;

    String field(int bodyBytes) {
      return switch (this) {
        case LENGTH -> "Content-Length: " + bodyBytes;
        case CHUNKS -> "Transfer-Encoding: chunked";
        case UNTIL_CLOSE -> "Connection: close";
      };
    }

    String piece(int bytes) {
      return this == CHUNKS ? chunk(bytes) : "x".repeat(bytes);
    }
  }

  /** Guards against: a client whose request is long and still arriving at the end has no answer. */
  @ParameterizedTest
  @EnumSource(names = {"LENGTH", "CHUNKS"})
  void rejectsRequestThatArrivesTooLateToBeAnswered(Framing framing) {
    FakeNetwork.FakeChannel client = beginUpload(framing);
    FakeNetwork.FakeChannel endpoint = sidecar.connectToEndpoint();
    sidecar.requestStop();

    sendSlowly(client, framing, EARLIEST_KILL_MS - 100);

    assertAnswered("503", client);
    assertFalse(endpoint.isOpen(), "the endpoint can't run a request that it has in part");
    client.receive(framing.piece(PIECE_BYTES));
    sidecar.advance(PIECE_INTERVAL_MS);
    assertFalse(sidecar.isStopped(), "the end would reset the connection of a client that sends");
    sidecar.advance(LINGER_MS);
    assertTrue(sidecar.isStopped());
  }

  /** Guards against: a request of usual size that arrives slowly is cut off by the end. */
  @ParameterizedTest
  @EnumSource(names = {"LENGTH", "CHUNKS"})
  void rejectsUsualRequestThatArrivesTooLateToBeAnswered(Framing framing) {
    FakeNetwork.FakeChannel client = sidecar.connect();
    client.receive(framing == Framing.CHUNKS ? sidecar.postChunked() : sidecar.post(REST_BYTES));
    sidecar.requestStop();

    sendSlowly(client, framing, EARLIEST_KILL_MS - 100);

    assertAnswered("503", client);
    sidecar.advance(LINGER_MS);
    assertTrue(sidecar.isStopped());
  }

  private void sendSlowly(FakeNetwork.FakeChannel client, Framing framing, int durationMs) {
    for (int elapsedMs = 0; elapsedMs < durationMs; elapsedMs += PIECE_INTERVAL_MS) {
      client.receive(framing.piece(SMALL_PIECE_BYTES));
      sidecar.advance(PIECE_INTERVAL_MS);
    }
  }

  /** Guards against: a half head keeps the process from its end, or is closed with no answer. */
  @Test
  void answersHalfHeadBeforeTheEnd() {
    FakeNetwork.FakeChannel client = sidecar.connect();
    client.receive("GET /read/x HT");
    sidecar.requestStop();

    sidecar.advance(EARLIEST_KILL_MS - 100);

    assertAnswered("408", client);
    sidecar.advance(LINGER_MS);
    assertTrue(sidecar.isStopped());
  }

  /** A long request that was begun before the shutdown, and arrives in time, is served. */
  @Test
  void answersLongRequestThatArrivesInTime() {
    Exchange exchange = completeLongRequestDuringShutdown();
    sidecar.advance(PIECE_INTERVAL_MS);

    assertEquals("", exchange.client().takeWritten());
    exchange.endpoint().receive(OK);
    sidecar.advance(PIECE_INTERVAL_MS);

    assertAnswered("200", exchange.client());
    sidecar.advance(PIECE_INTERVAL_MS);
    assertTrue(sidecar.isStopped());
  }

  /** Guards against: the time of a long request counts from its last byte beyond the kill. */
  @Test
  void answersLongRequestBeforeTheKillWhileItsEndpointHangs() {
    Exchange exchange = completeLongRequestDuringShutdown();

    sidecar.advance(EARLIEST_KILL_MS - LAST_BYTE_MS - 50);

    assertAnswered("502", exchange.client());
    sidecar.advance(PIECE_INTERVAL_MS);
    assertTrue(sidecar.isStopped());
  }

  /** A client that has sent a request, and the endpoint that got it. */
  private record Exchange(FakeNetwork.FakeChannel client, FakeNetwork.FakeChannel endpoint) {}

  private Exchange completeLongRequestDuringShutdown() {
    FakeNetwork.FakeChannel client = beginUpload(Framing.LENGTH);
    FakeNetwork.FakeChannel endpoint = sidecar.connectToEndpoint();
    sidecar.requestStop();
    sidecar.advance(LAST_BYTE_MS);
    client.receive("x".repeat(REST_BYTES));
    return new Exchange(client, endpoint);
  }

  /**
   * Guards against: the process ends by itself and cuts off an answer that endpoints still give.
   */
  @ParameterizedTest
  @EnumSource
  void forwardsAnswersThatHaveBegunToTheirEnd(Framing framing) {
    FakeNetwork.FakeChannel client = sidecar.connect();
    client.receive(sidecar.get());
    FakeNetwork.FakeChannel endpoint = sidecar.connectToEndpoint();
    endpoint.receive(
        "HTTP/1.1 200 x\r\n" + framing.field(ANSWER_PIECES * PIECE_BYTES) + "\r\n\r\n");
    sidecar.requestStop();

    int forwarded = 0;
    for (int i = 0; i < ANSWER_PIECES; i++) {
      assertFalse(sidecar.isStopped(), "after " + i + " pieces");
      endpoint.receive(framing.piece(PIECE_BYTES));
      sidecar.advance(PIECE_INTERVAL_MS);
      forwarded += countBodyBytes(client);
    }
    end(endpoint, framing);
    sidecar.advance(PIECE_INTERVAL_MS);

    assertEquals(ANSWER_PIECES * PIECE_BYTES, forwarded + countBodyBytes(client));
    assertTrue(sidecar.isStopped());
  }

  private static void end(FakeNetwork.FakeChannel endpoint, Framing framing) {
    if (framing == Framing.CHUNKS) {
      endpoint.receive("0\r\n\r\n");
    } else if (framing == Framing.UNTIL_CLOSE) {
      endpoint.endOutput();
    }
  }

  private static int countBodyBytes(FakeNetwork.FakeChannel client) {
    String written = client.takeWritten();
    String body = written.substring(Math.max(0, written.indexOf("\r\n\r\n")));
    return (int) body.chars().filter(character -> character == 'x').count();
  }

  /** Guards against: the process waits for clients that have sent nothing, or have their answer. */
  @Test
  void endsSoonWhenNoRequestIsOpen() {
    FakeNetwork.FakeChannel silent = sidecar.connect();
    FakeNetwork.FakeChannel idle = sidecar.connect();
    idle.receive(sidecar.get());
    sidecar.connectToEndpoint().receive(OK);
    sidecar.advance(PIECE_INTERVAL_MS);
    assertAnswered("200", idle);
    sidecar.requestStop();

    sidecar.advance(SOON_MS);

    assertTrue(sidecar.isStopped());
    assertFalse(silent.isOpen());
    assertFalse(idle.isOpen());
  }

  /** Guards against: an endpoint that stops within its answer keeps the process for good. */
  @Test
  void endsOnceAnAnswerHasStalled() {
    FakeNetwork.FakeChannel client = sidecar.connect();
    client.receive(sidecar.get());
    FakeNetwork.FakeChannel endpoint = sidecar.connectToEndpoint();
    endpoint.receive("HTTP/1.1 200 x\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(PIECE_BYTES));
    sidecar.requestStop();

    sidecar.advance(EARLIEST_KILL_MS);
    assertFalse(sidecar.isStopped());
    sidecar.advance(2 * VirtualSidecar.KEEP_ALIVE_MS);

    assertTrue(sidecar.isStopped());
  }

  private FakeNetwork.FakeChannel beginUpload(Framing framing) {
    FakeNetwork.FakeChannel client = sidecar.connect();
    boolean isChunked = framing == Framing.CHUNKS;
    client.receive(isChunked ? sidecar.postChunked() : sidecar.post(FIRST_BYTES + REST_BYTES));
    client.receive(framing.piece(FIRST_BYTES));
    return client;
  }
}
