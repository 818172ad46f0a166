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

  /** As {@link #remainingBytes}: only the end of the body tells, in chunks. */
  long UNKNOWN = -1;

  /** As {@link #remainingBytes}: the end of the connection tells, to those who know no chunks. */
  long UNTIL_CLOSE = -2;

  /** The version that this sidecar writes. */
  String HTTP_11 = "HTTP/1.1";

  /** The version whose senders know no chunks. */
  String HTTP_10 = "HTTP/1.0";

  /** A first guess at the size of a head, in characters. */
  int USUAL_HEAD_CHARS = 256;

  /** The line end of HTTP. */
  String LINE_END = "\r\n";

  /** The bytes of the line end. */
  static byte[] lineEnd() {
    return LINE_END.getBytes(StandardCharsets.US_ASCII);
  }

  /** Fields of one connection only, or that the writer of the next message sets itself. */
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

  /** The header fields by lower-case name; of a message that we make, others may be added. */
  Map<String, String> fields();

  /** The body, or its first bytes. */
  byte[] body();

  /** Bytes of the body that follow {@link #body}, {@link #UNKNOWN} or {@link #UNTIL_CLOSE}. */
  long remainingBytes();

  /** The first line, with no line end. */
  String startLine();

  /** Whether a message with no body names its length. */
  boolean namesEmptyLength();

  /** The value of a header field; null where it has none. */
  default String field(String name) {
    return fields().get(name);
  }

  /** Whether the rest of its body is streamed. */
  default boolean isStreaming() {
    return remainingBytes() != 0;
  }

  /** Whether its sender keeps no connection unless it says so, and knows no chunks. */
  default boolean isHttp10() {
    return version().equals(HTTP_10);
  }

  /** Whether its sender keeps the connection open behind it. */
  default boolean keepsAlive() {
    String text = fields().getOrDefault(HeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT);
    List<String> options = List.of(text.split("[ \\t]*,[ \\t]*"));
    return !options.contains(HeaderNames.CONNECTION_CLOSE)
        && (!isHttp10() || options.contains(HeaderNames.CONNECTION_KEEP_ALIVE));
  }

  /** Its fields, without those of the hop and those that the sender names as such. */
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

  /** All that goes before the bytes that follow: its head and what it has of its body. */
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

  /** What goes ahead of so many bytes of a chunked body. */
  static byte[] chunkHead(int size) {
    return (Integer.toHexString(size) + LINE_END).getBytes(StandardCharsets.US_ASCII);
  }

  /** All that goes before its body. */
  default byte[] encodeHead() {
    StringBuilder head = new StringBuilder(USUAL_HEAD_CHARS);
    head.append(startLine()).append(LINE_END);
    fields()
        .forEach((name, value) -> head.append(name).append(": ").append(value).append(LINE_END));
    long remaining = remainingBytes();
    if (remaining == UNKNOWN) {
      head.append("transfer-encoding: chunked").append(LINE_END);
    } else if (remaining >= 0 && (body().length > 0 || namesEmptyLength())) {
      head.append("content-length: ").append(body().length + remaining).append(LINE_END);
    }
    return head.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
