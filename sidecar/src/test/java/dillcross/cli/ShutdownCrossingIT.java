package dillcross.cli;

import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.response;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers requests, connections and endpoint lists that arrive during a shutdown; see {@link
 * dillcross.net.admin.Lifecycle}.
 */
class ShutdownCrossingIT extends CrossingFixture {
  /** The listening socket is closed while the connections wait in its accept queue. */
  @Test
  void answersRequestsOnConnectionsThatWaitToBeAccepted() throws Exception {
    startWithEndpointA();
    sidecar.signal("TERM");
    awaitShutdown();
    List<Socket> clients = new ArrayList<>();

    whileSuspended(
        () -> {
          Thread.sleep(700); // until after the listening socket is due to be closed
          for (int i = 0; i < 30; i++) {
            Socket client = connect();
            send(client, request("/read/ok"));
            clients.add(client);
          }
        });

    for (Socket client : clients) {
      String response = readResponse(client);
      assertTrue(
          statusOf(response).matches("200|503") && response.contains("connection: close"),
          response);
    }
    assertTrue(sidecar.exitsInTime());
  }

  /**
   * A request that is completed late in the shutdown is answered before the process would be
   * killed, although no endpoint responds.
   */
  @Test
  void answersRequestThatIsCompletedLateInShutdown() throws Exception {
    startWithEndpointA();
    assertEquals("200", statusOfNewClient(request("/read/ok")));
    Socket client = connect();
    String lastByte = sendAllButLastByte(client, request("/buy/hang"));
    sidecar.signal("TERM");
    long startNs = System.nanoTime();
    awaitShutdown();

    Thread.sleep(1200);
    send(client, lastByte);

    String response = readResponse(client);
    assertTrue(statusOf(response).matches("50[23]"), response);
    assertTrue(sidecar.exitsInTime());
    assertTrue(System.nanoTime() - startNs > TimeUnit.MILLISECONDS.toNanos(1200));
  }

  /**
   * The sidecar follows changes of the endpoint list during a shutdown, also after a call to
   * discovery has failed.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void followsEndpointListUntilLastAttempt(boolean discoveryFails) throws Exception {
    startWithEndpointA();
    Socket client = connect();
    String lastByte = sendAllButLastByte(client, request("/read/late"));
    sidecar.signal("TERM");
    awaitShutdown();

    if (discoveryFails) {
      discovery.scriptedReplies.add(response(503, "", ""));
      discovery.publish(entryOfB()); // ends the open watch, and the next call fails
      await(() -> discovery.scriptedReplies.isEmpty());
    }
    replaceAByB(discovery);
    send(client, lastByte);

    assertEquals("200", statusOf(readResponse(client)));
    assertEquals(0, endpointA.requests.size());
    assertEquals(1, endpointB.requestCounts.get("/read/late"));
    assertTrue(sidecar.exitsInTime());
  }

  /** An incomplete request delays the exit; a silent connection does not. */
  @Test
  void waitsForIncompleteRequestsBeforeExit() throws Exception {
    startWithEndpointA();
    Socket incomplete = connect();
    String request = request("/read/ok");
    send(incomplete, request.substring(0, 20));
    Socket silent = connect();

    sidecar.signal("TERM");

    assertEquals(
        -1,
        silent.getInputStream().read(),
        "a silent connection is closed once no new request is accepted");
    send(incomplete, request.substring(20));
    assertEquals("200", statusOf(readResponse(incomplete)));
    assertTrue(sidecar.exitsInTime());
  }

  /** Two SIGTERMs during the start: the process exits without an error. */
  @Test
  void stopsWhenSignalledBeforeItIsReady() throws Exception {
    start(new TestConfig(entryOfA()).adminAddress("127.0.0.1:0"));
    sidecar.awaitLogLine("admin endpoint on");

    sidecar.signal("TERM");
    sidecar.signal("TERM");

    assertTrue(sidecar.exitsInTime());
    assertFalse(sidecar.remainingLog().stream().anyMatch(line -> line.contains("SEVERE")));
  }
}
