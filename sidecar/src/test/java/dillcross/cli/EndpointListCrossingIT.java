package dillcross.cli;

import static dillcross.cli.HttpMessages.readMessage;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static dillcross.cli.TestDiscovery.terminating;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers updates of the endpoint list that cross with an attempt that waits for its connection; see
 * {@link dillcross.net.endpoint.AttemptExecutor}.
 */
class EndpointListCrossingIT extends CrossingFixture {
  /** Time in ms allowed for written data to arrive over loopback. */
  private static final int LOOPBACK_DELAY_MS = 20;

  /**
   * When its endpoint changes during the connect, a request goes to another endpoint that is in
   * service, or is rejected if there is none.
   */
  @ParameterizedTest
  @ValueSource(strings = {"terminating", "terminated", "moved", "restarted"})
  void doesNotSendToEndpointThatChangedDuringConnect(String change) throws Exception {
    LateEndpoint endpoint = openLateEndpoint();
    startAndAwaitReady(withLongTimeouts(inService("a", endpoint.address())));
    Socket client = connect();
    send(client, request("/read/x", REQUEST_TIMEOUT_MS));
    awaitConnect(endpoint);

    discovery.publishAndAwait(entriesAfter(change, endpoint));
    Socket connection = endpoint.acceptWaiting();

    assertEquals(
        "",
        readMessage(connection.getInputStream()),
        "nothing is sent to the endpoint that has changed");
    boolean hasOther = change.startsWith("term"); // else only "a" is left, and is not tried again
    assertEquals(hasOther ? "200" : "503", statusOf(readResponse(client)));
    assertEquals(hasOther ? 1 : 0, endpointB.requests.size());
  }

  private String[] entriesAfter(String change, LateEndpoint endpoint) {
    return switch (change) {
      case "moved" -> new String[] {inService("a", endpointB.address())};
      case "restarted" -> {
        String startedNow = "\"started_ms\":" + System.currentTimeMillis();
        yield new String[] {
          inService("a", endpoint.address()).replace("\"started_ms\":0", startedNow)
        };
      }
      default -> new String[] {entryOfB(), TestDiscovery.entry("a", change, endpoint.address())};
    };
  }

  @Test
  void doesNotSendToEndpointThatDrainsAsItsConnectionComesUp() throws Exception {
    LateEndpoint endpoint = openLateEndpoint();
    startAndAwaitReady(withLongTimeouts(inService("a", endpoint.address())));
    Socket client = connect();
    send(client, request("/read/x", REQUEST_TIMEOUT_MS));
    awaitConnect(endpoint);

    Socket[] connection = new Socket[1];
    whileSuspended(
        () -> {
          connection[0] = endpoint.acceptWaiting();
          discovery.publish(entryOfB(), terminating("a", endpoint.address()));
          Thread.sleep(LOOPBACK_DELAY_MS);
        });

    assertEquals("200", statusOf(readResponse(client)));
    assertEquals(1, endpointB.requests.size());
    assertEquals("", readMessage(connection[0].getInputStream()));
  }

  @Test
  void doesNotSendAfterDeadlinePassedDuringConnect() throws Exception {
    LateEndpoint endpoint = openLateEndpoint();
    startAndAwaitReady(withLongTimeouts(inService("a", endpoint.address())));
    Socket client = connect();
    int timeoutMs = 2500;
    long startNs = System.nanoTime();
    send(client, request("/read/x", timeoutMs));
    awaitConnect(endpoint);

    Socket[] connection = new Socket[1];
    whileSuspended(
        () -> {
          connection[0] = endpoint.acceptWaiting();
          while (System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(timeoutMs + 50)) {
            Thread.sleep(5);
          }
        });

    String response = readResponse(client);
    assertTrue(statusOf(response).matches("50[23]"), response);
    endpoint.serve(connection[0]);
    endpoint.serve();
    assertEquals("200", statusOfNewClient(request("/read/after", REQUEST_TIMEOUT_MS)));
    assertEquals(List.of("/read/after"), endpoint.requestPaths);
  }
}
