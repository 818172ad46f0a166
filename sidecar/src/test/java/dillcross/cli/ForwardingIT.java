package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers the response that a client gets for each way in which an endpoint may respond or fail; see
 * {@link dillcross.net.endpoint.AttemptExecutor}.
 */
class ForwardingIT extends SidecarFixture {
  /** The requests of class "buy" are deduplicated within the cell of the endpoint only. */
  @ParameterizedTest
  @CsvSource({
    "ok,200",
    "chunked,200",
    "500,502",
    "plain503,502",
    "full,503",
    "cut,502",
    "garbled,502",
    "reset,502",
    "hang,502"
  })
  void answersByOutcomeOfTheAttempt(String behaviour, String status) throws Exception {
    startWithEndpointA();
    Socket socket = connect();

    String response = exchange(socket, request("/buy/x/" + behaviour, 600));

    assertEquals(status, statusOf(response), response);
    assertEquals(1, endpointA.requestCounts.get("/buy/x/" + behaviour), "attempts");
    String forwarded = endpointA.requests.get(0);
    assertTrue(
        forwarded.contains("request-id: r1\r\n")
            && forwarded.contains("idempotency-key: k9\r\n")
            && forwarded.contains("x-trace: t\r\n")
            && forwarded.endsWith("\r\n\r\nabc"),
        forwarded);
    int timeoutMs =
        Integer.parseInt(forwarded.replaceAll("(?s).*request-timeout-ms: ([0-9]+).*", "$1"));
    assertTrue(timeoutMs > 0 && timeoutMs <= 600, forwarded);
    if (status.equals("200")) {
      assertTrue(response.endsWith("\r\n\r\n" + TestEndpoint.BODY), response);
    }
    String nextStatus;
    do { // requests are rejected for a moment, while the load balancer avoids the endpoint
      nextStatus = statusOf(exchange(socket, request("/read/ok")));
    } while (nextStatus.equals("503"));
    assertEquals("200", nextStatus, "the client's connection is still served");
  }

  /**
   * A malformed response fails the request, which may have run. The connection to the endpoint is
   * closed, and nothing of the response is forwarded.
   */
  @ParameterizedTest
  @ValueSource(strings = {"noise", "endless", "huge"})
  void failsAtOnceOnMalformedResponse(String behaviour) throws Exception {
    int timeoutMs = 60_000;
    startAndAwaitReady(new TestConfig(entryOfA()).timeoutMs(timeoutMs));
    Socket socket = connect();

    String response = exchange(socket, request("/buy/" + behaviour, timeoutMs));

    assertEquals("502", statusOf(response));
    assertEquals("200", statusOf(exchange(socket, request("/buy/ok"))));
    assertEquals(2, endpointA.acceptedConnections.get());
  }

  /**
   * Bytes that follow a complete response, at once or later, must not be taken for the response to
   * the next request.
   */
  @ParameterizedTest
  @ValueSource(strings = {"twice", "late"})
  void ignoresBytesBehindAResponse(String behaviour) throws Exception {
    startWithEndpointA();
    Socket socket = connect();

    String response = exchange(socket, request("/read/" + behaviour));

    assertTrue(statusOf(response).equals("200") && response.endsWith(TestEndpoint.BODY), response);
    if (behaviour.equals("late")) {
      endpointA.secondResponseSent.await();
    }
    for (int i = 0; i < 5; i++) {
      response = exchange(socket, request("/read/ok"));
      assertTrue(
          statusOf(response).equals("200") && response.endsWith(TestEndpoint.BODY), response);
      awaitConnectionReuse();
    }
    assertEquals(2, endpointA.acceptedConnections.get());
  }

  @Test
  void rejectsWhenConnectIsRefused() throws Exception {
    endpointA.close();
    startWithEndpointA();

    assertEquals("503", statusOfNewClient(request("/buy/ok", 600)));
  }

  @Test
  void rejectsWhenConnectTimesOut() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket full = new ServerSocket(0, 1, loopback);
        Socket queued = new Socket(loopback, full.getLocalPort());
        Socket alsoQueued = new Socket(loopback, full.getLocalPort())) {
      String address = "127.0.0.1:" + full.getLocalPort();
      startAndAwaitReady(new TestConfig(inService("a", address)));
      assertTrue(queued.isConnected() && alsoQueued.isConnected());

      assertEquals("503", statusOfNewClient(request("/buy/ok", 1500)));
    }
  }

  /** A client error is neither retried nor counted as a failure of the endpoint. */
  @Test
  void forwardsClientErrorsWithoutEjectingEndpoint() throws Exception {
    startWithEndpointA();
    Socket socket = connect();

    for (int i = 0; i < 20; i++) {
      assertEquals("400", statusOf(exchange(socket, request("/read/400"))));
    }

    assertEquals(20, endpointA.requestCounts.get("/read/400"), "one attempt each");
    assertEquals("200", statusOf(exchange(socket, request("/read/ok"))), "not ejected");
  }
}
