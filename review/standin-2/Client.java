import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;

/** One client connection, with one request at a time; opened anew after a close. */
final class Client {
  private final int port;
  private Socket socket;
  private BufferedInputStream in;

  Client(int port) {
    this.port = port;
  }

  /**
   * Sends a request and waits for its answer. A connection that was closed between two requests is
   * replaced once. Throws {@link IOException} where no whole answer comes within the time.
   */
  Http.Message call(String text, int waitMs) throws IOException {
    boolean isKept = socket != null;
    try {
      return callOnce(text, waitMs);
    } catch (ClosedBeforeAnswer closed) {
      close();
      if (!isKept) {
        throw closed;
      }
      return callOnce(text, waitMs);
    } catch (IOException failed) {
      close();
      throw failed;
    }
  }

  private static final class ClosedBeforeAnswer extends IOException {
    ClosedBeforeAnswer() {
      super("the connection was closed before the answer");
    }
  }

  private Http.Message callOnce(String text, int waitMs) throws IOException {
    if (socket == null) {
      socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }
    socket.setSoTimeout(waitMs);
    socket.getOutputStream().write(Http.bytes(text));
    Http.Message answer = Http.read(in);
    if (answer == null) {
      throw new ClosedBeforeAnswer();
    }
    if ("close".equalsIgnoreCase(answer.field("connection"))) {
      close();
    }
    return answer;
  }

  void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException gone) {
      // closed already
    }
    socket = null;
  }

  /** The text of a request. */
  static String request(String method, String path, String id, int timeoutMs, String key, String body) {
    return method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
        + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\n"
        + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
        + (method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "")
        + "\r\n" + body;
  }
}
