package dillcross.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers the parser's results for valid and malformed messages, however their bytes arrive. */
class HttpMessageParserTest {
  /** The bytes of a message that is written with {@code |} for each line end. */
  private static byte[] bytes(String text) {
    return text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  private static HttpMessageParser parser(boolean requests) {
    return new HttpMessageParser(
        requests, HttpMessageParser.MAX_BUFFERED_BODY_BYTES, 1 << 20, new MemoryBudget(1 << 20));
  }

  /** Parses a text that arrives all at once; null if it contains no message. */
  private static HttpMessage read(HttpMessageParser parser, String text, boolean ended) {
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    assertTrue(buffer.add(bytes(text)));
    return parser.parse(buffer, ended).orElse(null);
  }

  /** The method and target of a request, or the version and status of a response. */
  private static String startOf(HttpMessage message) {
    if (message instanceof HttpRequest request) {
      return request.method() + " " + request.target();
    }
    return message.version() + " " + ((HttpResponse) message).status();
  }

  /**
   * Parses bytes that arrive in pieces, and describes the messages: the start and body of each,
   * then "whole" if the body was streamed to its end, and a fault. 500 bytes {@code a} are written
   * as {@code #}.
   *
   * @param piece the size of the pieces; the largest size if there is a random generator
   * @param random draws the sizes of the pieces; null if all have the same size
   */
  private static String readAll(boolean requests, byte[] all, int piece, Random random) {
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    HttpMessageParser parser = parser(requests);
    StringBuilder parsed = new StringBuilder();
    for (int at = 0; at <= all.length && parser.fault() == 0; ) {
      int count =
          Math.min(
              Math.min(all.length - at, buffer.freeBytes(1 << 17)),
              random == null ? piece : 1 + random.nextInt(piece));
      buffer.add(java.util.Arrays.copyOfRange(all, at, at += count));
      boolean ended = at == all.length;
      boolean more = true;
      while (more && parser.fault() == 0) {
        HttpMessage message =
            parser.isStreaming() ? null : parser.parse(buffer, ended).orElse(null);
        if (message != null) {
          parsed
              .append(startOf(message))
              .append(' ')
              .append(new String(message.body(), StandardCharsets.US_ASCII));
        }
        int run = parser.isStreaming() ? parser.availableBody(buffer, ended) : 0;
        if (run > 0) {
          byte[] bytes = new byte[run];
          buffer.copyTo(0, bytes, 0, run);
          buffer.skip(run);
          parser.onBodyTaken(run);
          parsed.append(new String(bytes, StandardCharsets.US_ASCII));
        }
        if (parser.isStreaming() && parser.isBodyComplete()) {
          parser.finish();
          parsed.append(" whole");
        }
        more = message != null || run > 0;
      }
      at += ended ? 1 : 0;
    }
    return (parsed + (parser.fault() == 0 ? "" : " fault " + parser.fault()))
        .trim()
        .replace("a".repeat(500), "#");
  }

  /**
   * Parses each form of a message at once, byte by byte, and in pieces of random sizes, with the
   * same result. LARGE stands for a body of 70,000 bytes, which is streamed, and CHUNKS for the
   * same body in chunks, without the last chunk.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "POST /buy/1?x=2 HTTP/1.1|Host: a|Content-Length: 5||hello!POST /buy/1?x=2 hello",
        "||POST /buy HTTP/1.1|host:a|x: 1|X: 2|content-length: 5||hello!POST /buy hello",
        "POST /buy HTTP/1.1|Host: a|Content-Length: 5|content-length: 5||hello!POST /buy hello",
        "POST /buy HTTP/1.1|Host: a|Transfer-Encoding: chunked||3|hel|2;ext=1|lo|0|Trailer: x||!POST /buy hello",
        "POST /buy HTTP/1.1|Host: a|Transfer-Encoding: Chunked||0||!POST /buy ",
        "GET http://a.svc:80/read?x HTTP/1.1|Host: a||!GET /read?x ",
        "GET http://a HTTP/1.1|Host: a||!GET / ",
        "GET ftp://a/ HTTP/1.1|Host: a||! fault 400",
        "POST /b HTTP/1.0|Content-Length: 2||ab!POST /b ab",
        "GET /a HTTP/1.1|Host: a||GET /b HTTP/1.1|Host: a||!GET /a GET /b ",
        "POST /b HTTP/1.1|Host: a|Expect: 100-continue|Content-Length: 2||ab!POST /b ab",
        "POST /b HTTP/1.1|Host: a|Transfer-Encoding: chunked||2|abcd! fault 400",
        "POST /b HTTP/1.1|Host: a|Content-Length: 70000||LARGE!POST /b LARGE whole",
        "POST /b HTTP/1.1|Host: a|Transfer-Encoding: chunked||CHUNKS0||!POST /b LARGE whole",
        "POST /b HTTP/1.1|Host: a|Content-Length: 70000||LARGEGET /c HTTP/1.1|Host: a||!POST /b LARGE wholeGET /c ",
        "HTTP/1.1 200 OK|Content-Length: 70000||LARGEHTTP/1.1 200 OK|Content-Length: 1||x!HTTP/1.1 200 LARGE wholeHTTP/1.1 200 x",
        "HTTP/1.1 100 Go on||HTTP/1.1 200 OK|Connection: x, close||LARGE!HTTP/1.1 200 LARGE whole",
        "HTTP/1.0 200 OK||ab!HTTP/1.0 200 ab",
        "HTTP/1.1 200|Transfer-Encoding: chunked||CHUNKS0|T: x||!HTTP/1.1 200 LARGE whole",
        "HTTP/1.1 200|Transfer-Encoding: chunked||CHUNKSzz|!HTTP/1.1 200 LARGE fault 400",
        "HTTP/1.1 304 No|Content-Length: 5||HTTP/1.1 200|Content-Length: 1||x!HTTP/1.1 304 HTTP/1.1 200 x"
      })
  void parsesEachFormTheSameInAnyPieces(String text, String expected) {
    String chunks = "4e20;x=y|" + "a".repeat(20_000) + "|1|a|" + "C34F|" + "a".repeat(49_999) + "|";
    byte[] all = bytes(text.replace("LARGE", "a".repeat(70_000)).replace("CHUNKS", chunks));
    String want = expected.trim().replace("LARGE", "#".repeat(140));
    boolean requests = !text.startsWith("HTTP");
    assertEquals(want, readAll(requests, all, all.length, null));
    assertEquals(want, readAll(requests, all, 1, null));
    Random random = new Random(3);
    for (int i = 0; i < 20; i++) {
      assertEquals(want, readAll(requests, all, 1 + random.nextInt(all.length), random));
    }
  }

  /** The status is that of the fault; 0 if the text may be the start of a valid request. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "hello!0",
        "hello||!400",
        "GET  /x HTTP/1.1|Host: a||!400",
        "GET /x HTTP/2.0|Host: a||!400",
        "GET x HTTP/1.1|Host: a||!400",
        "G(T /x HTTP/1.1|Host: a||!400",
        "GET /x HTTP/1.1||!400",
        "GET /x HTTP/1.1|Host: a|Host: b||!400",
        "GET /x HTTP/1.1|Host : a||!400",
        "GET /x HTTP/1.1|Host: a| folded: b||!400",
        "GET /x HTTP/1.1|Host: a|y: \u0001||!400",
        "POST /x HTTP/1.1|Host: a|Content-Length: 1|Content-Length: 2||a!400",
        "POST /x HTTP/1.1|Host: a|Content-Length: 1|Transfer-Encoding: chunked||a!400",
        "POST /x HTTP/1.1|Host: a|Content-Length: -1||!400",
        "POST /x HTTP/1.1|Host: a|Content-Length: 1x||!400",
        "POST /x HTTP/1.1|Host: a|Content-Length: 1048577||!413",
        "POST /x HTTP/1.1|Host: a|Content-Length: 9999999999999999999||!400",
        "POST /x HTTP/1.1|Host: a|Transfer-Encoding: gzip||!400",
        "POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||zz|!400",
        "POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||fffffff|!413",
        "POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||1|abc!400",
        "POST /x HTTP/1.0|Transfer-Encoding: chunked||!400"
      })
  void reportsFaultsOfRequests(String text, int status) {
    HttpMessageParser parser = parser(true);
    assertNull(read(parser, text, false));
    assertEquals(status, parser.fault());
  }

  @Test
  void reportsAHeadThatIsTooLarge() {
    HttpMessageParser parser = parser(true);
    assertNull(read(parser, "GET /x HTTP/1.1|a: " + "b".repeat(17_000), false));
    assertEquals(431, parser.fault());
  }

  /** Returns a response only if all of it has arrived; - stands for none. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "HTTP/1.1 200 OK|Content-Length: 2||ab!false!ab",
        "HTTP/1.1 200 OK|Content-Length: 3||ab!true!-",
        "HTTP/1.1 200 OK|Connection: close||ab!true!ab",
        "HTTP/1.1 200 OK|Connection: close||ab!false!-",
        "HTTP/1.0 200 OK||ab!true!ab",
        "HTTP/1.1 200 OK|Server-Load: \u0001\u00ff|Server-Load: q=1|Content-Length: 1||a!false!a",
        "HTTP/1.1 102 Wait|X: 1||HTTP/1.1 103 Hints||HTTP/1.1 200 OK|content-length: 1||cHTTP/1.1!false!c",
        "HTTP/1.1 100 Continue||HTTP/1.1 200 OK|content-length: 1||c!false!c",
        "HTTP/1.1 204 None||!false!''",
        "HTTP/1.1 200|Transfer-Encoding: chunked||1|a|0||!false!a",
        "HTTP/1.1 200|Transfer-Encoding: chunked||1|a|!true!-"
      })
  void returnsOnlyCompleteResponses(String text, boolean ended, String body) {
    HttpMessage response = read(parser(false), text, ended);
    assertEquals(
        body, response == null ? "-" : new String(response.body(), StandardCharsets.US_ASCII));
  }

  /**
   * A malformed response is a fault as soon as it is recognized, even if its end never arrives; the
   * attempt would wait until its deadline otherwise. The status is 0 if the response may become
   * valid. Nine interim responses in a row are no fault, but an endless row of them is.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "\u0007\u0003noise!400",
        "HTTQ!400",
        "HTTP/1.1 200 OK||a!400",
        "HTTP/1.1 200 OK|Content-Length: -1||!400",
        "HTTP/1.1 200 OK|Content-Length: 1|Content-Length: 2||a!400",
        "HTTP/1.1 200 OK|Content-Length: 3000000000||a!413",
        "HTTP/1.1 200 OK|Content-Length: 1048577||!413",
        "HTTP/1.1 200 OK|Content-Length: 1048576||!0",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||ffffff|a!413",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||zz|abcde|0||!400",
        "HTTP/1.1 200 OK|Content-Length: 2|Transfer-Encoding: chunked||ab!400",
        "HTTP/1.1 200 OK|no colon||!400",
        "HTTP/1.1!0",
        "||HTTP/1.1 2!0"
      })
  void reportsFaultsOfResponsesAtOnce(String text, int status) {
    HttpMessageParser parser = parser(false);
    assertNull(read(parser, text, false));
    assertEquals(status, parser.fault());
    assertNull(read(parser(false), "HTTP/1.1 100 Go on||".repeat(9), false));
    HttpMessageParser endless = parser(false);
    assertNull(read(endless, "HTTP/1.1 100 Go on||".repeat(99), false));
    assertEquals(431, endless.fault(), "too many interim responses");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "GET /x HTTP/1.1|Host: a||!true",
        "GET /x HTTP/1.1|Host: a|Connection: close||!false",
        "GET /x HTTP/1.0||!false",
        "GET /x HTTP/1.0|Connection: keep-alive||!true"
      })
  void keepsConnectionsAliveAsTheSenderAsks(String text, boolean kept) {
    assertEquals(kept, read(parser(true), text, false).keepsAlive());
  }

  @Test
  void reportsExpectContinueOnce() {
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    HttpMessageParser parser = parser(true);
    buffer.add(bytes("POST /x HTTP/1.1|Host: a|Expect: 100-continue|Content-Length: 2||"));
    assertNull(parser.parse(buffer, false).orElse(null));
    assertTrue(parser.takeExpectsContinue());
    assertFalse(parser.takeExpectsContinue());
    buffer.add(bytes("ab"));
    assertNotNull(parser.parse(buffer, false).orElse(null));
  }

  @Test
  void doesNotForwardHopByHopFields() {
    HttpMessage request =
        read(
            parser(true),
            "GET /x HTTP/1.1|Host: a|Connection: x-mine|X-Mine: 1|Keep-Alive: 5|X-Other: 2||",
            false);
    assertEquals("{host=a, x-other=2}", request.forwardedFields().toString());
  }

  /**
   * Input with random errors, in two pieces, is a message, a fault or incomplete, but never causes
   * an exception.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void neverThrowsForMalformedInput(boolean requests) {
    String[] seeds = {
      "POST /buy HTTP/1.1|Host: a|Content-Length: 5||hello",
      "GET /x?y HTTP/1.1|Host: a|Expect: 100-continue||",
      "POST /buy HTTP/1.1|Host: a|Transfer-Encoding: chunked||3|hel|2|lo|0||",
      "HTTP/1.1 200 OK|Content-Length: 2||ab",
      "HTTP/1.1 200 OK|Transfer-Encoding: chunked||1|a|0||",
      "HTTP/1.1 503 No|Connection: close||x"
    };
    Random random = new Random(11);
    for (int i = 0; i < 30_000; i++) {
      byte[] all = bytes(seeds[random.nextInt(seeds.length)]);
      for (int changes = random.nextInt(4); changes >= 0; changes--) {
        all[random.nextInt(all.length)] = (byte) random.nextInt(256);
      }
      int cut = random.nextInt(all.length + 1);
      RingBuffer buffer =
          new RingBuffer(1 << 12, new MemoryBudget(1 << 12), MemoryUse.REQUEST_INPUT);
      HttpMessageParser parser = parser(requests);
      buffer.add(java.util.Arrays.copyOfRange(all, 0, cut));
      HttpMessage first = parser.parse(buffer, false).orElse(null);
      buffer.add(java.util.Arrays.copyOfRange(all, cut, all.length));
      HttpMessage last = first != null ? first : parser.parse(buffer, true).orElse(null);
      assertTrue(last == null || last.body().length <= all.length);
      assertTrue(last == null || parser.fault() == 0);
    }
  }

  /**
   * The arrival of a large body's last byte is known while that byte waits in the buffer, because
   * the request's timeout starts then. It is not known in advance for a chunked body.
   */
  @ParameterizedTest
  @CsvSource({
    "100, true, false",
    "69999, true, false",
    "70000, true, true",
    "100, false, false",
    "70000, false, false"
  })
  void knowsWhenTheLastByteHasArrived(int arrived, boolean hasLength, boolean isKnown) {
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    HttpMessageParser parser =
        new HttpMessageParser(true, 1 << 10, 1 << 20, new MemoryBudget(1 << 20));
    String head =
        "POST /b HTTP/1.1\r\nHost: a\r\n"
            + (hasLength
                ? "Content-Length: 70000\r\n\r\n"
                : "Transfer-Encoding: chunked\r\n\r\n11170\r\n");
    buffer.add(head.getBytes(StandardCharsets.US_ASCII));
    buffer.add(new byte[Math.min(arrived, 2000)]);
    HttpMessage message = parser.parse(buffer, false).orElse(null);
    assertEquals(arrived > 1024, message != null && message.isStreaming());
    buffer.add(new byte[arrived - Math.min(arrived, 2000)]);
    assertEquals(isKnown, parser.hasRestArrived(buffer));
  }

  /**
   * Guards against: a body of unknown length, and a head of many fields, fill the heap although the
   * memory budget looks unused.
   */
  @Test
  void takesIncompleteRequestFromTheMemoryBudget() {
    MemoryBudget budget = new MemoryBudget(1 << 20);
    HttpMessageParser parser = new HttpMessageParser(true, 1 << 16, 1 << 20, budget);
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    StringBuilder fields = new StringBuilder();
    for (int i = 0; i < 100; i++) {
      fields.append("X-").append(i).append(": n|");
    }

    buffer.add(bytes("POST /b HTTP/1.1|Host: a|" + fields + "Transfer-Encoding: chunked||"));
    assertTrue(parser.parse(buffer, false).isEmpty());
    long headBytes = budget.taken();
    assertTrue(headBytes > 10_000, "the head takes " + headBytes + " bytes");

    buffer.add(bytes("7530|" + "x".repeat(30_000)));
    assertTrue(parser.parse(buffer, false).isEmpty());
    assertTrue(budget.taken() > headBytes + 30_000, "with body " + budget.taken() + " bytes");

    buffer.add(bytes("|0||"));
    assertEquals(30_000, parser.parse(buffer, false).orElseThrow().body().length);
    assertEquals(headBytes + 30_000, budget.taken(), "the request waits for its response");
    parser.releaseMessage();
    assertEquals(0, budget.taken());
  }

  /** Guards against: a request is read on although the memory budget has no space for it. */
  @ParameterizedTest
  @ValueSource(ints = {0, 20_000})
  void refusesRequestForWhichThereIsNoMemory(int budgetBytes) {
    MemoryBudget budget = new MemoryBudget(budgetBytes);
    HttpMessageParser parser = new HttpMessageParser(true, 1 << 16, 1 << 20, budget);
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    buffer.add(bytes("POST /b HTTP/1.1|Host: a|Transfer-Encoding: chunked||7530|"));
    buffer.add(new byte[30_000]);

    assertTrue(parser.parse(buffer, false).isEmpty());

    assertTrue(parser.isStarved());
    parser.release();
    assertEquals(0, budget.taken());
  }

  /** Guards against: heads of many fields are parsed although there is no memory for them. */
  @Test
  void refusesHeadForWhichThereIsNoMemory() {
    MemoryBudget budget = new MemoryBudget(0);
    HttpMessageParser parser = new HttpMessageParser(true, 1 << 16, 1 << 20, budget);
    String head = "GET /b HTTP/1.1|Host: a|" + "X: n|".repeat(100) + "|";

    assertNull(read(parser, head, false));

    assertTrue(parser.isStarved());
    assertEquals(0, budget.taken());
  }

  /** A response is not refused where there is no memory to collect it: it is streamed. */
  @Test
  void streamsResponseThatCannotBeCollected() {
    MemoryBudget budget = new MemoryBudget(0);
    HttpMessageParser parser = new HttpMessageParser(false, 1 << 16, 1 << 20, budget);
    RingBuffer buffer = new RingBuffer(1 << 17, new MemoryBudget(1 << 20), MemoryUse.REQUEST_INPUT);
    buffer.add(bytes("HTTP/1.1 200 OK|Transfer-Encoding: chunked||9c40|"));
    buffer.add(new byte[35_000]);

    HttpMessage message = parser.parse(buffer, false).orElseThrow();

    assertEquals(HttpMessage.UNKNOWN, message.remainingBytes());
    assertEquals(35_000, message.body().length + parser.availableBody(buffer, false));
    assertEquals(0, budget.taken());
  }

  /** Guards against: a response that was begun fails because there is no memory for all of it. */
  @Test
  void streamsResponseOfKnownLengthForWhichThereIsNoMemory() {
    MemoryBudget budget = new MemoryBudget(0);
    HttpMessageParser parser = new HttpMessageParser(false, 1 << 16, 1 << 20, budget);
    RingBuffer buffer = new RingBuffer(1 << 17, budget, MemoryUse.RESPONSE_INPUT);
    buffer.add(bytes("HTTP/1.1 200 OK|Content-Length: 60000||"));
    buffer.add(new byte[1000]);

    HttpMessage message = parser.parse(buffer, false).orElseThrow();

    assertEquals(60_000, message.body().length + message.remainingBytes());
    assertEquals(1000, message.body().length);
  }

  /** Guards against: others wait while the tiny chunks of one client are read all at once. */
  @Test
  void readsManyTinyChunksInSteps() {
    int chunks = 10_000;
    MemoryBudget budget = new MemoryBudget(1 << 20);
    RingBuffer in = new RingBuffer(1 << 17, budget, MemoryUse.REQUEST_INPUT);
    in.add(
        ("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "1\r\nx\r\n".repeat(chunks)
                + "0\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    HttpMessageParser parser = new HttpMessageParser(true, 1 << 16, 1 << 20, budget);

    int steps = 1;
    Optional<HttpMessage> message = parser.parse(in, false);
    while (message.isEmpty()) {
      steps++;
      message = parser.parse(in, false);
    }

    assertTrue(steps >= chunks / 500, "steps: " + steps);
    assertEquals(chunks, message.get().body().length);
  }
}
