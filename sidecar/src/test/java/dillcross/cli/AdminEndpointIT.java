package dillcross.cli;

import static dillcross.cli.HttpMessages.HEALTH_CHECK;
import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers calls to the admin endpoint; see {@link dillcross.net.admin.AdminEndpoint}. */
class AdminEndpointIT extends SidecarFixture {
  private static final String ANY_PORT = "127.0.0.1:0";

  private void startWithAdminEndpoint() throws IOException {
    startAndAwaitReady(new TestConfig(entryOfA()).adminAddress(ANY_PORT));
  }

  /**
   * Sends {@code call}, a method and path or a complete message, on a new connection; returns the
   * response. The sidecar must close the connection after it.
   */
  private String callAdmin(String call) throws IOException {
    Socket socket = connect(sidecar.adminPort);
    String request = call.contains(" ") ? call + " HTTP/1.1\r\nHost: a\r\n\r\n" : call;
    String response = exchange(socket, request);
    assertEquals(-1, socket.getInputStream().read(), "the connection serves one call only");
    return response;
  }

  /**
   * The admin endpoint closes the oldest incomplete calls to make room for new ones, and its paths
   * are not served on the port for clients.
   */
  @Test
  void servesOnlyOperatorsCalls() throws Exception {
    startWithAdminEndpoint();
    List<Socket> incompleteCalls = new ArrayList<>();
    for (String[] row :
        new String[][] {
          {"GET /-/ready", "200"},
          {"GET /-/ready?x=1", "200"},
          {"POST /-/ready", "405"},
          {"GET /-/drain", "405"},
          {"POST /-/resume", "200"},
          {"GET /healthz", "404"},
          {"GET /read/x", "404"},
          {"POST /-/else", "404"},
          {"nonsense\r\n\r\n", "400"}
        }) {
      String call = row[0];
      String status = row[1];
      for (int i = 0; i < 8; i++) {
        Socket incompleteCall = connect(sidecar.adminPort);
        incompleteCalls.add(incompleteCall);
        send(incompleteCall, "POST /-/dr");
      }
      String response = callAdmin(call);
      assertEquals(status, statusOf(response), call);
      assertEquals(status.equals("405"), response.contains("allow: "), response);
    }

    assertEquals(
        -1,
        incompleteCalls.get(0).getInputStream().read(),
        "the oldest incomplete call was closed");
    assertEquals("404", statusOfNewClient("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"));
    assertEquals(
        "404", statusOfNewClient("POST /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"));
    String response = exchange(connect(), request("/read/ok"));
    assertTrue(
        statusOf(response).equals("200") && !response.contains("connection: close"),
        "none of the calls started a drain: " + response);
    assertEquals(1, endpointA.requests.size());
  }

  /**
   * While the sidecar drains, health checks fail, requests are still served, and connections are
   * closed once they are idle. A call of {@code /-/resume} ends the drain.
   */
  @Test
  void drainsAndResumes() throws Exception {
    startWithAdminEndpoint();
    for (int round = 0; round < 2; round++) {
      Socket idle = connect();
      assertEquals("200", statusOf(exchange(idle, request("/read/ok"))));
      Socket reused = connect();
      assertEquals("200", statusOf(exchange(reused, request("/read/ok"))));
      Socket busy = connect();
      sendAndAwaitArrival(busy, "/buy/slow");

      assertEquals("200", statusOf(callAdmin("POST /-/drain")));
      assertEquals("200", statusOf(callAdmin("POST /-/drain")), "a second call changes nothing");

      assertEquals("503", statusOfNewClient(HEALTH_CHECK));
      assertEquals("200", statusOf(callAdmin("GET /-/ready")), "readiness does not change");
      for (Socket client : List.of(connect(), reused)) {
        String response = exchange(client, request("/read/ok"));
        assertTrue(
            statusOf(response).equals("200") && response.contains("connection: close"), response);
        assertEquals(-1, client.getInputStream().read());
      }
      assertEquals("200", statusOf(readResponse(busy)), "the open request is answered");
      assertEquals(-1, idle.getInputStream().read(), "idle connections are closed");

      assertEquals("200", statusOf(callAdmin("POST /-/resume")));
      assertEquals("200", statusOfNewClient(HEALTH_CHECK));
      String response = exchange(connect(), request("/read/ok"));
      assertTrue(
          statusOf(response).equals("200") && !response.contains("connection: close"), response);
    }
    assertTrue(sidecar.process.isAlive());
  }

  @ParameterizedTest
  @CsvSource({
    "somewhere,2,admin_addr: not a numeric address and port: somewhere",
    "taken,1,can't start"
  })
  void startFailsWhereAdminEndpointCannotOpen(String address, int exitStatus, String message)
      throws Exception {
    String adminAddress = address.equals("taken") ? endpointA.address() : address;

    start(new TestConfig(entryOfA()).adminAddress(adminAddress));

    assertEquals(exitStatus, sidecar.process.waitFor());
    String log = String.join("\n", sidecar.remainingLog());
    assertTrue(log.contains(message), log);
  }

  /** Guards against: a request fails, and neither log nor counters say which one and why. */
  @Test
  void showsWhyRequestFailed() throws Exception {
    startWithAdminEndpoint();

    assertEquals("503", statusOfNewClient(request("/read/plain503")));

    String attempt = sidecar.awaitLogLine("attempt ended: id=r1, attempt=0, endpoint=a, end=ERROR");
    assertTrue(attempt.contains("request=FULLY_WRITTEN"), attempt);
    sidecar.awaitLogLine("request rejected: id=r1, target=/read/plain503");
    String events = callAdmin("GET /-/events");
    assertTrue(events.contains("\"request_rejected\":1"), events);
  }
}
