package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readBody;
import static dillcross.cli.HttpMessages.readHead;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers bodies that are relayed without being held in memory; see {@link
 * dillcross.net.connection.BodyRelay}.
 */
class BodyRelayIT extends SidecarFixture {
  private static final int LARGE_BODY_BYTES = 12 << 20;
  private static final int CHUNK_BYTES = 60_000;
  private static final int CLIENTS = 8;

  @Test
  void forwardsLargeResponses() throws Exception {
    startWithEndpointA();
    Socket socket = connect();

    for (int i = 0; i < 20; i++) {
      String response = exchange(socket, request("/read/large"));
      assertTrue(
          statusOf(response).equals("200")
              && response.endsWith("x".repeat(TestEndpoint.LARGE_BODY_BYTES)),
          () -> response.substring(0, 80));
    }

    assertEquals(20, endpointA.requestCounts.get("/read/large"));
  }

  /**
   * All bodies together are larger than the heap; half of them are sent in chunks, and one client
   * reads its response late.
   */
  @Test
  void relaysLargeBodiesInBothDirections() throws Exception {
    EchoEndpoint echo = open(new EchoEndpoint());
    startAndAwaitReady(new TestConfig(inService("a", echo.address())));

    CountDownLatch otherClients = new CountDownLatch(CLIENTS - 1);
    List<CompletableFuture<String>> results = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      results.add(CompletableFuture.supplyAsync(() -> echoLargeBody(client, otherClients)));
    }

    for (CompletableFuture<String> result : results) {
      assertEquals("200 true", result.get());
    }
    assertEquals("200", statusOfNewClient(request("/read/ok")));
    assertEquals(
        CLIENTS, countReceivedOnce("/buy/echo0", echo) + countReceivedOnce("/buy/echo1", echo));
  }

  /** Sends a large body; returns the status, and whether the same body came back. */
  private String echoLargeBody(int client, CountDownLatch otherClients) {
    try {
      byte[] body = new byte[LARGE_BODY_BYTES];
      new Random(client).nextBytes(body);
      Socket socket = connect(); // not earlier: closed after 2 s without a first byte
      sendLargeBody(socket, client, body);
      String head = readHead(socket.getInputStream());
      if (client == CLIENTS - 1) {
        otherClients.await();
      }
      byte[] received = readBody(socket.getInputStream(), head);
      otherClients.countDown();
      return statusOf(head) + " " + digest(received).equals(digest(body));
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static void sendLargeBody(Socket socket, int client, byte[] body) throws IOException {
    boolean isChunked = client % 2 == 1;
    OutputStream output = new BufferedOutputStream(socket.getOutputStream(), 50_000);
    String framing = isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length;
    output.write(
        ascii(
            "POST /buy/echo"
                + client % 2
                + " HTTP/1.1\r\nHost: a\r\nRequest-Id: big"
                + client
                + "\r\nRequest-Timeout-Ms: 2000\r\nIdempotency-Key: k\r\n"
                + framing
                + "\r\n\r\n"));
    for (int sent = 0; sent < body.length; sent += CHUNK_BYTES) {
      int length = Math.min(CHUNK_BYTES, body.length - sent);
      if (isChunked) {
        output.write(ascii(Integer.toHexString(length) + "\r\n"));
      }
      output.write(body, sent, length);
      if (isChunked) {
        output.write(ascii("\r\n"));
      }
    }
    if (isChunked) {
      output.write(ascii("0\r\n\r\n"));
    }
    output.flush();
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static String digest(byte[] bytes) throws Exception {
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
  }

  /**
   * A response that is truncated after its first bytes were forwarded ends early for an HTTP/1.1
   * client. An HTTP/1.0 client gets a reset, because it would take the end of the connection for
   * the end of a complete response.
   */
  @ParameterizedTest
  @ValueSource(strings = {"brokenlength", "brokenchunks"})
  void clientDetectsTruncatedResponse(String behaviour) throws Exception {
    startWithEndpointA();
    Socket socket = connect();
    send(socket, request("/read/" + behaviour));

    String head = readHead(socket.getInputStream());
    assertEquals("200", statusOf(head));
    String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    assertTrue(
        rest.chars().filter(character -> character == 'x').count() == TestEndpoint.BROKEN_BODY_BYTES
            && !rest.endsWith("0\r\n\r\n"),
        "the client gets all that the endpoint sent, without a regular end");
    assertEquals(behaviour.equals("brokenlength"), head.contains("content-length: 900000"), head);

    Socket http10 = connect();
    send(http10, request("/read/brokenchunks").replace("HTTP/1.1", "HTTP/1.0"));
    assertEquals("200", statusOf(readHead(http10.getInputStream())));
    assertThrows(
        IOException.class,
        () -> http10.getInputStream().readAllBytes(),
        "a regular end would pass for a complete response");
    assertEquals("200", statusOfNewClient(request("/read/ok")));
  }
}
