package dillcross.cli;

import static dillcross.cli.HttpMessages.chunk;
import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers what happens when peers make the sidecar hold more than its memory; see {@link
 * dillcross.net.buffer.MemoryBudget}.
 */
class MemoryLimitIT extends SidecarFixture {
  private static final int MAX_SOCKETS = 1024;
  private static final int CROWD = 640; // fewer than the sidecar accepts
  private static final int WAVES = 2;
  private static final int HALF_MEMORY_MB = 96;
  private static final int HALF_SOCKETS = 512;
  private static final int HALF_CROWD = 300; // fewer than the sidecar accepts then
  private static final int CROWD_MS = 3000;
  private static final int SHORT_FIELDS = 1000;
  private static final int HEAD_FIELDS = 150;
  private static final int CHUNKS = 65;
  private static final int CHUNK_BYTES = 1000;
  private static final int MAX_ANSWER_MS = DEFAULT_TIMEOUT_MS + 550; // later is never
  private static final int MAX_PEAK_KILOBYTES = 192 << 10;
  private static final int USUAL_REQUESTS = 40; // in each wave
  private static final int LONG_REQUESTS = 200;
  private static final int LONG_REQUEST_INTERVAL_MS = 8;
  private static final int ANNOUNCED_BYTES = 64_000;
  private static final String REJECTION = "HTTP/1.1 503";
  private static final int MAX_UNREAD_ANSWERS = 320;
  private static final int PIPELINED = 250; // their answers are longer than the sockets' buffers
  private static final int SETTLE_MS = 200;
  private static final int USUAL_INTERVAL_MS = 50;

  /** Guards against: bodies that stop half way fill the heap, and usual clients get no answer. */
  @Test
  void servesOthersWhileManyChunkedBodiesStopHalfWay() throws Exception {
    startAndAwaitReady(new TestConfig(entryOfA()).maxSockets(MAX_SOCKETS));
    String request = halfOfChunkedRequest();
    Socket usual = connect();
    assertServedInTime(usual);
    assertServedInTime(usual); // after one request the connection might be closed to make room
    for (int wave = 0; wave < WAVES; wave++) {
      List<Socket> crowd = new ArrayList<>();
      for (int i = 0; i < CROWD; i++) {
        crowd.add(connectAndSend(request.replace("Request-Id: ", "Request-Id: w" + wave + i)));
      }
      for (int i = 0; i < USUAL_REQUESTS; i++) {
        assertServedInTime(usual);
        Thread.sleep(USUAL_INTERVAL_MS);
      }
      for (Socket client : crowd) {
        client.close();
      }
    }

    int peakKilobytes = sidecar.peakMemoryKilobytes();
    assertTrue(peakKilobytes < MAX_PEAK_KILOBYTES, "peak memory: " + peakKilobytes + " kB");
    sidecar.signal("TERM");
    assertEquals(
        List.of(),
        sidecar.remainingLog().stream().filter(line -> line.contains("OutOfMemoryError")).toList());
  }

  /** Guards against: a crowd brings the process over its limit where that is half the usual. */
  @ParameterizedTest
  @ValueSource(strings = {"heads of many fields", "half bodies", "unread answers"})
  void staysWithinHalfOfTheUsualMemory(String crowd) throws Exception {
    LongAnswerEndpoint endpoint = open(new LongAnswerEndpoint());
    startAndAwaitReady(
        new TestConfig(inService("long", endpoint.address()))
            .maxSockets(HALF_SOCKETS)
            .replace("{\"sockets\"", "{\"memory_mb\":" + HALF_MEMORY_MB + ",\"sockets\""));
    for (int wave = 0; wave < WAVES; wave++) {
      List<Socket> clients = new ArrayList<>();
      for (int i = 0; i < HALF_CROWD; i++) {
        clients.add(connectWithSmallWindow());
        sendWhatIsTaken(clients.get(i), requestOf(crowd));
      }
      Thread.sleep(CROWD_MS);
      for (Socket client : clients) {
        client.close();
      }
    }

    int peakMb = sidecar.peakMemoryKilobytes() >> 10;
    assertTrue(peakMb <= HALF_MEMORY_MB, "peak memory: " + peakMb + " MB");
    await(() -> statusOfNewClient(request("/read/short")).equals("200"));
  }

  private String requestOf(String crowd) {
    return switch (crowd) {
      case "heads of many fields" ->
          withBody(request("/buy/ok"), 60_000, "x".repeat(59_000))
              .replace("X-Trace: t\r\n", shortFields());
      case "half bodies" -> withBody(request("/buy/ok"), 30_000_000, "x".repeat(500_000));
      default -> request("/read/long");
    };
  }

  private static String shortFields() {
    StringBuilder fields = new StringBuilder();
    for (int i = 0; i < SHORT_FIELDS; i++) {
      fields.append('a').append(i).append(":\r\n");
    }
    return fields.toString();
  }

  private static void sendWhatIsTaken(Socket client, String request) {
    try {
      send(client, request);
    } catch (IOException refused) {
      // the sidecar may refuse the request before all of it was sent
    }
  }

  /** Guards against: answers that an endpoint has begun are dropped once the memory is used up. */
  @Test
  void deliversManyLongAnswersOfSlowEndpoints() throws Exception {
    TricklingEndpoint endpoint = open(new TricklingEndpoint());
    startAndAwaitReady(
        new TestConfig(inService("slow", endpoint.address())).maxSockets(MAX_SOCKETS));
    List<CompletableFuture<String>> results = new ArrayList<>();
    ExecutorService threads = Executors.newFixedThreadPool(LONG_REQUESTS);
    for (int i = 0; i < LONG_REQUESTS; i++) {
      results.add(CompletableFuture.supplyAsync(this::statusOfLongAnswer, threads));
      Thread.sleep(LONG_REQUEST_INTERVAL_MS);
    }

    for (CompletableFuture<String> result : results) {
      String status = result.get();
      assertTrue(List.of("200", "503").contains(status), status);
    }
    threads.shutdown();
    assertTrue(
        results.stream().map(CompletableFuture::join).filter("200"::equals).count()
            >= LONG_REQUESTS / 2,
        "most are served");
  }

