package dillcross.emulator.simulation;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * HTTP as the world reads it, with no line in common with the sidecar's reader: one message at a
 * time, of whose body the length and the first bytes are kept.
 */
final class HttpStreamReader {
  private static final int KEPT = 96; // bytes of a body that tell whose it is
  private byte[] bytes = new byte[512];
  private int size;
  private String[] first; // of the message that is read; null before its head has come
  private Map<String, String> fields;
  private long left; // of the body, or of the chunk
  private boolean chunked;
  private boolean inChunk;
  private boolean complete;
  private long length;
  private final StringBuilder start = new StringBuilder();
  private boolean broken;
  private long headSentUs;

  /** Takes more bytes. */
  void add(byte[] more, long sentUs) {
    if (size == 0 && first == null) {
      headSentUs = sentUs;
    }
    if (size + more.length > bytes.length) {
      bytes = java.util.Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more.length));
    }
    System.arraycopy(more, 0, bytes, size, more.length);
    size += more.length;
    read();
  }

  /** When the first byte of its head was sent. */
  long headSentUs() {
    return headSentUs;
  }

  boolean headCame() {
    return first != null;
  }

  boolean complete() {
    return complete;
  }

  boolean broken() {
    return broken;
  }

  /** Nothing of a message has come. */
  boolean empty() {
    return first == null && size == 0;
  }

  int waiting() {
    return size;
  }

  String word(int index) {
    return index < first.length ? first[index] : "";
  }

  String field(String name) {
    return fields.get(name);
  }

  long length() {
    return length;
  }

  String start() {
    return start.toString();
  }

  /** Goes on to the next message. */
  void next() {
    first = null;
    complete = false;
    length = 0;
    start.setLength(0);
    read();
  }

  private void read() {
    while (first == null && !broken) {
      int end = -1;
      for (int i = 0; i + 3 < size && end < 0; i++) {
        end =
            bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n'
                ? i
                : -1;
      }
      if (end < 0) {
        return;
      }
      String[] lines = new String(bytes, 0, end, StandardCharsets.ISO_8859_1).split("\r\n");
      drop(end + 4);
      first = lines[0].split(" ", 3);
      fields = new LinkedHashMap<>();
      for (int i = 1; i < lines.length; i++) {
        int colon = lines[i].indexOf(':');
        if (colon > 0) {
          fields.put(
              lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
              lines[i].substring(colon + 1).trim());
        }
      }
      if (first[0].startsWith("HTTP/") && first.length > 1 && first[1].startsWith("1")) {
        first = null; // an interim answer
        continue;
      }
      chunked = "chunked".equalsIgnoreCase(fields.get("transfer-encoding"));
      inChunk = false;
      left = chunked ? 0 : Long.parseLong(fields.getOrDefault("content-length", "0"));
    }
    while (first != null && !complete && !broken) {
      if (chunked && !inChunk) {
        int end = -1;
        for (int i = 0; i + 1 < size && end < 0; i++) {
          end = bytes[i] == '\r' && bytes[i + 1] == '\n' ? i : -1;
        }
        if (end < 0) {
          return;
        }
        String line = new String(bytes, 0, end, StandardCharsets.ISO_8859_1).trim();
        drop(end + 2);
        if (line.isEmpty()) {
          if (left < 0) {
            complete = true; // behind the last chunk
          }
          continue;
        }
        try {
          left = Long.parseLong(line, 16);
        } catch (NumberFormatException noise) {
          broken = true;
          return;
        }
        inChunk = left > 0;
        left = left == 0 ? -1 : left;
        continue;
      }
      int count = (int) Math.min(left, size);
      for (int i = 0; i < count && start.length() < KEPT; i++) {
        start.append((char) (bytes[i] & 0xff));
      }
      length += count;
      left -= count;
      drop(count);
      if (left > 0) {
        return;
      }
      inChunk = false;
      complete = !chunked;
    }
  }

  private void drop(int count) {
    System.arraycopy(bytes, count, bytes, 0, size - count);
    size -= count;
  }

  /** A message as bytes: its first line, its fields (name, value, ...), its body. */
  static byte[] message(String first, byte[] body, boolean inChunks, String... pairs) {
    StringBuilder head = new StringBuilder(first).append("\r\n");
    for (int i = 0; i < pairs.length; i += 2) {
      if (pairs[i + 1] != null) {
        head.append(pairs[i]).append(": ").append(pairs[i + 1]).append("\r\n");
      }
    }
    if (inChunks) {
      head.append("Transfer-Encoding: chunked\r\n");
    } else if (body != null) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    if (body == null) {
      return start;
    }
    java.io.ByteArrayOutputStream all =
        new java.io.ByteArrayOutputStream(start.length + body.length + 32);
    all.writeBytes(start);
    for (int at = 0; inChunks && at < body.length; at += 7000) {
      int count = Math.min(7000, body.length - at);
      all.writeBytes((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      all.write(body, at, count);
      all.writeBytes(new byte[] {'\r', '\n'});
    }
    all.writeBytes(inChunks ? "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII) : body);
    return all.toByteArray();
  }

  /** A body that tells whose it is, so long. */
  static byte[] body(String whose, int length) {
    byte[] body = new byte[Math.max(length, whose.length())];
    java.util.Arrays.fill(body, (byte) 'x');
    System.arraycopy(whose.getBytes(StandardCharsets.ISO_8859_1), 0, body, 0, whose.length());
    return body;
  }
}
