package dillcross.cli;

import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.TestDiscovery.inService;
import static dillcross.cli.TestDiscovery.terminating;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers clients that disconnect before their request was sent to an endpoint: it must not be sent
 * after that; see {@link dillcross.sidecar.RequestCoordinator}.
 */
class DisconnectCrossingIT extends CrossingFixture {
  private static final int NOTICE_MS =
      150; // a request may be sent up to 100 ms after its client left

  /** The sidecar reads the request and the client's disconnect at the same time. */
  @ParameterizedTest
  @ValueSource(strings = {"closes", "resets", "half-closes"})
  void doesNotSendRequestWhoseClientHasDisconnected(String how) throws Exception {
    startWithEndpointA();

    whileSuspended(
        () -> {
          for (int i = 0; i < 20; i++) {
            Socket client = connect();
            send(client, request("/read/gone", 5000));
            disconnect(client, how);
          }
        });

    assertEquals("200", statusOfNewClient(request("/read/ok"))); // accepted after the 20 others
    awaitConnectionReuse();
    assertEquals(List.of("/read/ok"), endpointA.requestPaths());
  }

  /**
   * The connection that the request waits for is established after the client has disconnected.
   *
   * @param extraBytes bytes that the client has sent behind its request; if negative, the request
   *     has a body of that length, which is streamed
   */
  @ParameterizedTest
  @CsvSource({
    "closes,0,true,1",
    "closes,0,false,1",
    "resets,0,true,1",
    "resets,0,false,1",
    "half-closes,0,true,1",
    "closes,200000,true,1",
    "closes,200000,false,1",
    "closes,900000,true,1",
    "closes,-100000,true,1",
    "resets,-100000,false,1",
    "closes,0,true,200",
    "resets,0,false,200"
  })
  void doesNotSendAfterDisconnectDuringConnect(
      String how, int extraBytes, boolean cancellable, int clientCount) throws Exception {
    LateEndpoint endpoint = openLateEndpoint();
    startAndAwaitReady(
        withLongTimeouts(inService("a", endpoint.address()))
            .maxSockets(1024)
            .cancellable(cancellable));
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < clientCount; i++) {
      Socket client = connect();
      send(client, requestWithExtraBytes(extraBytes));
      clients.add(client);
    }
    awaitConnectOrAnswer(endpoint, clients.get(0));

    for (Socket client : clients) {
      disconnect(client, how);
    }
    awaitNoClientConnections();
    assertEquals(
        0,
        countConnectionsTo(endpoint.port(), TcpState.ESTABLISHED),
        "the attempt still waits for its connection");
    endpoint.drainQueueAndServe();