  /** The status of a long answer that came whole; "cut" if it did not, "closed" if none began. */
  private String statusOfLongAnswer() {
    try {
      Socket client = connect();
      send(client, request("/read/long"));
      String answer = readResponse(client);
      boolean isWhole =
          answer.length() - answer.indexOf("\r\n\r\n") - 4 == TricklingEndpoint.BODY_BYTES;
      return statusOf(answer).equals("200") && !isWhole ? "cut" : statusOf(answer);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Guards against: bodies that are announced and never come take all of the memory. */
  @Test
  void answersOthersWhileManyAnnouncedBodiesDoNotCome() throws Exception {
    startAndAwaitReady(new TestConfig(entryOfA()).maxSockets(MAX_SOCKETS));
    for (int i = 0; i < CROWD - USUAL_REQUESTS; i++) {
      send(connect(), withBody(request("/buy/ok"), ANNOUNCED_BYTES, "x".repeat(100)));
    }
    awaitClientInputRead();

    for (int i = 0; i < USUAL_REQUESTS; i++) {
      Socket client = connect();
      String answer = exchange(client, request("/read/medium"));
      assertEquals("200", statusOf(answer));
      assertTrue(answer.endsWith("x".repeat(TestEndpoint.MEDIUM_BODY_BYTES)));
      client.close();
    }
    assertEquals(
        "200",
        statusOfNewClient(withBody(request("/buy/ok"), 20_000, "x".repeat(20_000))),
        "an announced length takes no memory from requests that come whole");
  }

  /** Guards against: requests are forwarded, and their answers dropped, when no memory is left. */
  @Test
  void rejectsRequestsBeforeTheyAreForwardedWhileAnswersFillTheMemory() throws Exception {
    LongAnswerEndpoint endpoint = open(new LongAnswerEndpoint());
    startAndAwaitReady(
        new TestConfig(inService("long", endpoint.address()))
            .maxSockets(MAX_SOCKETS)
            .replace("{\"sockets\"", "{\"memory_mb\":64,\"sockets\"")
            .replace("\"cancel\":true", "\"cancel\":true,\"retry_after\":true")
            .replace("\"max_pushes\"", "\"max_retry_after_ms\":1000,\"max_pushes\""));
    List<Socket> readers = new ArrayList<>();
    String answer = "";
    while (!answer.startsWith(REJECTION)) {
      assertTrue(readers.size() < MAX_UNREAD_ANSWERS, "not rejected, but " + answer);
      Socket reader = connectWithSmallWindow();
      readers.add(reader);
      send(reader, request("/read/long"));
      assertTrue(reader.getInputStream().read() >= 0, "an answer begins, whatever it is");
      answer = exchange(connect(), request("/read/short"));
      assertTrue(List.of("200", "503").contains(statusOf(answer)), answer);
    }
    assertTrue(answer.contains("retry-after: 1.000\r\n"), answer);

    for (Socket reader : readers) {
      reader.close();
    }
    await(() -> statusOfNewClient(request("/read/short")).equals("200"));
  }

  /** Opens a connection whose unread input stays with the sidecar, and not in the sockets. */
  private Socket connectWithSmallWindow() throws IOException {
    Socket socket = new Socket();
    toClose.add(socket);
    socket.setReceiveBufferSize(1);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), sidecar.port));
    return socket;
  }

  /** Guards against: a connection is closed because a second answer does not fit behind a first. */
  @Test
  void answersAllPipelinedRequestsOfClientThatReadsLate() throws Exception {
    startAndAwaitReady(new TestConfig(entryOfA()));
    Socket client = connect();
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < PIPELINED; i++) {
      requests.append(request("/read/full64"));
    }

    send(client, requests.toString());
    int answered = -1;
    while (answered != endpointA.requests.size()) { // until the sidecar can't write any more
      answered = endpointA.requests.size();
      Thread.sleep(SETTLE_MS);
    }

    for (int i = 0; i < PIPELINED; i++) {
      String answer = readResponse(client);
      assertEquals("200", statusOf(answer), "request " + i);
      assertTrue(answer.endsWith("x".repeat(TestEndpoint.LARGEST_BUFFERED_BYTES)));
    }
  }

  private String halfOfChunkedRequest() {
    StringBuilder fields = new StringBuilder();
    for (int i = 0; i < HEAD_FIELDS; i++) {
      fields.append("X-").append(i).append(": ").append("n".repeat(35)).append("\r\n");
    }
    String request = withChunks(request("/buy/ok"), chunk(CHUNK_BYTES).repeat(CHUNKS));
    return request.replace("Transfer-Encoding", fields + "Transfer-Encoding");
  }

  /** Sends what the sidecar takes: it may refuse the request before all of it was sent. */
  private Socket connectAndSend(String request) throws IOException {
    Socket socket = connect();
    try {
      send(socket, request);
    } catch (IOException refused) {
      socket.close();
    }
    return socket;
  }

  private void assertServedInTime(Socket client) throws IOException {
    long startNs = System.nanoTime();
    assertEquals("200", statusOf(exchange(client, request("/read/ok"))));
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    assertTrue(elapsedMs < MAX_ANSWER_MS, "answered after " + elapsedMs + " ms");
  }
}
