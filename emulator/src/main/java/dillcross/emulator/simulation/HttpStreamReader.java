package dillcross.emulator.simulation;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads and formats HTTP messages for the simulated peers. It shares no code with the sidecar's
 * parser. Reads one message at a time, and stores only the length and the first bytes of its body.
 */
final class HttpStreamReader {
  private static final int MAX_STORED_BODY_BYTES = 96; // enough for the request id
  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final int CHUNK_BYTES = 7000;
  private static final int FRAMING_BYTES = 32;
  private static final int HEX_RADIX = 16;
  private static final int START_LINE_WORDS = 3;
  private static final byte[] LINE_END = {'\r', '\n'};
  private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /** Position within a chunked body. */
  private enum ChunkState {
    BEFORE_SIZE,
    IN_DATA,
    AFTER_LAST
  }

  private final StringBuilder bodyStart = new StringBuilder();
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int size;
  private String[] startLine; // null before the head has arrived
  private Map<String, String> fields;
  private long remaining; // bytes of the body or chunk that are not read yet
  private boolean isChunked;
  private ChunkState chunkState = ChunkState.BEFORE_SIZE;
  private boolean isComplete;
  private boolean isMalformed;
  private long bodyLength;
  private long headSentUs;

  /** Adds bytes that the peer sent at {@code sentUs}, and parses as much as possible. */
  void add(byte[] bytes, long sentUs) {
    if (isEmpty()) {
      headSentUs = sentUs;
    }
    if (size + bytes.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes.length));
    }
    System.arraycopy(bytes, 0, buffer, size, bytes.length);
    size += bytes.length;
    read();
  }

  /** Time in µs at which the peer sent the first byte of the head. */
  long headSentUs() {
    return headSentUs;
  }

  /** Whether the head of a final response or of a request has arrived. */
  boolean hasHead() {
    return startLine != null;
  }

  /** Whether the message has arrived completely. */
  boolean isComplete() {
    return isComplete;
  }

  /** Whether no byte of the current message has arrived. */
  boolean isEmpty() {
    return startLine == null && size == 0;
  }

  /** Number of bytes that have arrived and were not parsed yet. */
  int unreadByteCount() {
    return size;
  }

  /** The word of the start line with that index, from 0; empty if the line has fewer words. */
  String startLineWord(int index) {
    return index < startLine.length ? startLine[index] : "";
  }

  /** The value of a header field by its lower-case name; null if the field is absent. */
  String field(String name) {
    return fields.get(name);
  }

  /** Number of body bytes that have arrived so far. */
  long bodyLength() {
    return bodyLength;
  }

  /** The first bytes of the body, up to a limit, decoded as ISO 8859-1. */
  String bodyStart() {
    return bodyStart.toString();
  }

  /** Discards the current message and starts to read the next one. */
  void startNextMessage() {
    startLine = null;
    isComplete = false;
    bodyLength = 0;
    bodyStart.setLength(0);
    read();
  }

  private void read() {
    boolean hasProgress = true;
    while (hasProgress && !isComplete && !isMalformed) {
      if (startLine == null) {
        hasProgress = readHead();
      } else if (isChunked && chunkState != ChunkState.IN_DATA) {
        hasProgress = readChunkLine();
      } else {
        hasProgress = readBody();
      }
    }
  }

  private boolean readHead() {
    int end = indexOf(HEAD_END);
    if (end < 0) {
      return false;
    }
    String[] lines = new String(buffer, 0, end, StandardCharsets.ISO_8859_1).split("\r\n");
    discard(end + HEAD_END.length);
    startLine = lines[0].split(" ", START_LINE_WORDS);
    fields = parseFields(lines);
    if (isInterimResponse()) {
      startLine = null;
      return true;
    }
    isChunked = "chunked".equalsIgnoreCase(fields.get("transfer-encoding"));
    chunkState = ChunkState.BEFORE_SIZE;
    remaining = isChunked ? 0 : Long.parseLong(fields.getOrDefault("content-length", "0"));
    return true;
  }

  private static Map<String, String> parseFields(String[] lines) {
    Map<String, String> parsed = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
        parsed.put(name, lines[i].substring(colon + 1).trim());
      }
    }
    return parsed;
  }

  private boolean isInterimResponse() {
    return startLine[0].startsWith("HTTP/") && startLine.length > 1 && startLine[1].startsWith("1");
  }

  /** Reads the size line of a chunk, or the empty line after a chunk or at the end of the body. */
  private boolean readChunkLine() {
    int end = indexOf(LINE_END);
    if (end < 0) {
      return false;
    }
    String line = new String(buffer, 0, end, StandardCharsets.ISO_8859_1).trim();
    discard(end + LINE_END.length);
    if (line.isEmpty()) {
      isComplete = chunkState == ChunkState.AFTER_LAST;
      return true;
    }
    try {
      remaining = Long.parseLong(line, HEX_RADIX);
    } catch (NumberFormatException malformed) {
      isMalformed = true;
      return false;
    }
    chunkState = remaining > 0 ? ChunkState.IN_DATA : ChunkState.AFTER_LAST;
    return true;
  }

  private boolean readBody() {
    int count = (int) Math.min(remaining, size);
    for (int i = 0; i < count && bodyStart.length() < MAX_STORED_BODY_BYTES; i++) {
      bodyStart.append((char) Byte.toUnsignedInt(buffer[i]));
    }
    bodyLength += count;
    remaining -= count;
    discard(count);
    if (remaining > 0) {
      return false;
    }
    chunkState = ChunkState.BEFORE_SIZE;
    isComplete = !isChunked;
    return true;
  }

  private int indexOf(byte[] pattern) {
    for (int i = 0; i + pattern.length <= size; i++) {
      if (Arrays.equals(buffer, i, i + pattern.length, pattern, 0, pattern.length)) {
        return i;
      }
    }
    return -1;
  }

  private void discard(int count) {
    System.arraycopy(buffer, count, buffer, 0, size - count);
    size -= count;
  }

  /**
   * Formats a message.
   *
   * @param body null for a message without body
   * @param inChunks whether the body is sent with chunked transfer encoding
   * @param pairs field names, each followed by its value; a field whose value is null is left out
   */
  static byte[] message(String startLine, byte[] body, boolean inChunks, String... pairs) {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
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
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    if (body == null) {
      return headBytes;
    }
    ByteArrayOutputStream message =
        new ByteArrayOutputStream(headBytes.length + body.length + FRAMING_BYTES);
    message.writeBytes(headBytes);
    if (inChunks) {
      writeChunks(message, body);
    } else {
      message.writeBytes(body);
    }
    return message.toByteArray();
  }

  private static void writeChunks(ByteArrayOutputStream message, byte[] body) {
    for (int from = 0; from < body.length; from += CHUNK_BYTES) {
      int count = Math.min(CHUNK_BYTES, body.length - from);
      String sizeLine = Integer.toHexString(count) + "\r\n";
      message.writeBytes(sizeLine.getBytes(StandardCharsets.US_ASCII));
      message.write(body, from, count);
      message.writeBytes(LINE_END);
    }
    message.writeBytes(LAST_CHUNK);
  }

  /** Creates a body that starts with the prefix and is padded to {@code length} bytes. */
  static byte[] body(String prefix, int length) {
    byte[] body = new byte[Math.max(length, prefix.length())];
    Arrays.fill(body, (byte) 'x');
    byte[] prefixBytes = prefix.getBytes(StandardCharsets.ISO_8859_1);
    System.arraycopy(prefixBytes, 0, body, 0, prefix.length());
    return body;
  }
}
