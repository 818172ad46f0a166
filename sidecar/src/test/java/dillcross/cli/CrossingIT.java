package dillcross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two events that cross, on real sockets, each crossing forced: by a process that is held (SIGSTOP)
 * while both come, or by an endpoint whose queue of connections is full, so that an attempt to it
 * waits. The table is docs/crossings.md.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CrossingIT extends SidecarFixture {
  private static final String SYN_SENT = "02";
  private static final String ESTABLISHED = "01";
  private static final String CLOSE_WAIT = "08";

  /** Holds the program, has it find all that comes meanwhile at once, and lets it go on. */
  private void held(Task meanwhile) throws Exception {
    signal("STOP");
    while (!Files.readString(Path.of("/proc/" + process.pid() + "/stat"))
        .replaceAll("(?s).*\\) ", "")
        .startsWith("T")) {
      Thread.sleep(1);
    }
    meanwhile.run();
    signal("CONT");
  }

  private interface Task {
    void run() throws Exception;
  }

  private void awaitStopping() throws Exception {
    await(() -> status(exchange(connect(), HEALTH)).equals("503"));
  }

  /**
   * How many of the program's sockets (it speaks IPv4, as this test does not) have that port, at
   * their side or the other, in such a state.
   */
  private static long connections(boolean own, int port, String state) throws IOException {
    String hex = String.format(":%04X", port);
    try (var lines = Files.lines(Path.of("/proc/net/tcp"))) {
      return lines
          .map(line -> line.trim().split(" +"))
          .filter(f -> f[own ? 1 : 2].endsWith(hex) && f[3].equals(state))
          .count();
    }
  }

  private static void await(java.util.concurrent.Callable<Boolean> what) throws Exception {
    while (!what.call()) {
      Thread.sleep(2);
    }
  }

  /**
   * An endpoint that takes no connection until it is told to: whoever asks for one meanwhile waits.
   */
  private final class Late {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<String> got = java.util.Collections.synchronizedList(new ArrayList<>());

    Late() throws IOException {
      toClose.add(server);
      for (int i = 0; i < 2; i++) {
        Socket socket = new Socket(server.getInetAddress(), server.getLocalPort());
        toClose.add(socket);
      }
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Until the program asks for its connection. */
    void awaitRequested() throws Exception {
      await(() -> connections(false, server.getLocalPort(), SYN_SENT) > 0);
    }

    void room() throws IOException {
      for (int i = 0; i < 2; i++) {
        server.accept().close();
      }
    }

    /** Makes room, and takes the connection that waited. */
    Socket open() throws IOException {
      room();
      return next();
    }

    /** Takes all connections from now on, and answers what comes on them. */
    void serves() {
      StandIn.start(
          () -> {
            while (true) {
              serves(next());
            }
          });
    }

    void serves(Socket on) {
      StandIn.start(
          () -> {
            for (String m = message(on.getInputStream());
                !m.isEmpty();
                m = message(on.getInputStream())) {
              got.add(m.split(" ")[1]);
              on.getOutputStream()
                  .write(answer(200, "", BODY).getBytes(StandardCharsets.ISO_8859_1));
            }
          });
    }

    Socket next() throws IOException {
      Socket socket = server.accept();
      socket.setSoTimeout(20_000);
      toClose.add(socket);
      return socket;
    }
  }

  /**
   * Serves with a connect limit, deadlines and latencies so long, beyond this test's own, that an
   * attempt waits for its connection.
   */
  private void servingPatiently(String servers, String... changes) throws IOException {
    List<String> all =
        new ArrayList<>(
            List.of(
                "\"connect_timeout_ms\":250",
                "\"connect_timeout_ms\":100000",
                "\"ttl_ms\":2000",
                "\"ttl_ms\":100000",
                "\"target_latency_ms\":400",
                "\"target_latency_ms\":20000"));
    all.addAll(List.of(changes));
    start(servers, all.toArray(new String[0]));
    awaitReady();
  }

  private static void leave(Socket socket, String how) throws IOException {
    if (how.equals("resets")) {
      socket.setSoLinger(true, 0);
    }
    if (how.equals("half-closes")) {
      socket.shutdownOutput();
    } else {
      socket.close();
    }
  }

  /**
   * A client's request and its end come before either is read: it has gone, and nothing of it goes
   * further.
   */
  @ParameterizedTest
  @ValueSource(strings = {"closes", "resets", "half-closes"})
  void clientsThatHaveDisconnectedAreNotServed(String how) throws Exception {
    serving(entry("a", "in_service", a.address()));
    held(
        () -> {
          for (int i = 0; i < 20; i++) {
            Socket client = connect();
            client
                .getOutputStream()
                .write(request("/read/gone", 5000).getBytes(StandardCharsets.ISO_8859_1));
            leave(client, how);
          }
        });
    assertEquals(
        "200",
        status(
            exchange(connect(), request("/read/ok", 2000)))); // it was accepted after all of those
    rested();
    assertEquals(List.of("/read/ok"), a.requests.stream().map(r -> r.split(" ")[1]).toList());
  }

  /**
   * Clients leave while their requests wait for a connection: it comes up, and none of them goes
   * over it.
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
  void whoLeavesWhileItWaitsIsNotSentOn(String how, int behind, boolean cancel, int clients)
      throws Exception {
    Late late = new Late();
    sockets = 1024;
    servingPatiently(
        entry("a", "in_service", late.address()), "\"cancel\":true", "\"cancel\":" + cancel);
    List<Socket> waiting = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      Socket client = connect();
      String request = request(behind < 0 ? "/buy/gone" : "/read/gone", 90_000);
      if (behind < 0) { // its body flows
        request =
            request.replace(
                "Content-Length: 3\r\n\r\nabc",
                "Content-Length: " + -behind + "\r\n\r\n" + "b".repeat(-behind));
      }
      client
          .getOutputStream()
          .write((request + "x".repeat(Math.max(0, behind))).getBytes(StandardCharsets.ISO_8859_1));
      waiting.add(client);
    }
    late.awaitRequested();
    for (Socket client : waiting) {
      leave(client, how);
    }
    await(
        () ->
            connections(true, port, ESTABLISHED) + connections(true, port, CLOSE_WAIT)
                == 0); // it lets go of them while the attempt still waits
    assertEquals(0, connections(false, late.server.getLocalPort(), ESTABLISHED), "it still waits");
    late.room();
    late.serves();
    assertEquals("200", status(exchange(connect(), request("/read/after", 90_000))));
    assertEquals(List.of("/read/after"), late.got);
  }

  /** Each client's answer, once it has one. */
  private java.util.Map<Integer, String> answersOf(List<Socket> clients) {
    java.util.Map<Integer, String> answers = new java.util.concurrent.ConcurrentHashMap<>();
    for (int i = 0; i < clients.size(); i++) {
      int mine = i;
      StandIn.start(
          () -> {
            String answer = message(clients.get(mine).getInputStream());
            answers.put(mine, status(answer));
          });
    }
    return answers;
  }

  /**
   * As much is in flight as may be, and one request waits for a place: its client leaves, then
   * there is room.
   */
  @ParameterizedTest
  @CsvSource({"closes,true", "closes,false", "resets,true", "half-closes,true"})
  void whoLeavesWhileItWaitsForAPlaceIsNotSentOn(String how, boolean cancel) throws Exception {
    servingPatiently(
        entry("a", "in_service", a.address()), "\"cancel\":true", "\"cancel\":" + cancel);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      clients.add(connect());
    }
    var answers = answersOf(clients);
    for (int i = 0; i < clients.size(); i++) {
      clients
          .get(i)
          .getOutputStream()
          .write(request("/read/" + i + "then", 90_000).getBytes(StandardCharsets.ISO_8859_1));
    }
    await(() -> a.requests.size() + answers.size() == clients.size() - 1);
    int waits = 0;
    while (answers.containsKey(waits) || a.got.containsKey("/read/" + waits + "then")) {
      waits++;
    }
    long open = connections(true, port, ESTABLISHED);
    leave(clients.get(waits), how);
    await(
        () ->
            connections(true, port, ESTABLISHED) == open - 1
                && connections(true, port, CLOSE_WAIT) == 0);
    a.go.countDown();
    assertEquals("200", status(exchange(connect(), request("/read/after", 90_000))));
    assertFalse(a.got.containsKey("/read/" + waits + "then"), "sent on: " + a.got);
  }

  /**
   * An endpoint turns the request away, the next one's connection comes up late, and the client
   * leaves meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"closes,true", "closes,false", "resets,false", "half-closes,true"})
  void whoLeavesWhileItsRepeatWaitsIsNotSentOn(String how, boolean cancel) throws Exception {
    Late late = new Late();
    servingPatiently(
        entry("a", "in_service", a.address()), "\"cancel\":true", "\"cancel\":" + cancel);
    Socket client = connect();
    begin(client, request("/read/fullthen", 90_000), "/read/fullthen");
    discovery.tell(entry("b", "in_service", late.address()));
    a.go.countDown();
    late.awaitRequested(); // the repeat
    leave(client, how);
    await(() -> connections(true, port, ESTABLISHED) + connections(true, port, CLOSE_WAIT) == 0);
    late.room();
    late.serves();
    discovery.tell(
        entry(
            "a",
            "terminating",
            a.address())); // so that what comes next goes where the repeat would
    assertEquals("200", status(exchange(connect(), request("/read/after", 90_000))));
    assertEquals(List.of("/read/after"), late.got);
  }

  /**
   * An attempt waits for its connection while news of its endpoint comes: it goes where the list
   * says by then, or not at all.
   */
  @ParameterizedTest
  @ValueSource(strings = {"terminating", "terminated", "moved", "began anew"})
  void listUpdatesMeetAnAttemptThatWaits(String news) throws Exception {
    Late late = new Late();
    servingPatiently(entry("a", "in_service", late.address()));
    Socket client = connect();
    client
        .getOutputStream()
        .write(request("/read/x", 90_000).getBytes(StandardCharsets.ISO_8859_1));
    late.awaitRequested();
    long nowMs = System.currentTimeMillis();
    discovery.tell(
        switch (news) {
          case "moved" -> entry("a", "in_service", b.address());
          case "began anew" ->
              entry("a", "in_service", late.address())
                  .replace("\"started_ms\":0", "\"started_ms\":" + nowMs);
          default -> entry("b", "in_service", b.address()) + "," + entry("a", news, late.address());
        });
    Socket opened = late.open();
    assertEquals("", message(opened.getInputStream()), "what it was opened for is no more");
    boolean other = news.startsWith("term"); // the same endpoint is not tried twice for one request
    assertEquals(other ? "200" : "503", status(message(client.getInputStream())));
    assertEquals(other ? 1 : 0, b.requests.size());
  }

  /**
   * The connection comes up, its endpoint drains and the request's time ends, all while nothing is
   * read: then nothing is sent.
   */
  @ParameterizedTest
  @ValueSource(strings = {"drains", "out of time"})
  void aConnectionComesUpInTheTurnThatForbidsIt(String what) throws Exception {
    Late late = new Late();
    servingPatiently(entry("a", "in_service", late.address()));
    Socket client = connect();
    int timeoutMs = what.equals("drains") ? 90_000 : 2500;
    long fromNs = System.nanoTime();
    client
        .getOutputStream()
        .write(request("/read/x", timeoutMs).getBytes(StandardCharsets.ISO_8859_1));
    late.awaitRequested();
    Socket[] opened = new Socket[1];
    held(
        () -> {
          opened[0] = late.open();
          if (what.equals("drains")) {
            discovery.news(
                entry("b", "in_service", b.address())
                    + ","
                    + entry("a", "terminating", late.address()));
            rested(); // its bytes are on their way over loopback
          }
          while (!what.equals("drains")
              && System.nanoTime() - fromNs < (timeoutMs + 50) * 1_000_000L) {
            Thread.sleep(5);
          }
        });
    if (what.equals("drains")) {
      assertEquals("200", status(message(client.getInputStream())));
      assertEquals(1, b.requests.size());
      assertEquals("", message(opened[0].getInputStream()));
    } else {
      String answer = message(client.getInputStream());
      assertTrue(status(answer).matches("50[23]"), answer);
      late.serves(opened[0]);
      late.serves();
      assertEquals("200", status(exchange(connect(), request("/read/after", 90_000))));
      assertEquals(List.of("/read/after"), late.got);
    }
  }

  /**
   * Requests that wait in the listening socket's queue when it is to be closed, at a stop, are
   * taken and answered.
   */
  @Test
  void whatWaitsToBeAcceptedAtTheEndIsAnswered() throws Exception {
    serving(entry("a", "in_service", a.address()));
    signal("TERM");
    awaitStopping();
    List<Socket> clients = new ArrayList<>();
    held(
        () -> {
          Thread.sleep(700); // it wakes past the time at which it closes that socket
          for (int i = 0; i < 30; i++) {
            Socket client = connect();
            client
                .getOutputStream()
                .write(request("/read/ok", 2000).getBytes(StandardCharsets.ISO_8859_1));
            clients.add(client);
          }
        });
    for (Socket client : clients) {
      String answer = message(client.getInputStream());
      assertTrue(status(answer).matches("200|503") && answer.contains("connection: close"), answer);
    }
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
  }

  /**
   * The rest of a request comes on a connection that stayed open long into a stop: it is answered
   * before the end is forced.
   */
  @Test
  void aRequestThatComesLateIntoAStopIsAnswered() throws Exception {
    serving(entry("a", "in_service", a.address()));
    assertEquals("200", status(exchange(connect(), request("/read/ok", 2000))));
    Socket client = connect();
    String request = request("/buy/hang", 2000);
    client
        .getOutputStream()
        .write(request.substring(0, request.length() - 1).getBytes(StandardCharsets.ISO_8859_1));
    signal("TERM");
    long fromNs = System.nanoTime();
    awaitStopping();
    Thread.sleep(1200);
    client
        .getOutputStream()
        .write(request.substring(request.length() - 1).getBytes(StandardCharsets.ISO_8859_1));
    String answer = message(client.getInputStream());
    assertTrue(status(answer).matches("50[23]"), answer);
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertTrue(System.nanoTime() - fromNs > 1_200_000_000L);
  }

  /**
   * Told to stop, it goes on hearing of drains until its last attempt, also after a call to the
   * list that failed.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aStoppingProcessHearsOfDrains(boolean fails) throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket client = connect();
    String request = request("/read/late", 2000);
    client
        .getOutputStream()
        .write(request.substring(0, request.length() - 1).getBytes(StandardCharsets.ISO_8859_1));
    signal("TERM");
    awaitStopping();
    if (fails) {
      discovery.broken.add(answer(503, "", ""));
      discovery.news(
          entry(
              "b",
              "in_service",
              b.address())); // the call that is out brings it, the next one fails
      await(() -> discovery.broken.isEmpty());
    }
    discovery.tell(
        entry("b", "in_service", b.address()) + "," + entry("a", "terminating", a.address()));
    client
        .getOutputStream()
        .write(request.substring(request.length() - 1).getBytes(StandardCharsets.ISO_8859_1));
    assertEquals("200", status(message(client.getInputStream())));
    assertEquals(0, a.requests.size());
    assertEquals(1, b.got.get("/read/late"));
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
  }

  /**
   * Half a request holds a stop back, so that its last byte finds somebody; what is silent does
   * not.
   */
  @Test
  void nothingThatStaysOpenIsLeftAtTheExit() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket half = connect();
    String request = request("/read/ok", 2000);
    half.getOutputStream().write(request.substring(0, 20).getBytes(StandardCharsets.ISO_8859_1));
    Socket silent = connect();
    signal("TERM");
    assertEquals(-1, silent.getInputStream().read(), "closed once it is too late to begin");
    half.getOutputStream().write(request.substring(20).getBytes(StandardCharsets.ISO_8859_1));
    assertEquals("200", status(message(half.getInputStream())));
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
  }

  /**
   * The list's answer comes twice at once: the second is not read as the answer to the next call,
   * which brings a drain.
   */
  @Test
  void aSecondAnswerOfTheListHidesNoNews() throws Exception {
    String none = answer(200, "", "{\"version\":1,\"full\":false,\"servers\":[]}");
    discovery.broken.add(none + none);
    serving(entry("a", "in_service", a.address()));
    await(() -> discovery.broken.isEmpty());
    discovery.tell(
        entry("b", "in_service", b.address()) + "," + entry("a", "terminating", a.address()));
    assertEquals("200", status(exchange(connect(), request("/read/after", 2000))));
    assertEquals(1, b.got.get("/read/after"));
    assertEquals(2, discovery.accepted.get(), "on a connection of its own");
  }

  /**
   * Where lists are pushed, the agent's counts from the first moment: a new process is not ready by
   * the old one it was given.
   */
  @Test
  void whereListsArePushedTheFirstArrivesBeforeItIsReady() throws Exception {
    discovery.broken.add(
        "later"
            + answer(
                200,
                "",
                "{\"version\":9,\"full\":true,\"servers\":["
                    + entry("b", "in_service", b.address())
                    + ","
                    + entry("a", "terminating", a.address())
                    + "]}"));
    start(
        entry("a", "in_service", a.address()),
        "\"locality\"",
        "\"discovery\":\"automatic\",\"locality\"");
    awaitReady();
    assertEquals("200", status(exchange(connect(), request("/read/x", 2000))));
    assertEquals(0, a.requests.size());
    assertEquals(1, b.requests.size());
    assertTrue(discovery.requests.get(0).contains("since=0"), "whole: " + discovery.requests);
  }

  /** ... but an agent that is silent must not keep it from serving. */
  @Test
  void aSilentAgentDoesNotKeepItFromServing() throws Exception {
    discovery.broken.add("silent");
    start(
        entry("a", "in_service", a.address()),
        "\"locality\"",
        "\"discovery\":\"automatic\",\"locality\"");
    awaitReady();
    assertEquals("200", status(exchange(connect(), request("/read/x", 2000))));
  }

  /**
   * Idle clients fill the descriptors while the list can't be had: it is had at its return, and
   * requests on open connections are served.
   */
  @Test
  void idleClientsKeepNobodyFromTheList() throws Exception {
    launcher = List.of("prlimit", "--nofile=256:256");
    for (int i = 0; i < 12; i++) {
      discovery.broken.add(answer(503, "Connection: close\r\n", ""));
    }
    serving(entry("a", "in_service", a.address()));
    Socket own = connect();
    for (int i = 0; i < 3; i++) { // who asked once only makes room for others
      assertEquals("200", status(exchange(own, request("/read/before", 2000))));
    }
    for (int i = 0; i < 400; i++) {
      connect();
      if (i % 8
          == 0) { // it is in use, as open connections are; one that rests for 2 s may be closed to
        // make room
        assertEquals("200", status(exchange(own, request("/read/meanwhile", 2000))));
      }
    }
    assertFalse(discovery.broken.isEmpty(), "it can't be had all that time");
    discovery.tell(
        entry("b", "in_service", b.address()) + "," + entry("a", "terminating", a.address()));
    assertEquals("200", status(exchange(own, request("/read/after", 2000))));
    assertEquals(1, b.got.get("/read/after"));
  }

  private static String list(int version, int count, String address) {
    return "{\n  \"version\": "
        + version
        + ",\n  \"full\": true,\n  \"servers\": [\n"
        + java.util.stream.IntStream.range(0, count)
            .mapToObj(
                i ->
                    "    "
                        + entry(
                                "s-" + i + "-of-a-long-name-0123456789abcdef",
                                "in_service",
                                address)
                            .replace("{", "{\n      ")
                            .replace(",", ",\n      ")
                            .replace("\":", "\": ")
                            .replace("}", "\n    }"))
            .collect(java.util.stream.Collectors.joining(",\n"))
        + "\n  ]\n}\n";
  }

  /**
   * A thousand endpoints in an indented list, and a thousand sidecars: taken. What is larger than
   * may be is refused, and the last list holds.
   */
  @Test
  void aLongListIsTakenAndOneTooLongIsRefused() throws Exception {
    String longest = answer(200, "", list(7, 1024, b.address()));
    assertTrue(longest.length() > 200_000, "" + longest.length());
    discovery.broken.add(longest);
    start(
        entry("a", "in_service", a.address()),
        "\"balancers\":1",
        "\"balancers\":1024",
        "\"locality\"",
        "\"discovery\":\"automatic\",\"locality\"");
    awaitReady();
    for (int i = 0; i < 20; i++) {
      assertEquals("200", status(exchange(connect(), request("/read/x", 2000))));
    }
    assertEquals(20, b.got.get("/read/x"));
    discovery.broken.add(answer(200, "", list(8, 8000, a.address())));
    discovery.news(""); // has the call that is out answered, and then comes that
    awaitLine("endpoint list larger than 1048576 bytes, keeping the last one");
    assertEquals("200", status(exchange(connect(), request("/read/x", 2000))));
    assertEquals(0, a.requests.size());
  }

  /**
   * Calls to a list that has just failed, or moved, wait for hardly any news: what was missed is
   * about to count as told.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aCallAfterAFailureOrAMoveRequestsWhatThereIs(boolean moves) throws Exception {
    StandIn moved = standIn();
    if (!moves) {
      discovery.broken.add(answer(503, "", ""));
    }
    serving(entry("a", "in_service", a.address()));
    await(() -> discovery.requests.size() >= (moves ? 1 : 2));
    if (moves) {
      discovery.tell(entry("a", "in_service", a.address())); // from then on its calls are a watch
    }
    if (moves) {
      hangUp(discovery.address(), moved.address());
      awaitLine("discovery moved to " + moved.address());
      await(() -> !moved.requests.isEmpty());
    }
    assertTrue(
        !moves || discovery.requests.get(discovery.requests.size() - 1).contains("timeout_ms=1500"),
        "" + discovery.requests);
    assertTrue(
        (moves ? moved.requests.get(0) : discovery.requests.get(1)).contains("timeout_ms=250"),
        discovery.requests + " " + moved.requests);
  }

  /** SIGTERM while it starts: it goes, and never says that it is ready. */
  @Test
  void aStopBeforeItIsReadyEndsTheStart() throws Exception {
    start(
        entry("a", "in_service", a.address()),
        "\"seed\"",
        "\"admin_addr\":\"127.0.0.1:0\",\"seed\"");
    awaitLine("admin endpoint on");
    signal("TERM");
    signal("TERM");
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertFalse(log.lines().anyMatch(line -> line.contains("SEVERE")));
  }
}
