package dillcross.cli;

import static dillcross.cli.HttpMessages.HEALTH_CHECK;
import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Covers graceful shutdown, and the replacement of a process on an inherited socket; see {@link
 * dillcross.net.SidecarServer}.
 */
class ShutdownIT extends UpgradeFixture {
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger closedUnanswered = new AtomicInteger();
  private final AtomicBoolean isTestOver = new AtomicBoolean();

  /**
   * Clients send requests throughout the takeover: each gets one response, but at most two
   * connections are closed without one, and none runs twice.
   */
  @Test
  void secondProcessTakesOverInheritedSocket() throws Exception {
    startFirstProcess();
    List<CompletableFuture<Void>> clients = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      clients.add(CompletableFuture.runAsync(() -> sendUntilTestIsOver(clientPort)));
    }

    startSecondProcess();
    ProcessHandle first = terminateFirstProcess();
    first.onExit().get();
    int answeredByExit = answered.get();
    await(() -> answered.get() >= answeredByExit + 20);
    isTestOver.set(true);
    for (CompletableFuture<Void> client : clients) {
      client.get();
    }

    assertTrue(closedUnanswered.get() <= 2, "closed without an answer: " + closedUnanswered);
    assertTrue(countReceivedOnce("/buy/stream", endpointA) <= answered.get());
    assertEquals("200", statusOf(exchange(connect(clientPort), HEALTH_CHECK)));
    Socket admin = connect(sidecar.adminPort);
    String ready = exchange(admin, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    assertEquals(-1, admin.getInputStream().read(), "the connection serves one call only");
    assertEquals("200", statusOf(ready));
  }

  private void sendUntilTestIsOver(int port) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try {
      Socket socket = new Socket(loopback, port);
      while (!isTestOver.get()) {
        String response = exchange(socket, request("/buy/stream"));
        String status = statusOf(response);
        assertTrue(List.of("200", "503", "closed").contains(status), response);
        (response.isEmpty() ? closedUnanswered : answered).incrementAndGet();
        if (response.isEmpty() || response.contains("connection: close")) {
          socket.close();
          socket = new Socket(loopback, port);
        }
      }
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void startFailsWhereInheritedDescriptorIsNoListeningSocket() throws Exception {
    start(new TestConfig(entryOfA()), List.of("env", "NODE_FD=0"), Map.of());

    assertEquals(1, sidecar.process.waitFor());
    String log = String.join("\n", sidecar.remainingLog());
    assertTrue(log.contains("can't start: NODE_FD names no listening socket"), log);
  }

  /**
   * After SIGTERM the sidecar still accepts requests for a while, answers all of them, and closes
   * each connection.
   */
  @Test
  void shutdownAnswersAllRequests() throws Exception {
    startWithEndpointA();
    Socket idle = connect();
    assertEquals("200", statusOf(exchange(idle, request("/read/ok"))));
    Socket busy = connect();
    sendAndAwaitArrival(busy, "/buy/slow");

    sidecar.signal("TERM");
    await(() -> !statusOfNewClient(HEALTH_CHECK).equals("200"));

    String late = exchange(connect(), request("/read/ok"));
    assertEquals("200", statusOf(late), "a new connection is still served");
    assertTrue(late.contains("connection: close"), late);
    assertEquals(
        -1,
        idle.getInputStream().read(),
        "idle connections are closed once clients had time to send another request");
    String response = readResponse(busy);
    assertEquals("200", statusOf(response));
    assertTrue(response.contains("connection: close"), response);
    assertTrue(sidecar.exitsInTime());
    assertFalse(sidecar.process.isAlive());
  }
}
