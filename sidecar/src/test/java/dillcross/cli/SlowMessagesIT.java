package dillcross.cli;

import static dillcross.cli.HttpMessages.chunk;
import static dillcross.cli.HttpMessages.readBody;
import static dillcross.cli.HttpMessages.readHead;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers long messages that an endpoint gives or takes more slowly than the deadline allows. */
class SlowMessagesIT extends SidecarFixture {
  private static final int LATE_MS = 500; // after the deadline; a later answer counts as none
  private static final int CHUNK_BYTES = 10_000;

  /** Guards against: an answer that goes on is cut at its deadline, as its length is not known. */
  @ParameterizedTest
  @CsvSource({
    "true, 168547, 56566, 750",
    "false, 189175, 46450, 705",
    "false, 141548, 46603, 600",
    "true, 232536, 6400, 600"
  })
  void forwardsAnswerOfUnknownLengthThatIsGivenSlowly(
      boolean isChunked, int bodyBytes, int pieceBytes, int timeoutMs) throws Exception {
    PacedAnswerEndpoint endpoint = open(new PacedAnswerEndpoint(isChunked, bodyBytes, pieceBytes));
    startAndAwaitReady(new TestConfig(inService("paced", endpoint.address())));
    Socket client = connect();

    long sentNs = System.nanoTime();
    send(client, request("/buy/long", timeoutMs));
    String head = readHead(client.getInputStream());

    assertTrue(elapsedMs(sentNs) < timeoutMs, "answered after " + elapsedMs(sentNs) + " ms");
    assertEquals("200", statusOf(head));
    assertEquals(bodyBytes, readBody(client.getInputStream(), head).length);
    assertEquals(1, endpoint.requests.size());
  }

  /** Guards against: a long request has no deadline for as long as its endpoint is behind. */
  @ParameterizedTest
  @CsvSource({
    "true, 728449, 100000000, 523",
    "true, 1564039, 28862, 600",
    "false, 1500000, 6328, 600",
    "false, 1500000, 100000000, 2000"
  })
  void answersLongRequestInTimeWhoseEndpointReadsSlowly(
      boolean isChunked, int bytesBeyondKernel, int stopsAfterBytes, int timeoutMs)
      throws Exception {
    int bodyBytes = KernelBuffers.largestSendBuffer() + bytesBeyondKernel;
    PacedRequestEndpoint endpoint = open(new PacedRequestEndpoint(stopsAfterBytes));
    startAndAwaitReady(new TestConfig(inService("paced", endpoint.address())));
    Socket client = connect();

    send(client, longRequest(isChunked, bodyBytes, timeoutMs));
    long sentNs = System.nanoTime();
    String answer = readResponse(client);

    assertTrue(
        elapsedMs(sentNs) < timeoutMs + LATE_MS, "answered after " + elapsedMs(sentNs) + " ms");
    assertEquals("503", statusOf(answer), "it never ran");
  }

  private String longRequest(boolean isChunked, int bodyBytes, int timeoutMs) {
    String request = request("/buy/long", timeoutMs);
    if (!isChunked) {
      return withBody(request, bodyBytes, "x".repeat(bodyBytes));
    }
    StringBuilder body = new StringBuilder();
    for (int left = bodyBytes; left > 0; left -= CHUNK_BYTES) {
      body.append(chunk(Math.min(CHUNK_BYTES, left)));
    }
    return withChunks(request, body + "0\r\n\r\n");
  }

  private static long elapsedMs(long sinceNs) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
  }
}
