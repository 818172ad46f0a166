import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream, as a sound peer does. */
final class Http {
  /** A message; {@code start} is its first line. */
  record Message(String start, Map<String, String> fields, byte[] body) {
    String field(String name) {
      return fields.get(name);
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private Http() {}

  /** Reads one message; null at the end of the stream before its first byte. */
  static Message read(InputStream in) throws IOException {
    String start = line(in, true);
    if (start == null) {
      return null;
    }
    Map<String, String> fields = new HashMap<>();
    for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
      int colon = line.indexOf(':');
      fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
      return new Message(start, fields, chunks(in));
    }
    int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("ended after " + body.length + " of " + length + " body bytes");
    }
    return new Message(start, fields, body);
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("ended within a chunk");
      }
      body.write(chunk);
      String end = line(in, false);
      if (size == 0) {
        while (!end.isEmpty()) {
          end = line(in, false);
        }
        return body.toByteArray();
      }
    }
  }

  private static String line(InputStream in, boolean mayEnd) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0 && mayEnd && text.length() == 0) {
        return null;
      }
      if (c < 0) {
        throw new EOFException("ended within a head");
      }
      text.append((char) c);
    }
    int end = text.length();
    return end > 0 && text.charAt(end - 1) == '\r' ? text.substring(0, end - 1) : text.toString();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A 200 answer with the text as its body. */
  static byte[] ok(String text) {
    return bytes("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
  }
}
