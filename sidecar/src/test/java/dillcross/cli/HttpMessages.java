package dillcross.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class HttpMessages {
  /** A health check of the sidecar. */
  static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");
  private static final int HEXADECIMAL = 16;

  private HttpMessages() {}

  /** A response with a body; {@code fields} are further header lines, each with its line end. */
  static String response(int status, String fields, String body) {
    return "HTTP/1.1 "
        + status
        + " x\r\n"
        + fields
        + "Content-Length: "
        + body.length()
        + END_OF_HEAD
        + body;
  }

  /** A chunk of a body. */
  static String chunk(int bytes) {
    return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
  }

  /** Writes a text with one byte for each character. */
  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends a request and reads its response; "" if the connection was closed before it. */
  static String exchange(Socket socket, String request) throws IOException {
    send(socket, request);
    return readMessage(socket.getInputStream());
  }

  /** Reads the response on a connection; "" if the connection was closed before it. */
  static String readResponse(Socket socket) throws IOException {
    return readMessage(socket.getInputStream());
  }

  /** Reads a head, and a body by its Content-Length; "" if the connection was closed before it. */
  static String readMessage(InputStream in) throws IOException {
    String head = readHead(in);
    OptionalInt length = contentLength(head);
    if (!head.endsWith(END_OF_HEAD) || length.isEmpty()) {
      return head;
    }
    byte[] body = in.readNBytes(length.getAsInt());
    return head + new String(body, StandardCharsets.ISO_8859_1);
  }

  /** The Content-Length that a head states; empty if it states none. */
  static OptionalInt contentLength(String head) {
    Matcher length = CONTENT_LENGTH.matcher(head);
    return length.find() ? OptionalInt.of(Integer.parseInt(length.group(1))) : OptionalInt.empty();
  }

  /** Reads a head with the empty line after it; incomplete if the connection was closed early. */
  static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(END_OF_HEAD) < 0) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      head.append((char) next);
    }
    return head.toString();
  }

  /** Reads the body that follows a head, by its Content-Length or else in chunks. */
  static byte[] readBody(InputStream in, String head) throws IOException {
    OptionalInt length = contentLength(head);
    if (length.isPresent()) {
      return in.readNBytes(length.getAsInt());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int chunkLength;
    do {
      chunkLength = Integer.parseInt(readLine(in).trim(), HEXADECIMAL);
      body.writeBytes(in.readNBytes(chunkLength));
      in.readNBytes(2); // the line end
    } while (chunkLength > 0);
    return body.toByteArray();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    while (next != '\n' && next >= 0) {
      line.append((char) next);
      next = in.read();
    }
    return line.toString();
  }

  /** The status code of a response; "closed" for "", which stands for a closed connection. */
  static String statusOf(String response) {
    return response.isEmpty() ? "closed" : response.split(" ")[1];
  }

  /** The path of a request, with its query. */
  static String pathOf(String request) {
    return request.split(" ")[1];
  }
}
