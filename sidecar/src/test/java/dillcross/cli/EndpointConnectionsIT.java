package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static dillcross.cli.TestDiscovery.terminated;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Covers when connections to endpoints are reused and when they are closed; see {@link
 * dillcross.net.endpoint.EndpointConnectionPool}.
 */
class EndpointConnectionsIT extends SidecarFixture {
  private static final int REPEATABLE_REQUESTS = 30;

  @Test
  void reusesConnectionForManyRequests() throws Exception {
    startWithEndpointA();
    Socket socket = connect();

    for (int i = 0; i < 50; i++) {
      awaitConnectionReuse();
      String request =
          "GET /read/"
              + i
              + "?q=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: "
              + i
              + "\r\nRequest-Timeout-Ms: 2000\r\n\r\n";
      assertEquals("200", statusOf(exchange(socket, request)));
    }

    assertEquals(50, endpointA.requests.size());
    assertEquals(1, endpointA.acceptedConnections.get());
    String healthCheck = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    assertEquals("200", statusOf(exchange(socket, healthCheck)));
    String eighth = endpointA.requests.get(7);
    assertTrue(eighth.startsWith("GET /read/7?q=1 HTTP/1.1\r\n"), eighth);
  }

  /**
   * When an attempt is abandoned, idle connections on which nothing has arrived since it was sent
   * are closed: after a network partition they may be dead too.
   */
  @Test
  void closesConnectionsOlderThanAnAbandonedAttempt() throws Exception {
    startWithEndpointA();
    Socket first = connect();
    Socket second = connect();
    send(first, request("/read/slow"));
    assertEquals("200", statusOf(exchange(second, request("/read/slow"))));
    assertEquals("200", statusOf(readResponse(first)));
    assertEquals(2, endpointA.acceptedConnections.get());
    awaitConnectionReuse();

    assertEquals("502", statusOf(exchange(first, request("/buy/hang", 300))));

    assertEquals("200", statusOf(exchange(first, request("/read/ok"))));
    assertEquals(3, endpointA.acceptedConnections.get());
  }

  /**
   * The sidecar closes idle connections first: if the endpoint closed one while a request is
   * written to it, the request might have run.
   */
  @Test
  void closesIdleConnectionBeforeEndpointDoes() throws Exception {
    startAndAwaitReady(new TestConfig(entryOfA()).keepAliveMs(300));
    Socket socket = connect();
    assertEquals("200", statusOf(exchange(socket, request("/read/ok"))));

    Thread.sleep(400);

    assertEquals("200", statusOf(exchange(socket, request("/read/ok"))));
    assertEquals(2, endpointA.acceptedConnections.get());
  }

  /** Each new endpoint gets its own connection, and a removed endpoint's connections are closed. */
  @Test
  void newEndpointAtSameAddressGetsNewConnections() throws Exception {
    startAndAwaitReady(new TestConfig(inService("a0", endpointA.address())));
    Socket socket = connect();
    assertEquals("200", statusOf(exchange(socket, request("/read/ok"))));
    long descriptorsBefore = countDescriptors();

    for (int i = 1; i <= 20; i++) {
      discovery.publishAndAwait(
          inService("a" + i, endpointA.address()), terminated("a" + (i - 1), endpointA.address()));
      assertEquals("200", statusOf(exchange(socket, request("/read/ok"))));
      assertEquals(i + 1, endpointA.acceptedConnections.get());
    }

    await(() -> countDescriptors() <= descriptorsBefore + 1); // one connection may still be open
  }

  /** Guards against: a new process at the address of one that has gone is taken for that one. */
  @Test
  void doesNotRepeatAtNewProcessOfAnotherCell() throws Exception {
    startAndAwaitReady(
        new TestConfig(entryOfA(), inService("gone", endpointB.address()))
            .latencyObjectiveMs(2000));
    String newProcess = inService("new", endpointB.address()).replace("\"cell\":1", "\"cell\":2");
    discovery.publishAndAwait(newProcess);

    for (int i = 0; i < REPEATABLE_REQUESTS; i++) {
      statusOfNewClient(request("/read/ok")); // earns retries
      statusOfNewClient(request("/buy/500"));
    }

    Set<String> idsAtBoth = new HashSet<>(idsOf(endpointA));
    idsAtBoth.retainAll(idsOf(endpointB));
    assertEquals(Set.of(), idsAtBoth, "cells do not know each other's keys");
    assertTrue(endpointA.requestCounts.containsKey("/buy/500"), "some were tried in cell 1");
  }

  private static List<String> idsOf(TestEndpoint endpoint) {
    return List.copyOf(endpoint.requests).stream()
        .filter(request -> request.contains("/buy/500"))
        .map(request -> request.replaceAll("(?si).*request-id: *(\\S+).*", "$1"))
        .toList();
  }

  private long countDescriptors() throws IOException {
    try (var descriptors = Files.list(sidecar.procFile("fd"))) {
      return descriptors.count();
    }
  }
}
