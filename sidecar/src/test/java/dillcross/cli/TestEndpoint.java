package dillcross.cli;

import static dillcross.cli.HttpMessages.pathOf;
import static dillcross.cli.HttpMessages.readMessage;
import static dillcross.cli.HttpMessages.response;
import static dillcross.cli.HttpMessages.send;

import java.io.InputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * An endpoint whose response to a request follows from the last segment of the request's path, for
 * instance {@code /read/500}; any other segment gets a plain success.
 */
final class TestEndpoint extends LoopbackServer {
  /** The body of a plain success. */
  static final String BODY = "caf\u00e9 \u0001 body";

  /** The length of the body of {@code /large}. */
  static final int LARGE_BODY_BYTES = 400_000;

  /** The length of the body of {@code /medium}: more than a buffer holds at first. */
  static final int MEDIUM_BODY_BYTES = 7_000;

  /** The length of the body of {@code /full64}, the longest that is buffered completely. */
  static final int LARGEST_BUFFERED_BYTES = 64 << 10;

  /** The number of body bytes that are sent of a truncated response. */
  static final int BROKEN_BODY_BYTES = 80_000;

  private static final long SLOW_RESPONSE_MS = 700;
  private static final long SECOND_RESPONSE_DELAY_MS = 300;

  /** Path segments for which the connection is closed after the response, if there is one. */
  private static final Set<String> CLOSE_AFTER =
      Set.of("cut", "reset", "garbled", "brokenlength", "brokenchunks");

  /** The number of requests by path. */
  final Map<String, Integer> requestCounts = new ConcurrentHashMap<>();

  /** Responses to paths ending in {@code then} are held back until this latch is counted down. */
  final CountDownLatch released = new CountDownLatch(1);

  /** Counted down once the second response to {@code /late} was sent. */
  final CountDownLatch secondResponseSent = new CountDownLatch(1);

  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    for (String request = readMessage(in); !request.isEmpty(); request = readMessage(in)) {
      requests.add(request);
      String path = pathOf(request);
      requestCounts.merge(path, 1, Integer::sum);
      String behaviour = path.substring(path.lastIndexOf('/') + 1);
      awaitResponseTime(behaviour);
      send(socket, responseFor(behaviour));
      if (behaviour.equals("late")) {
        Thread.sleep(SECOND_RESPONSE_DELAY_MS);
        send(socket, response(200, "", "stale"));
        secondResponseSent.countDown();
      }
      if (CLOSE_AFTER.contains(behaviour)) {
        return;
      }
    }
  }

  private void awaitResponseTime(String behaviour) throws InterruptedException {
    if (behaviour.endsWith("then")) {
      released.await();
    }
    if (behaviour.equals("hang")) {
      new CountDownLatch(1).await();
    }
    if (behaviour.equals("slow")) {
      Thread.sleep(SLOW_RESPONSE_MS);
    }
  }

  private static String responseFor(String behaviour) {
    return switch (behaviour) {
      case "500", "400" -> response(Integer.parseInt(behaviour), "", "");
      case "full", "fullthen" -> response(503, "Not-Started: 1\r\n", "");
      case "plain503" -> response(503, "", "");
      case "cut" -> response(200, "", BODY).substring(0, 50);
      case "garbled" -> "hello\r\n\r\n";
      case "reset" -> "";
      case "large" -> response(200, "", "x".repeat(LARGE_BODY_BYTES));
      case "medium" -> response(200, "", "x".repeat(MEDIUM_BODY_BYTES));
      case "full64" -> response(200, "", "x".repeat(LARGEST_BUFFERED_BYTES));
      case "brokenlength" ->
          "HTTP/1.1 200 x\r\nContent-Length: 900000\r\n\r\n" + "x".repeat(BROKEN_BODY_BYTES);
      case "brokenchunks" ->
          "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"
              + "x".repeat(BROKEN_BODY_BYTES);
      case "noise" -> "\u0001\u0002 no answer";
      case "endless" -> "HTTP/1.1 200 x\r\n\r\nand more";
      case "huge" -> "HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n" + "x".repeat(100_000);
      case "twice" ->
          "HTTP/1.1 100 x\r\n\r\n"
              + response(200, "Server-Load: \u0001\r\n", BODY)
              + response(200, "", "stale");
      case "chunked" ->
          "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(BODY.length())
              + "\r\n"
              + BODY
              + "\r\n0\r\n\r\n";
      default -> response(200, "Content-Type: text/odd\r\nServer-Load: TEXT queue=1\r\n", BODY);
    };
  }
}
