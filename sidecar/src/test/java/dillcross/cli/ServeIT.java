package dillcross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Starts the built program and speaks to it over loopback, with small stand-ins for endpoints and
 * discovery.
 */
@Timeout(
    value = 60,
    threadMode =
        Timeout.ThreadMode.SEPARATE_THREAD) // a read of the log is not ended by an interrupt
class ServeIT extends SidecarFixture {
  private static final int LARGE = 12 << 20;

  /**
   * Each row of the protocol's outcomes, for a request whose repeat only the endpoint's own cell
   * would recognise.
   */
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
  void eachOutcome(String what, String status) throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    String answer = exchange(socket, request("/buy/x/" + what, 600));
    assertEquals(status, status(answer), answer);
    assertEquals(1, a.got.get("/buy/x/" + what), "pushed once");
    String forwarded = a.requests.get(0);
    assertTrue(
        forwarded.contains("request-id: r1\r\n")
            && forwarded.contains("idempotency-key: k9\r\n")
            && forwarded.contains("x-trace: t\r\n")
            && forwarded.endsWith("\r\n\r\nabc"),
        forwarded);
    int waitMs =
        Integer.parseInt(forwarded.replaceAll("(?s).*request-timeout-ms: ([0-9]+).*", "$1"));
    assertTrue(waitMs > 0 && waitMs <= 600, forwarded);
    if (status.equals("200")) {
      assertTrue(answer.endsWith("\r\n\r\n" + BODY), answer);
    }
    String after;
    do { // the load balancer may stay away from it for a moment
      after = status(exchange(socket, request("/read/ok", 2000)));
    } while (after.equals("503"));
    assertEquals("200", after, "the connection and the sidecar live on");
  }

  /**
   * A spoilt answer may have run: it ends its attempt at once, and its connection; nothing of it
   * reaches a client.
   */
  @ParameterizedTest
  @ValueSource(strings = {"noise", "endless", "huge"})
  void aMalformedResponseEndsItsAttemptAtOnce(String what) throws Exception {
    start(entry("a", "in_service", a.address()), "\"ttl_ms\":2000", "\"ttl_ms\":60000");
    awaitReady();
    Socket socket = connect();
    assertEquals("502", status(exchange(socket, request("/buy/" + what, 60_000))));
    assertEquals("200", status(exchange(socket, request("/buy/ok", 2000))));
    assertEquals(2, a.accepted.get());
  }

  /** An answer may be far larger than a request; it is passed on whole. */
  @Test
  void largeAnswersArePassedOn() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    for (int i = 0; i < 20; i++) {
      String answer = exchange(socket, request("/read/large", 2000));
      assertTrue(
          status(answer).equals("200") && answer.endsWith("x".repeat(400_000)),
          () -> answer.substring(0, 80));
    }
    assertEquals(20, a.got.get("/read/large"));
  }

  /**
   * What is sent behind a request that is open waits, more than a ring holds too, and each is
   * answered in its turn.
   */
  @Test
  void pipelinedRequestsWaitTheirTurn() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    StringBuilder all = new StringBuilder(request("/buy/slow", 2000));
    for (int kb : new int[] {20, 60, 60, 1}) {
      all.append(
          request("/buy/" + kb, 5000)
              .replace(
                  "Content-Length: 3\r\n\r\nabc",
                  "Content-Length: " + kb * 1000 + "\r\n\r\n" + "b".repeat(kb * 1000)));
    }
    byte[] bytes = all.toString().getBytes(StandardCharsets.US_ASCII);
    int cut = bytes.length - 5000; // in the fourth, of which the ring holds most by then
    socket.getOutputStream().write(bytes, 0, cut);
    for (int i = 0; i < 5; i++) {
      assertEquals("200", status(message(socket.getInputStream())), "request " + i);
      if (i == 2) {
        socket.getOutputStream().write(bytes, cut, bytes.length - cut);
      }
    }
    assertEquals(
        List.of("/buy/slow", "/buy/20", "/buy/60", "/buy/60", "/buy/1"),
        a.requests.stream().map(r -> r.split(" ")[1]).toList());
  }

  private static String digest(byte[] bytes) throws Exception {
    return java.util.HexFormat.of()
        .formatHex(java.security.MessageDigest.getInstance("SHA-256").digest(bytes));
  }

  private static byte[] large(int seed) {
    byte[] bytes = new byte[LARGE];
    new java.util.Random(seed).nextBytes(bytes);
    return bytes;
  }

  /**
   * 12 MB both ways on eight connections at once, far more than the heap holds, by length and in
   * chunks; one client reads late.
   */
  @Test
  void largeBodiesFlowBothWays() throws Exception {
    StandIn echo = new StandIn(true);
    toClose.add(echo);
    serving(entry("a", "in_service", echo.address()));
    List<java.util.concurrent.CompletableFuture<String>> notified = new ArrayList<>();
    CountDownLatch others = new CountDownLatch(7);
    for (int i = 0; i < 8; i++) {
      int n = i;
      notified.add(
          java.util.concurrent.CompletableFuture.supplyAsync(
              () -> {
                try {
                  byte[] sent = large(n);
                  Socket socket =
                      connect(); // not before its turn: the program closes one that says nothing
                  // for 2 s
                  var out = new java.io.BufferedOutputStream(socket.getOutputStream(), 50_000);
                  String chunked =
                      n % 2 == 0 ? "Content-Length: " + sent.length : "Transfer-Encoding: chunked";
                  out.write(
                      ("POST /buy/echo"
                              + n % 2
                              + " HTTP/1.1\r\nHost: a\r\nRequest-Id: big"
                              + n
                              + "\r\nRequest-Timeout-Ms: 2000\r\nIdempotency-Key: k\r\n"
                              + chunked
                              + "\r\n\r\n")
                          .getBytes(StandardCharsets.US_ASCII));
                  for (int at = 0; at < sent.length; at += 60_000) {
                    int count = Math.min(60_000, sent.length - at);
                    out.write(
                        n % 2 == 0
                            ? new byte[0]
                            : (Integer.toHexString(count) + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                    out.write(sent, at, count);
                    out.write(n % 2 == 0 ? new byte[0] : new byte[] {'\r', '\n'});
                  }
                  out.write(
                      n % 2 == 0 ? new byte[0] : "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                  out.flush();
                  String head = head(socket.getInputStream());
                  if (n == 7) {
                    others.await(); // whoever reads late holds nobody up
                  }
                  byte[] got = body(socket.getInputStream(), head);
                  others.countDown();
                  return status(head) + " " + digest(got).equals(digest(sent));
                } catch (Exception broken) {
                  throw new IllegalStateException(broken);
                }
              }));
    }
    for (var one : notified) {
      assertEquals("200 true", one.get());
    }
    assertEquals("200", status(exchange(connect(), request("/read/ok", 2000))));
    assertEquals(8, sentOnce("/buy/echo0", echo) + sentOnce("/buy/echo1", echo));
  }

  /**
   * An answer that breaks off after its first bytes went on ends short for the client, and one of
   * the old version is reset.
   */
  @ParameterizedTest
  @ValueSource(strings = {"brokenlength", "brokenchunks"})
  void aBreakInMidAnswerIsSeen(String what) throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    socket
        .getOutputStream()
        .write(request("/read/" + what, 2000).getBytes(StandardCharsets.US_ASCII));
    String head = head(socket.getInputStream());
    assertEquals("200", status(head));
    String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    assertTrue(
        rest.chars().filter(c -> c == 'x').count() == 80_000 && !rest.endsWith("0\r\n\r\n"),
        "all that was given, and no end");
    assertEquals(what.equals("brokenlength"), head.contains("content-length: 900000"), head);
    Socket old = connect();
    old.getOutputStream()
        .write(
            request("/read/brokenchunks", 2000)
                .replace("HTTP/1.1", "HTTP/1.0")
                .getBytes(StandardCharsets.US_ASCII));
    assertEquals("200", status(head(old.getInputStream())));
    org.junit.jupiter.api.Assertions.assertThrows(
        IOException.class,
        () -> old.getInputStream().readAllBytes(),
        "a plain end would pass for a whole");
    assertEquals("200", status(exchange(connect(), request("/read/ok", 2000))));
  }

  /**
   * What comes behind a good answer, with it or late, belongs to nobody: it must not answer the
   * next request.
   */
  @ParameterizedTest
  @ValueSource(strings = {"twice", "late"})
  void whatComesBehindAnAnswerAnswersNothing(String what) throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    String answer = exchange(socket, request("/read/" + what, 2000));
    assertTrue(status(answer).equals("200") && answer.endsWith(BODY), answer);
    while (what.equals("late") && !a.got.containsKey("written")) {
      Thread.sleep(1);
    }
    for (int i = 0; i < 5; i++) {
      answer = exchange(socket, request("/read/ok", 2000));
      assertTrue(status(answer).equals("200") && answer.endsWith(BODY), answer);
      rested();
    }
    assertEquals(2, a.accepted.get());
  }

  @Test
  void whatNeverConnectsIsRejected() throws Exception {
    a.close();
    serving(entry("a", "in_service", a.address()));
    assertEquals("503", status(exchange(connect(), request("/buy/ok", 600))));
  }

  @Test
  void aClientThatDisconnectsCancelsItsAttempt() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    begin(socket, request("/buy/hang", 2000), "/buy/hang");
    socket.close();
    assertEquals("200", status(exchange(connect(), request("/read/ok", 2000))));
  }

  @Test
  void connectionsAreUsedAgain() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    for (int i = 0; i < 50; i++) {
      rested();
      assertEquals(
          "200",
          status(
              exchange(
                  socket,
                  "GET /read/"
                      + i
                      + "?q=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: "
                      + i
                      + "\r\nRequest-Timeout-Ms: 2000\r\n\r\n")));
    }
    assertEquals(50, a.requests.size());
    assertEquals(1, a.accepted.get());
    assertEquals("200", status(exchange(socket, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")));
    assertTrue(a.requests.get(7).startsWith("GET /read/7?q=1 HTTP/1.1\r\n"), a.requests.get(7));
  }

  /**
   * What a cut-off machine leaves open is dead: connections older than an attempt that was given up
   * are not used again.
   */
  @Test
  void connectionsOlderThanAnAbandonedAttemptAreClosed() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket first = connect();
    Socket second = connect();
    first
        .getOutputStream()
        .write(request("/read/slow", 2000).getBytes(StandardCharsets.ISO_8859_1));
    assertEquals("200", status(exchange(second, request("/read/slow", 2000))));
    assertEquals("200", status(message(first.getInputStream())));
    assertEquals(2, a.accepted.get());
    rested();
    assertEquals("502", status(exchange(first, request("/buy/hang", 300))));
    assertEquals("200", status(exchange(first, request("/read/ok", 2000))));
    assertEquals(3, a.accepted.get());
  }

  /**
   * An attempt that is written as the endpoint closes an idle connection may have run: we close
   * before it does.
   */
  @Test
  void idleConnectionsAreDroppedBeforeTheirLimit() throws Exception {
    start(entry("a", "in_service", a.address()), "\"keepalive_ms\":9000", "\"keepalive_ms\":300");
    awaitReady();
    Socket socket = connect();
    assertEquals("200", status(exchange(socket, request("/read/ok", 2000))));
    Thread.sleep(400);
    assertEquals("200", status(exchange(socket, request("/read/ok", 2000))));
    assertEquals(2, a.accepted.get());
  }

  @Test
  void aConnectThatGetsNoAnswerIsRejected() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket full = new Socket(silent.getInetAddress(), silent.getLocalPort());
        Socket over = new Socket(silent.getInetAddress(), silent.getLocalPort())) {
      serving(entry("a", "in_service", "127.0.0.1:" + silent.getLocalPort()));
      assertTrue(full.isConnected() && over.isConnected());
      assertEquals("503", status(exchange(connect(), request("/buy/ok", 1500))));
    }
  }

  /**
   * The watch brings a new endpoint, and the end of another; from then on that one gets nothing.
   */
  @Test
  void theListIsFollowedAndDrainsAreKept() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    assertEquals("200", status(exchange(socket, request("/read/before", 2000))));
    discovery.tell(
        entry("b", "in_service", b.address()) + "," + entry("a", "terminating", a.address()));
    int before = a.requests.size();
    for (int i = 0; i < 20; i++) {
      assertEquals("200", status(exchange(socket, request("/read/after", 2000))));
    }
    assertEquals(before, a.requests.size());
    assertEquals(20, b.got.get("/read/after"));
  }

  private long descriptors() throws IOException {
    try (var open = Files.list(Path.of("/proc", process.pid() + "", "fd"))) {
      return open.count();
    }
  }

  /**
   * Endpoints come and go, some at the address of one that has gone: each gets connections of its
   * own, and they go with it.
   */
  @Test
  void aNewEndpointAtAnOldAddressInheritsNothing() throws Exception {
    serving(entry("a0", "in_service", a.address()));
    Socket socket = connect();
    assertEquals("200", status(exchange(socket, request("/read/ok", 2000))));
    long before = descriptors();
    for (int i = 1; i <= 20; i++) {
      discovery.tell(
          entry("a" + i, "in_service", a.address())
              + ","
              + entry("a" + (i - 1), "terminated", a.address()));
      assertEquals("200", status(exchange(socket, request("/read/ok", 2000))));
      assertEquals(i + 1, a.accepted.get());
    }
    while (descriptors() > before + 1) {
      Thread.sleep(20); // closed ones go at the next select
    }
  }

  /** A watch that falls silent is given up before long, and the list asked for anew. */
  @Test
  @Timeout(18)
  void aSilentWatchIsRenewed() throws Exception {
    discovery.broken.add("silent");
    serving(entry("a", "in_service", a.address()));
    discovery.tell(
        entry("b", "in_service", b.address()) + "," + entry("a", "terminated", a.address()));
    assertEquals("200", status(exchange(connect(), request("/read/after", 2000))));
    assertEquals(1, b.got.get("/read/after"));
  }

  /**
   * Discovery that is down, overloaded or talks nonsense: the last list holds, and news comes
   * through when it is back.
   */
  @Test
  void anUnavailableListIsRequestedAgain() throws Exception {
    discovery.broken.addAll(
        List.of(
            answer(503, "", ""),
            answer(200, "", "{\"version\":"),
            "",
            answer(200, "", "{\"version\":2,\"servers\":[{}]}")));
    serving(entry("a", "in_service", a.address()));
    assertEquals("200", status(exchange(connect(), request("/read/before", 2000))));
    discovery.tell(
        entry("b", "in_service", b.address()) + "," + entry("a", "terminated", a.address()));
    assertTrue(discovery.broken.isEmpty());
    assertEquals("200", status(exchange(connect(), request("/read/after", 2000))));
    assertEquals(1, b.got.get("/read/after"));
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
  void badInputIsRefusedAndGoesNoFurther(String request) throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    String answer = exchange(socket, request);
    assertTrue(status(answer).startsWith("4") && !status(answer).equals("429"), answer);
    assertEquals(-1, socket.getInputStream().read(), "closed");
    assertTrue(a.requests.isEmpty());
    assertEquals("200", status(exchange(connect(), request("/read/ok", 2000))), "and it lives on");
  }

  /** The answer to an id that is open belongs to the one who asked first. */
  @Test
  void anIdThatIsOpenIsNotTakenTwice() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket first = connect();
    String request = request("/read/slow", 2000);
    begin(first, request, "/read/slow");
    assertEquals("400", status(exchange(connect(), request)));
    assertEquals("200", status(message(first.getInputStream())));
    assertEquals("200", status(exchange(first, request)), "answered, it is free again");
    assertEquals(2, a.got.get("/read/slow"));
  }

  /**
   * What an endpoint turns down for what it is goes nowhere else, and is no mark against the
   * endpoint.
   */
  @Test
  void whatAnEndpointTurnsDownIsTheClientsFault() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    for (int i = 0; i < 20; i++) {
      assertEquals("400", status(exchange(socket, request("/read/400", 2000))));
    }
    assertEquals(20, a.got.get("/read/400"), "each was pushed once");
    assertEquals(
        "200", status(exchange(socket, request("/read/ok", 2000))), "and it was not ejected");
  }

  /**
   * More clients than there are descriptors, none with a whole request: the usual ones are served
   * meanwhile.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "G", "once"})
  void aCrowdDoesNotKeepTheUsualClientsOut(String what) throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket usual = connect();
    for (int i = 0; i < 3; i++) {
      assertEquals("200", status(exchange(usual, request("/read/ok", 2000))));
    }
    for (int i = 0; i < 300; i++) {
      Socket one = connect();
      if (what.equals("once")) {
        assertEquals("200", status(exchange(one, request("/read/ok", 2000))));
      } else {
        one.getOutputStream().write(what.getBytes(StandardCharsets.ISO_8859_1));
      }
    }
    Socket late = connect();
    late.setSoTimeout(8000); // not when the crowd has given up
    assertEquals("200", status(exchange(late, request("/read/ok", 2000))));
    assertEquals(
        "200",
        status(exchange(usual, request("/read/ok", 2000))),
        "who asked again and again kept its connection");
    assertTrue(process.isAlive());
  }

  /**
   * Who asks once and stays holds no place for good: in a crowd its answer says that the connection
   * closes.
   */
  @Test
  void inACrowdAFirstAnswerClosesItsConnection() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket usual = connect();
    for (int i = 0; i < 3; i++) {
      assertEquals("200", status(exchange(usual, request("/read/ok", 2000))));
    }
    int closed = 0;
    for (int i = 0; i < 80; i++) {
      Socket once = connect();
      String answer = exchange(once, request("/read/ok", 2000));
      assertEquals("200", status(answer));
      if (answer.contains("connection: close")) {
        assertEquals(-1, once.getInputStream().read());
        closed++;
      }
    }
    assertTrue(closed > 0 && closed < 80, () -> "first answers that close");
    assertFalse(
        exchange(usual, request("/read/ok", 2000)).contains("connection: close"),
        "who asked again and again keeps it");
  }

  /**
   * Who says nothing is closed, who says half is told so; what is sent after an error does not eat
   * its answer.
   */
  @Test
  void slowClientsAreTimed() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket silent = connect();
    Socket half = connect();
    assertEquals("200", status(exchange(half, request("/read/ok", 2000))));
    String answer = exchange(half, "GET /read/ok HTTP/1.1\r\nHost");
    assertEquals("408", status(answer), answer);
    assertEquals(-1, half.getInputStream().read(), "and closed");
    assertEquals(-1, silent.getInputStream().read());
    Socket large = connect();
    answer =
        exchange(
            large,
            "POST /buy/x HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n"
                + "x".repeat(400_000));
    assertEquals("413", status(answer), answer);
    assertEquals("200", status(exchange(connect(), request("/read/ok", 2000))));
    assertEquals(2, a.requests.size());
  }

  /**
   * Many large requests at once, more than the memory holds: each is served or turned away, none
   * brings it down.
   */
  @Test
  void manyLargeRequestsAreBounded() throws Exception {
    sockets = 1024;
    serving(entry("a", "in_service", a.address()));
    List<Socket> all = new ArrayList<>();
    List<Long> sinceNs = new ArrayList<>();
    for (int i = 0; i < 450; i++) {
      sinceNs.add(System.nanoTime());
      String request =
          request("/buy/ok", 2000)
                  .replace("Content-Length: 3\r\n\r\nabc", "Content-Length: 60000\r\n\r\n")
              + "x".repeat(60_000);
      all.add(connect());
      all.get(i)
          .getOutputStream()
          .write(request.substring(0, request.length() - 1).getBytes(StandardCharsets.ISO_8859_1));
    }
    for (Socket socket : all) {
      try {
        String status = status(exchange(socket, "x"));
        boolean slow =
            System.nanoTime() - sinceNs.get(all.indexOf(socket))
                > 2_000_000_000L; // this machine was, and then it is told so
        assertTrue(
            List.of("200", "503", "closed").contains(status) || (slow && status.equals("408")),
            status);
      } catch (java.net.SocketException closed) {
        socket.close(); // turned away before its last byte
      }
    }
    Matcher peak =
        Pattern.compile("VmHWM:\\s*([0-9]+) kB")
            .matcher(Files.readString(Path.of("/proc", process.pid() + "", "status")));
    assertTrue(
        peak.find() && Integer.parseInt(peak.group(1)) < 192 << 10,
        "within the memory it gets: " + peak.group(1) + " kB");
    assertEquals("200", status(exchange(connect(), request("/read/ok", 2000))));
    assertTrue(process.isAlive());
  }

  /**
   * A new configuration: what is open goes on, the list is asked for where discovery is now; a
   * faulty file changes nothing.
   */
  @Test
  void hangUpReadsTheConfigurationAgain() throws Exception {
    StandIn moved = standIn();
    serving(entry("a", "in_service", a.address()));
    Socket socket = connect();
    assertEquals("200", status(exchange(socket, request("/read/before", 2000))));
    rested();
    begin(socket, request("/buy/slow", 2000), "/buy/slow");
    String was0 = Files.readString(folder.resolve("config.json"));
    for (String fault :
        new String[] {
          "",
          "{\"discovery\":\"x\"}",
          "\"seed\":\"1f\"",
          "soon",
          was0.substring(0, was0.length() / 2),
          was0.replace("\"ttl_ms\":2000", "\"ttl_ms\":0")
              .replace(discovery.address(), moved.address()),
          was0.replace("\"benefit\":1", "\"gain\":1").replace(discovery.address(), moved.address())
        }) {
      String was = Files.readString(folder.resolve("config.json"));
      hangUp(was, fault);
      awaitLine("keeping the old one");
      Files.writeString(folder.resolve("config.json"), was);
    }
    hangUp(discovery.address(), moved.address());
    awaitLine("discovery moved to " + moved.address());
    discovery.close();
    moved.tell(
        entry("b", "in_service", b.address()) + "," + entry("a", "terminating", a.address()));
    assertTrue(
        moved.requests.get(0).contains("since=0"), "its numbers may be others: " + moved.requests);
    assertEquals(
        "200",
        status(message(socket.getInputStream())),
        "what was open is answered on its connection");
    for (int i = 0; i < 10; i++) {
      assertEquals("200", status(exchange(socket, request("/read/after", 2000))));
    }
    assertEquals(10, b.got.get("/read/after"));
    hangUp("\"seed\"", "\"seed\"");
    awaitLine("discovery still at " + moved.address());
    assertEquals(1, a.accepted.get(), "nor did it lose a connection");
  }

  /** How many requests with such a path endpoints were sent; none of them twice. */
  private static long sentOnce(String path, StandIn... endpoints) {
    List<String> ids = new ArrayList<>();
    for (StandIn endpoint : endpoints) {
      synchronized (endpoint.requests) {
        endpoint.requests.stream()
            .filter(r -> r.contains(" " + path + " "))
            .forEach(r -> ids.add(r.replaceAll("(?si).*request-id: *(\\S+).*", "$1")));
      }
    }
    assertEquals(ids.size(), ids.stream().distinct().count(), "sent twice: " + ids);
    return ids.size();
  }

  /**
   * Settings are switched with requests in flight, forth and back: each request has one answer,
   * none runs twice.
   */
  @Test
  void newSettingsAreTakenOnForthAndBack() throws Exception {
    String pay =
        "{\"name\":\"pay\",\"effect\":\"at_most_once\",\"target_latency_ms\":400,\"ttl_ms\":2000,\"benefit\":1},";
    start(
        entry("a", "in_service", a.address()) + "," + entry("b", "in_service", b.address()),
        "\"categories\":[",
        "\"categories\":[" + pay);
    awaitReady();
    String was = Files.readString(folder.resolve("config.json"));
    String is =
        was.replace("\"name\":\"read\"", "\"name\":\"view\"")
            .replace("\"may_duplicate\":true", "\"may_duplicate\":false")
            .replace(
                "\"locality\"",
                "\"weight_source\":\"live\",\"discovery\":\"automatic\",\"locality\"");
    long sent = 0;
    for (int round = 0; round < 2; round++) {
      List<Socket> open = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        open.add(connect());
        String path = i % 2 == 0 ? "/pay/slow" : round == 0 ? "/read/slow" : "/view/slow";
        open.get(i)
            .getOutputStream()
            .write(request(path, 2000).getBytes(StandardCharsets.ISO_8859_1));
      }
      while (sentOnce("/pay/slow", a, b) <= sent) { // one at the least is in flight at the switch
        Thread.sleep(5);
      }
      hangUp(round == 0 ? was : is, round == 0 ? is : was);
      awaitLine("settings changed");
      for (Socket socket : open) {
        assertTrue(
            List.of("200", "502", "503").contains(status(message(socket.getInputStream()))),
            "one answer each");
        assertEquals(0, socket.getInputStream().available(), "and no more");
      }
      sent = sentOnce("/pay/slow", a, b);
      assertEquals(
          round == 0 ? "404" : "200",
          status(exchange(connect(), request("/read/ok", 2000))),
          "the category that went, or came back");
      assertEquals("200", status(exchange(connect(), request("/pay/ok", 2000))));
    }
    hangUp("\"idempotent\"", "\"sometimes\"");
    awaitLine("effect: unknown word: sometimes");
    assertEquals(
        "200",
        status(exchange(connect(), request("/read/ok", 2000))),
        "a faulty file changes nothing");
    Files.writeString(folder.resolve("config.json"), was);
    hangUp("\"sockets\":256", "\"sockets\":300");
    awaitLine(
        "settings unchanged; discovery still at "
            + discovery.address()
            + "; taken on by a restart only: limits");
  }

  @Test
  void anInvalidKeyIsNamed() throws Exception {
    start(
        entry("a", "in_service", a.address()),
        "\"ask_within_ms\":600",
        "\"ask_within_ms\":\"often\"");
    assertEquals(2, process.waitFor());
    String said = String.join("\n", log.lines().toList());
    assertTrue(said.contains("settings.rules.ask_within_ms"), said);
  }

  /** One call at the admin endpoint. */
  private String call(String call) throws IOException {
    Socket socket = connect(admin);
    String answer =
        exchange(socket, call.contains(" ") ? call + " HTTP/1.1\r\nHost: a\r\n\r\n" : call);
    assertEquals(-1, socket.getInputStream().read(), "one call a connection");
    return answer;
  }

  private void servingWithAdminEndpoint(String... changes) throws IOException {
    List<String> all =
        new ArrayList<>(List.of("\"seed\"", "\"admin_addr\":\"127.0.0.1:0\",\"seed\""));
    all.addAll(List.of(changes));
    start(entry("a", "in_service", a.address()), all.toArray(String[]::new));
    awaitReady();
  }

  /**
   * Operators and clients each have their own side; and callers that finish no call give way to the
   * next.
   */
  @Test
  void theAdminEndpointIsForOperatorsAlone() throws Exception {
    servingWithAdminEndpoint();
    List<Socket> halfCalls = new ArrayList<>();
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
      for (int i = 0; i < 8; i++) {
        halfCalls.add(connect(admin));
        halfCalls
            .get(halfCalls.size() - 1)
            .getOutputStream()
            .write("POST /-/dr".getBytes(StandardCharsets.US_ASCII));
      }
      String answer = call(row[0]);
      assertEquals(row[1], status(answer), row[0]);
      assertEquals(row[1].equals("405"), answer.contains("allow: "), answer);
    }
    assertEquals(-1, halfCalls.get(0).getInputStream().read(), "the oldest made room");
    assertEquals("404", status(exchange(connect(), "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")));
    assertEquals(
        "404",
        status(
            exchange(connect(), "POST /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")));
    String kept = exchange(connect(), request("/read/ok", 2000));
    assertTrue(
        status(kept).equals("200") && !kept.contains("connection: close"),
        "nothing of it drained: " + kept);
    assertEquals(1, a.requests.size());
  }

  /**
   * In a drain the front is told no, all that comes is served, each answer and then what is idle
   * closes; resume takes all back.
   */
  @Test
  void aDrainEmptiesAndAResumeTakesBack() throws Exception {
    servingWithAdminEndpoint();
    for (int round = 0; round < 2; round++) {
      Socket idle = connect();
      assertEquals("200", status(exchange(idle, request("/read/ok", 2000))));
      Socket kept = connect();
      assertEquals("200", status(exchange(kept, request("/read/ok", 2000))));
      Socket busy = connect();
      begin(busy, request("/buy/slow", 2000), "/buy/slow");
      assertEquals("200", status(call("POST /-/drain")));
      assertEquals("200", status(call("POST /-/drain")), "twice is once");
      assertEquals("503", status(exchange(connect(), HEALTH)));
      assertEquals("200", status(call("GET /-/ready")), "it can serve, and does");
      for (Socket late : List.of(connect(), kept)) {
        String answer = exchange(late, request("/read/ok", 2000));
        assertTrue(status(answer).equals("200") && answer.contains("connection: close"), answer);
        assertEquals(-1, late.getInputStream().read());
      }
      assertEquals("200", status(message(busy.getInputStream())), "what was open is answered");
      assertEquals(-1, idle.getInputStream().read(), "nothing idle is held");
      assertEquals("200", status(call("POST /-/resume")));
      assertEquals("200", status(exchange(connect(), HEALTH)));
      String answer = exchange(connect(), request("/read/ok", 2000));
      assertTrue(status(answer).equals("200") && !answer.contains("connection: close"), answer);
    }
    assertTrue(process.isAlive());
  }

  @ParameterizedTest
  @CsvSource({
    "somewhere,2,admin_addr: not a numeric address and port: somewhere",
    "taken,1,can't start"
  })
  void anAdminEndpointThatCannotOpenEndsTheStart(String where, int exit, String said)
      throws Exception {
    start(
        entry("a", "in_service", a.address()),
        "\"seed\"",
        "\"admin_addr\":\"" + (where.equals("taken") ? a.address() : where) + "\",\"seed\"");
    assertEquals(exit, process.waitFor());
    String log = String.join("\n", this.log.lines().toList());
    assertTrue(log.contains(said), log);
  }

  /**
   * Holds the clients' listening socket as a platform does, and starts the program twice on it, the
   * second time once told to.
   */
  private static final String PLATFORM =
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

  /**
   * Under a steady stream of requests a second process takes over the socket: each request is
   * answered once, none runs twice.
   */
  @Test
  void aProcessIsReplacedOnItsInheritedSocket() throws Exception {
    Path go = folder.resolve("go");
    launcher = List.of("perl", "-e", PLATFORM, go.toString());
    inherits = true;
    servingWithAdminEndpoint();
    BufferedReader said =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
    String[] first = said.readLine().split(" ");
    port = Integer.parseInt(first[3]);
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger unheard = new AtomicInteger();
    java.util.concurrent.atomic.AtomicBoolean over =
        new java.util.concurrent.atomic.AtomicBoolean();
    List<java.util.concurrent.CompletableFuture<Void>> clients = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      clients.add(
          java.util.concurrent.CompletableFuture.runAsync(
              () -> {
                try {
                  Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                  while (!over.get()) {
                    String answer = exchange(socket, request("/buy/stream", 2000));
                    assertTrue(List.of("200", "503", "closed").contains(status(answer)), answer);
                    (answer.isEmpty() ? unheard : answered).incrementAndGet();
                    if (answer.isEmpty() || answer.contains("connection: close")) {
                      socket.close();
                      socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    }
                  }
                  socket.close();
                } catch (IOException broken) {
                  throw new java.io.UncheckedIOException(broken);
                }
              }));
    }
    int firstAdmin = admin;
    Files.createFile(go);
    awaitReady();
    assertTrue(admin != firstAdmin, "its own admin endpoint");
    ProcessHandle old = ProcessHandle.of(Long.parseLong(first[1])).orElseThrow();
    assertTrue(old.isAlive() && old.destroy()); // SIGTERM
    old.onExit().get();
    for (int mark = answered.get(); answered.get() < mark + 20; ) {
      Thread.sleep(2);
    }
    over.set(true);
    for (var client : clients) {
      client.get();
    }
    assertTrue(unheard.get() <= 2, "turned back unheard: " + unheard);
    assertTrue(sentOnce("/buy/stream", a) <= answered.get());
    port = Integer.parseInt(first[3]);
    assertEquals("200", status(exchange(connect(), HEALTH)));
    assertEquals("200", status(call("GET /-/ready")));
  }

  @Test
  void aDescriptorThatIsNoListeningSocketEndsTheStart() throws Exception {
    launcher = List.of("env", "NODE_FD=0");
    start(entry("a", "in_service", a.address()));
    assertEquals(1, process.waitFor());
    String said = String.join("\n", log.lines().toList());
    assertTrue(said.contains("can't start: NODE_FD names no listening socket"), said);
  }

  /**
   * At a planned restart it still accepts, answers all that it has taken, and closes each
   * connection after.
   */
  @Test
  void aPlannedStopAnswersAll() throws Exception {
    serving(entry("a", "in_service", a.address()));
    Socket idle = connect();
    assertEquals("200", status(exchange(idle, request("/read/ok", 2000))));
    Socket busy = connect();
    begin(busy, request("/buy/slow", 2000), "/buy/slow");
    signal("TERM");
    while (status(exchange(connect(), HEALTH)).equals("200")) {
      Thread.sleep(2); // it has not heard yet
    }
    String late = exchange(connect(), request("/read/ok", 2000));
    assertEquals("200", status(late), "a new connection is still served");
    assertTrue(late.contains("connection: close"), late);
    assertEquals(
        -1,
        idle.getInputStream().read(),
        "what carries nothing is closed once all had the time to come back");
    String answer = message(busy.getInputStream());
    assertEquals("200", status(answer));
    assertTrue(answer.contains("connection: close"), answer);
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertFalse(process.isAlive());
  }
}
