package dillcross.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One HTTP message: the three parts of its first line, its fields by lower-case name, its body. Of
 * a body too large to be held these are the first bytes; {@code rest} more, or {@code UNKNOWN},
 * follow on the connection that it comes {@code from}.
 */
record Message(
    String first,
    String second,
    String third,
    Map<String, String> fields,
    byte[] body,
    long rest,
    Connection from) {
  static final byte[] NOTHING = {};
  static final long UNKNOWN = -1;
  static final long TO_THE_END =
      -2; // of the connection, which ends it: for those who know no chunks
  private static final byte[] LINE = {'\r', '\n'};

  /**
   * Fields that speak of one connection only, or that the writer of the next message sets itself.
   */
  private static final Set<String> OF_THE_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect",
          "proxy-authenticate",
          "proxy-authorization");

  static Message request(String method, String target, Map<String, String> fields, byte[] body) {
    return new Message(method, target, "HTTP/1.1", fields, body, 0, null);
  }

  static Message answer(int status, Map<String, String> fields, byte[] body) {
    return new Message("HTTP/1.1", String.valueOf(status), reason(status), fields, body, 0, null);
  }

  static Message answer(int status, String text) {
    return answer(
        status,
        new LinkedHashMap<>(Map.of("content-type", "text/plain")),
        (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Another head for the same body. */
  Message as(Message head) {
    return new Message(head.first, head.second, head.third, head.fields, body, rest, from);
  }

  /** For a reader of that version: its end is told by chunks, or by the end of the connection. */
  Message readBy(Message asked) {
    return new Message(
        first,
        second,
        third,
        fields,
        body,
        rest == UNKNOWN && asked.old() ? TO_THE_END : rest,
        from);
  }

  Message flowing(Connection on) {
    return new Message(first, second, third, fields, body, rest, on);
  }

  /** Its body has been read only in part, and the rest goes through as it comes. */
  boolean flows() {
    return from != null;
  }

  static Message notAllowed(String method) {
    Message answer = answer(405, "only " + method + " is served here");
    answer.fields().put("allow", method);
    return answer;
  }

  /** Of a request: what it asks for, without the query. */
  String target() {
    int query = second.indexOf('?');
    return query < 0 ? second : second.substring(0, query);
  }

  int status() {
    return Integer.parseInt(second);
  }

  String field(String name) {
    return fields.get(name);
  }

  /** Its fields without those of the hop. */
  Map<String, String> passedOn() {
    Map<String, String> kept = new LinkedHashMap<>(fields);
    kept.keySet().removeAll(OF_THE_HOP);
    String named = field("connection"); // and without what the sender names as such
    if (named != null) {
      for (String name : named.toLowerCase(java.util.Locale.ROOT).split(",")) {
        kept.remove(name.trim());
      }
    }
    return kept;
  }

  boolean keepsAlive() {
    List<String> said =
        List.of(
            fields
                .getOrDefault("connection", "")
                .toLowerCase(java.util.Locale.ROOT)
                .split("[ \\t]*,[ \\t]*"));
    return !said.contains("close") && (!old() || said.contains("keep-alive"));
  }

  /** Of the version that keeps no connection unless it says so, and knows no chunks. */
  boolean old() {
    return first.equals("HTTP/1.0") || third.equals("HTTP/1.0");
  }

  /** All that goes before the bytes that follow: its head and what it has of its body. */
  byte[] start() {
    byte[] head = head();
    boolean chunk = rest == UNKNOWN && body.length > 0;
    byte[] size = chunk ? chunk(body.length) : NOTHING;
    byte[] end = chunk ? LINE : NOTHING;
    byte[] all = Arrays.copyOf(head, head.length + size.length + body.length + end.length);
    System.arraycopy(size, 0, all, head.length, size.length);
    System.arraycopy(body, 0, all, head.length + size.length, body.length);
    System.arraycopy(end, 0, all, all.length - end.length, end.length);
    return all;
  }

  /** What goes ahead of so many bytes of a chunked body. */
  static byte[] chunk(int size) {
    return (Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.US_ASCII);
  }

  /** All that goes before its body. */
  byte[] head() {
    StringBuilder head = new StringBuilder(256);
    head.append(first).append(' ').append(second).append(' ').append(third).append("\r\n");
    fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (rest == UNKNOWN) {
      head.append("transfer-encoding: chunked\r\n");
    } else if (rest >= 0 && (body.length > 0 || !first.equals("GET"))) {
      head.append("content-length: ").append(body.length + rest).append("\r\n");
    }
    return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String reason(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 408 -> "Request Timeout";
      case 405 -> "Method Not Allowed";
      case 413 -> "Content Too Large";
      case 431 -> "Request Header Fields Too Large";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      default -> "Other";
    };
  }
}