    assertEquals("200", statusOfNewClient(request("/read/after", REQUEST_TIMEOUT_MS)));
    assertEquals(List.of("/read/after"), endpoint.requestPaths);
  }

  /** Guards against: a request is sent whose client has left, as more followed it than is read. */
  @ParameterizedTest
  @CsvSource({
    "closes,3000000,true",
    "closes,3000000,false",
    "half-closes,3000000,true",
    "closes,-3000000,true",
    "resets,-3000000,false"
  })
  void doesNotSendAfterDisconnectWithMuchUnread(String how, int extraBytes, boolean cancellable)
      throws Exception {
    LateEndpoint endpoint = openLateEndpoint();
    startAndAwaitReady(
        withLongTimeouts(inService("a", endpoint.address())).cancellable(cancellable));
    Socket client = connect();
    send(client, requestWithExtraBytes(extraBytes));
    awaitConnectOrAnswer(endpoint, client);

    disconnect(client, how);
    Thread.sleep(NOTICE_MS);
    endpoint.drainQueueAndServe();
    await(() -> countConnectionsTo(endpoint.port(), TcpState.SYN_SENT) == 0);

    assertEquals("200", statusOfNewClient(request("/read/after", REQUEST_TIMEOUT_MS)));
    assertEquals(List.of("/read/after"), endpoint.requestPaths);
  }

  /**
   * Waits until an attempt waits for its connection, or the request was rejected before the test
   * could see that: more follows it than the sidecar reads.
   */
  private static void awaitConnectOrAnswer(LateEndpoint endpoint, Socket client) throws Exception {
    await(
        () ->
            countConnectionsTo(endpoint.port(), TcpState.SYN_SENT) > 0
                || client.getInputStream().available() > 0);
  }

  private String requestWithExtraBytes(int extraBytes) {
    if (extraBytes < 0) {
      int length = -extraBytes;
      return withBody(request("/buy/gone", REQUEST_TIMEOUT_MS), length, "b".repeat(length));
    }
    return request("/read/gone", REQUEST_TIMEOUT_MS) + "x".repeat(extraBytes);
  }

  /** One request waits for a free slot under the concurrency limit when its client disconnects. */
  @ParameterizedTest
  @CsvSource({"closes,true", "closes,false", "resets,true", "half-closes,true"})
  void doesNotSendAfterDisconnectInQueue(String how, boolean cancellable) throws Exception {
    startAndAwaitReady(withLongTimeouts(entryOfA()).cancellable(cancellable));
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      clients.add(connect());
    }
    Set<Integer> answeredClients = collectAnswered(clients);
    for (int i = 0; i < clients.size(); i++) {
      send(clients.get(i), request(queuedPath(i), REQUEST_TIMEOUT_MS));
    }
    await(() -> endpointA.requestCounts.size() + answeredClients.size() == clients.size() - 1);
    int waiting = 0;
    while (answeredClients.contains(waiting)
        || endpointA.requestCounts.containsKey(queuedPath(waiting))) {
      waiting++;
    }
    long established = countClientConnections(TcpState.ESTABLISHED);

    disconnect(clients.get(waiting), how);
    await(
        () ->
            countClientConnections(TcpState.ESTABLISHED) == established - 1
                && countClientConnections(TcpState.CLOSE_WAIT) == 0);
    endpointA.released.countDown();

    assertEquals("200", statusOfNewClient(request("/read/after", REQUEST_TIMEOUT_MS)));
    assertFalse(
        endpointA.requestCounts.containsKey(queuedPath(waiting)),
        "requests sent: " + endpointA.requestCounts);
  }

  private static String queuedPath(int client) {
    return "/read/" + client + "then";
  }

  /**
   * Reads responses on other threads; the returned set fills with the indexes of the clients that
   * have received one.
   */
  private static Set<Integer> collectAnswered(List<Socket> clients) {
    Set<Integer> answered = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < clients.size(); i++) {
      int client = i;
      BackgroundTask.start(
          () -> {
            readResponse(clients.get(client));
            answered.add(client);
          });
    }
    return answered;
  }

  /** Endpoint A rejects the request; its retry at endpoint B waits for a connection. */
  @ParameterizedTest
  @CsvSource({"closes,true", "closes,false", "resets,false", "half-closes,true"})
  void doesNotRetryAfterDisconnect(String how, boolean cancellable) throws Exception {
    LateEndpoint endpoint = openLateEndpoint();
    startAndAwaitReady(withLongTimeouts(entryOfA()).cancellable(cancellable));
    Socket client = connect();
    sendAndAwaitArrival(client, "/read/fullthen", REQUEST_TIMEOUT_MS);
    discovery.publishAndAwait(inService("b", endpoint.address()));
    endpointA.released.countDown();
    awaitConnect(endpoint);

    disconnect(client, how);
    awaitNoClientConnections();
    endpoint.drainQueueAndServe();

    // Without endpoint A, the next request goes to endpoint B, as the retry would have done.
    discovery.publishAndAwait(terminating("a", endpointA.address()));
    assertEquals("200", statusOfNewClient(request("/read/after", REQUEST_TIMEOUT_MS)));
    assertEquals(List.of("/read/after"), endpoint.requestPaths);
  }
}
