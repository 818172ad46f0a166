package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers clients' connections and the validation of their requests; see {@link
 * dillcross.net.client.ClientListener}.
 */
class ClientConnectionsIT extends SidecarFixture {
  /** The pipelined requests are larger than the buffer of a connection. */
  @Test
  void answersPipelinedRequestsInOrder() throws Exception {
    startWithEndpointA();
    Socket socket = connect();
    StringBuilder requests = new StringBuilder(request("/buy/slow"));
    for (int kilobytes : new int[] {20, 60, 60, 1}) {
      int length = kilobytes * 1000;
      requests.append(withBody(request("/buy/" + kilobytes, 5000), length, "b".repeat(length)));
    }
    int lastBytes = 5000; // the fourth request is split, and most of it buffered by then
    int split = requests.length() - lastBytes;

    send(socket, requests.substring(0, split));

    for (int i = 0; i < 5; i++) {
      assertEquals("200", statusOf(readResponse(socket)), "request " + i);
      if (i == 2) {
        send(socket, requests.substring(split));
      }
    }
    assertEquals(
        List.of("/buy/slow", "/buy/20", "/buy/60", "/buy/60", "/buy/1"), endpointA.requestPaths());
  }

  @Test
  void cancelsAttemptWhenClientDisconnects() throws Exception {
    startWithEndpointA();
    Socket socket = connect();
    sendAndAwaitArrival(socket, "/buy/hang");

    socket.close();

    assertEquals("200", statusOfNewClient(request("/read/ok")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "nonsense\r\n\r\n",
        "GET /read/x HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 9\r\n\r\n",
        "POST /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 70000\r\n\r\n",
        "GET /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: soon\r\n\r\n",
        "GET /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n\r\n",
        "GET /read/x HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 900\r\n\r\n",
        "GET /unheard/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\n\r\n",
        "DELETE /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\n\r\n",
        "POST /buy/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 0\r\n\r\n",
        "GET /buy/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\nIdempotency-Key: k\r\n\r\n",
        "POST /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 0\r\n\r\n",
        "GET /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\nContent-Length: 1\r\n\r\na",
        "GET /read/x HTTP/1.1\r\nHost: a\r\nRequest-Id: a b\r\nRequest-Timeout-Ms: 900\r\n\r\n",
        "GET /read/\u00e9 HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\n\r\n"
      })
  void refusesInvalidRequests(String request) throws Exception {
    startWithEndpointA();
    Socket socket = connect();

    String response = exchange(socket, request);

    String status = statusOf(response);
    assertTrue(status.startsWith("4") && !status.equals("429"), response);
    assertEquals(-1, socket.getInputStream().read(), "the connection is closed");
    assertTrue(endpointA.requests.isEmpty());
    assertEquals("200", statusOfNewClient(request("/read/ok")), "other clients are still served");
  }

  /** A request with the id of an open request is refused; the open request is still answered. */
  @Test
  void refusesRequestIdThatIsInUse() throws Exception {
    startWithEndpointA();
    Socket first = connect();
    String request = request("/read/slow");
    send(first, request);
    await(() -> endpointA.requestCounts.containsKey("/read/slow"));

    assertEquals("400", statusOfNewClient(request));

    assertEquals("200", statusOf(readResponse(first)));
    assertEquals(
        "200",
        statusOf(exchange(first, request)),
        "the id is free again once the request is answered");
    assertEquals(2, endpointA.requestCounts.get("/read/slow"));
  }

  /**
   * Clients that send no complete request, or one request each, open more connections than the
   * sidecar may have sockets; clients with several requests must still be served.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "G", "once"})
  void servesRegularClientsWhenConnectionsExceedTheLimit(String sent) throws Exception {
    startWithEndpointA();
    Socket regular = connectRegularClient();
    for (int i = 0; i < 300; i++) {
      Socket other = connect();
      if (sent.equals("once")) {
        assertEquals("200", statusOf(exchange(other, request("/read/ok"))));
      } else {
        send(other, sent);
      }
    }

    Socket late = connect();
    late.setSoTimeout(8000); // less than 20 s, after which idle connections are closed anyway
    assertEquals("200", statusOf(exchange(late, request("/read/ok"))));
    assertEquals(
        "200",
        statusOf(exchange(regular, request("/read/ok"))),
        "a client with several requests keeps its connection");
    assertTrue(sidecar.process.isAlive());
  }

  /** Near the socket limit, a client with one request so far is asked to close its connection. */
  @Test
  void closesConnectionsAfterFirstResponseNearTheLimit() throws Exception {
    startWithEndpointA();
    Socket regular = connectRegularClient();

    int closed = 0;
    for (int i = 0; i < 80; i++) {
      Socket newClient = connect();
      String response = exchange(newClient, request("/read/ok"));
      assertEquals("200", statusOf(response));
      if (response.contains("connection: close")) {
        assertEquals(-1, newClient.getInputStream().read());
        closed++;
      }
    }

    assertTrue(closed > 0 && closed < 80, "closed after the first response: " + closed);
    assertFalse(
        exchange(regular, request("/read/ok")).contains("connection: close"),
        "a client with several requests keeps its connection");
  }

  private Socket connectRegularClient() throws IOException {
    Socket client = connect();
    for (int i = 0; i < 3; i++) {
      assertEquals("200", statusOf(exchange(client, request("/read/ok"))));
    }
    return client;
  }

  /** A connection without any request is closed; an incomplete request gets an error response. */
  @Test
  void timesOutSlowClients() throws Exception {
    startWithEndpointA();
    Socket silent = connect();
    Socket incomplete = connect();
    assertEquals("200", statusOf(exchange(incomplete, request("/read/ok"))));

    String response = exchange(incomplete, "GET /read/ok HTTP/1.1\r\nHost");
    assertEquals("408", statusOf(response), response);
    assertEquals(
        -1, incomplete.getInputStream().read(), "the incomplete request's connection is closed");
    assertEquals(-1, silent.getInputStream().read());

    // Bytes that the client still sends must not reset the connection before it reads the error.
    String tooLarge = "POST /buy/x HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n";
    response = exchange(connect(), tooLarge + "x".repeat(400_000));
    assertEquals("413", statusOf(response), response);
    assertEquals("200", statusOfNewClient(request("/read/ok")));
    assertEquals(2, endpointA.requests.size());
  }

  /**
   * The requests need more memory than the sidecar may use: each is served or rejected, and the
   * sidecar keeps running.
   */
  @Test
  void boundsMemoryUnderManyLargeRequests() throws Exception {
    startAndAwaitReady(new TestConfig(entryOfA()).maxSockets(1024));
    int length = 60_000;
    List<Socket> clients = new ArrayList<>();
    List<Long> startTimesNs = new ArrayList<>();
    for (int i = 0; i < 450; i++) {
      startTimesNs.add(System.nanoTime());
      String request = withBody(request("/buy/ok"), length, "x".repeat(length - 1));
      Socket client = connect();
      clients.add(client);
      send(client, request);
    }

    for (int i = 0; i < clients.size(); i++) {
      completeRequest(clients.get(i), startTimesNs.get(i));
    }

    int peakKilobytes = sidecar.peakMemoryKilobytes();
    assertTrue(peakKilobytes < 192 << 10, "peak memory: " + peakKilobytes + " kB");
    assertEquals("200", statusOfNewClient(request("/read/ok")));
    assertTrue(sidecar.process.isAlive());
  }

  private static void completeRequest(Socket client, long startNs) throws IOException {
    try {
      String status = statusOf(exchange(client, "x"));
      long elapsedNs = System.nanoTime() - startNs;
      boolean wasSlow = elapsedNs > TimeUnit.SECONDS.toNanos(2); // a busy machine may cause a 408
      assertTrue(
          List.of("200", "503", "closed").contains(status) || (wasSlow && status.equals("408")),
          status);
    } catch (SocketException rejected) {
      client.close(); // the sidecar rejected the request before its last byte
    }
  }
}
