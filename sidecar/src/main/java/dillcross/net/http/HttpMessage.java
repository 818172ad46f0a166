package dillcross.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * One HTTP/1.1 message. If the body is too large to buffer, {@code body} has its first bytes, and
 * the rest is streamed.
 */
public sealed interface HttpMessage permits HttpRequest, HttpResponse {
  /** A body with no bytes. */
  byte[] NO_BODY = {};

  /**
   * A value of {@link #remainingBytes}: the length is unknown until the body ends. The body is
   * written in chunks.
   */
  long UNKNOWN = -1;

  /**
   * A value of {@link #remainingBytes}: the length is unknown, and the end of the connection marks
   * the end of the body, as in HTTP/1.0.
   */
  long UNTIL_CLOSE = -2;

  /** The version that this sidecar writes. */
  String HTTP_11 = "HTTP/1.1";

  /** The version that has no chunked bodies. */
  String HTTP_10 = "HTTP/1.0";

  /** The initial capacity of the builder of a head, in characters. */
  int INITIAL_HEAD_CHARS = 256;

  /** The line end of HTTP. */
  String LINE_END = "\r\n";

  /** The bytes of the line end. */
  static byte[] lineEnd() {
    return LINE_END.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Fields that are not forwarded: they concern one connection only, or the sidecar writes its own.
   */
  Set<String> HOP_BY_HOP =
      Set.of(
          HeaderNames.CONNECTION,
          HeaderNames.KEEP_ALIVE,
          "proxy-connection",
          "te",
          "trailer",
          HeaderNames.TRANSFER_ENCODING,
          "upgrade",
          HeaderNames.CONTENT_LENGTH,
          HeaderNames.EXPECT,
          "proxy-authenticate",
          "proxy-authorization");

  /** The version in the first line. */
  String version();

  /**
   * The header fields by lower-case name. Fields may be added to messages that this sidecar makes.
   */
  Map<String, String> fields();

  /** The body, or its first bytes if the rest is streamed. */
  byte[] body();

  /**
   * The number of bytes of the body that follow {@link #body}, or {@link #UNKNOWN}, or {@link
   * #UNTIL_CLOSE}; 0 if {@link #body} is complete.
   */
  long remainingBytes();

  /** The first line, without its line end. */
  String startLine();

  /** Whether a message without a body is written with {@code content-length: 0}. */
  boolean writesZeroLength();

  /**
   * The value of a header field, by lower-case name; null if the message does not have the field.
   */
  default String field(String name) {
    return fields().get(name);
  }

  /** Whether a part of the body follows {@link #body} and is streamed. */
  default boolean isStreaming() {
    return remainingBytes() != 0;
  }

  /**
   * Whether the sender uses HTTP/1.0: it closes the connection unless it announces otherwise, and
   * does not support chunked bodies.
   */
  default boolean isHttp10() {
    return version().equals(HTTP_10);
  }

  /** Whether the sender keeps the connection open after this message. */
  default boolean keepsAlive() {
    String text = fields().get(HeaderNames.CONNECTION);
    if (text == null) {
      return !isHttp10();
    }
    List<String> options = List.of(text.toLowerCase(Locale.ROOT).split("[ \\t]*,[ \\t]*"));
    return !options.contains(HeaderNames.CONNECTION_CLOSE)
        && (!isHttp10() || options.contains(HeaderNames.CONNECTION_KEEP_ALIVE));
  }

  /**
   * A copy of the fields without the hop-by-hop ones: those of {@link #HOP_BY_HOP}, and those that
   * the sender lists in {@code connection}.
   */
  default Map<String, String> forwardedFields() {
    Map<String, String> forwarded = new LinkedHashMap<>(fields());
    forwarded.keySet().removeAll(HOP_BY_HOP);
    String named = field(HeaderNames.CONNECTION);
    if (named != null) {
      for (String name : named.toLowerCase(Locale.ROOT).split(",")) {
        forwarded.remove(name.trim());
      }
    }
    return forwarded;
  }

  /** Encodes the head and {@link #body}, as a chunk if the length of the whole body is unknown. */
  default byte[] encode() {
    byte[] head = encodeHead();
    byte[] body = body();
    boolean isChunk = remainingBytes() == UNKNOWN && body.length > 0;
    byte[] size = isChunk ? chunkHead(body.length) : NO_BODY;
    byte[] end = isChunk ? lineEnd() : NO_BODY;
    byte[] all = Arrays.copyOf(head, head.length + size.length + body.length + end.length);
    System.arraycopy(size, 0, all, head.length, size.length);
    System.arraycopy(body, 0, all, head.length + size.length, body.length);
    System.arraycopy(end, 0, all, all.length - end.length, end.length);
    return all;
  }

  /** The line that precedes a chunk of {@code size} bytes. */
  static byte[] chunkHead(int size) {
    return (Integer.toHexString(size) + LINE_END).getBytes(StandardCharsets.US_ASCII);
  }

  /** Encodes the start line and the fields, up to the empty line before the body. */
  default byte[] encodeHead() {
    StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);
    head.append(startLine()).append(LINE_END);
    fields()
        .forEach((name, value) -> head.append(name).append(": ").append(value).append(LINE_END));
    long remaining = remainingBytes();
    if (remaining == UNKNOWN) {
      head.append("transfer-encoding: chunked").append(LINE_END);
    } else if (remaining >= 0 && (body().length > 0 || writesZeroLength())) {
      head.append("content-length: ").append(body().length + remaining).append(LINE_END);
    }
    return head.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
