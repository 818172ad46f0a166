package dillcross.net.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP response.
 *
 * @param reason the words behind the status
 */
public record HttpResponse(
    String version,
    int status,
    String reason,
    Map<String, String> fields,
    byte[] body,
    long remainingBytes)
    implements HttpMessage {
  /** A response of ours, with all of its body. */
  public static HttpResponse of(int status, Map<String, String> fields, byte[] body) {
    return new HttpResponse("HTTP/1.1", status, reasonOf(status), fields, body, 0);
  }

  /** A response of ours with a line of text. */
  public static HttpResponse text(int status, String text) {
    Map<String, String> fields =
        new LinkedHashMap<>(Map.of(HeaderNames.CONTENT_TYPE, "text/plain"));
    return of(status, fields, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** The answer to a request by another method than the one that is served. */
  public static HttpResponse methodNotAllowed(String allowed) {
    HttpResponse response = text(405, "only " + allowed + " is served here");
    response.fields().put(HeaderNames.ALLOW, allowed);
    return response;
  }

  /** As we forward it to the sender of a request: the end of its body is told as that knows. */
  public HttpResponse forwardedTo(HttpRequest request) {
    boolean untilClose = remainingBytes == UNKNOWN && request.isHttp10();
    long remaining = untilClose ? UNTIL_CLOSE : remainingBytes;
    return new HttpResponse("HTTP/1.1", 200, reasonOf(200), forwardedFields(), body, remaining);
  }

  /** Tells its receiver that the connection closes behind it; of a response that we make. */
  public void announceClose() {
    fields.put(HeaderNames.CONNECTION, "close");
  }

  @Override
  public String startLine() {
    return version + " " + status + " " + reason;
  }

  @Override
  public boolean namesEmptyLength() {
    return true;
  }

  private static String reasonOf(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 413 -> "Content Too Large";
      case 431 -> "Request Header Fields Too Large";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      default -> "Other";
    };
  }
}
