package dillcross.cli;

import static dillcross.cli.HttpMessages.HEALTH_CHECK;
import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
class ShutdownIT extends SidecarFixture {
  /**
   * A Perl script that opens a listening socket and starts the program with it as descriptor 0.
   * Once the file exists that the first argument names, the script starts a second such process.
   */
  private static final String PARENT_PROCESS =
      """
            use Socket; use POSIX ();
            socket(S, PF_INET, SOCK_STREAM, 0) && bind(S, sockaddr_in(0, INADDR_LOOPBACK)) && listen(S, 1024) or die;
            my ($port) = sockaddr_in(getsockname(S));
            POSIX::dup2(fileno(S), 0);
            $| = 1;
            my $go = shift;
            for my $round (1, 2) {
                my $pid = fork();
                exec(@ARGV) if $pid == 0;
                print "pid $pid port $port\n";
                select(undef, undef, undef, 0.02) until $round == 2 || -e $go;
            }
            1 while wait() > 0;
            """;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger closedUnanswered = new AtomicInteger();
  private final AtomicBoolean isTestOver = new AtomicBoolean();

  /**
   * Clients send requests throughout the takeover: each gets one response, but at most two
   * connections are closed without one, and none runs twice.
   */
  @Test
  void secondProcessTakesOverInheritedSocket() throws Exception {
    Path startSecond = folder.resolve("go");
    start(
        new TestConfig(entryOfA()).adminAddress("127.0.0.1:0"),
        List.of("perl", "-e", PARENT_PROCESS, startSecond.toString()),
        Map.of("NODE_FD", "0"));
    sidecar.awaitReady();
    BufferedReader parentOutput =
        new BufferedReader(
            new InputStreamReader(sidecar.process.getInputStream(), StandardCharsets.US_ASCII));
    String[] pidAndPort = parentOutput.readLine().split(" "); // pid N port N
    long firstPid = Long.parseLong(pidAndPort[1]);
    int clientPort = Integer.parseInt(pidAndPort[3]);
    List<CompletableFuture<Void>> clients = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      clients.add(CompletableFuture.runAsync(() -> sendUntilTestIsOver(clientPort)));
    }

    int firstAdminPort = sidecar.adminPort;
    Files.createFile(startSecond);
    sidecar.awaitReady();
    assertTrue(sidecar.adminPort != firstAdminPort, "each process has its own admin endpoint");
    ProcessHandle first = ProcessHandle.of(firstPid).orElseThrow();
    assertTrue(first.isAlive() && first.destroy()); // SIGTERM
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
