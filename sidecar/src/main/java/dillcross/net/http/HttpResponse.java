package dillcross.net.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP response.
 *
 * @param reason the reason phrase
 */
public record HttpResponse(
    String version,
    int status,
    String reason,
    Map<String, String> fields,
    byte[] body,
    long remainingBytes)
    implements HttpMessage {
  private static final int MICROS_PER_MILLI = 1000;
  private static final int MILLIS_PER_SECOND = 1000;

  /** A response that this sidecar makes, with its complete body. */
  public static HttpResponse of(int status, Map<String, String> fields, byte[] body) {
    return new HttpResponse(
        HttpMessage.HTTP_11, status, HttpStatus.reason(status), fields, body, 0);
  }

  /** A response that this sidecar makes, with one line of text. */
  public static HttpResponse text(int status, String text) {
    Map<String, String> fields =
        new LinkedHashMap<>(Map.of(HeaderNames.CONTENT_TYPE, "text/plain"));
    return of(status, fields, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** The response to a request whose method is not the {@code allowed} one. */
  public static HttpResponse methodNotAllowed(String allowed) {
    HttpResponse response =
        text(HttpStatus.METHOD_NOT_ALLOWED, "only " + allowed + " is served here");
    response.fields().put(HeaderNames.ALLOW, allowed);
    return response;
  }

  /**
   * The response as it is forwarded to a client, with the framing that the client's version of HTTP
   * allows. The status is always 200, because no other response is forwarded.
   *
   * @param toHttp10 whether the client uses HTTP/1.0
   */
  public HttpResponse forwarded(boolean toHttp10) {
    boolean untilClose = remainingBytes == UNKNOWN && toHttp10;
    long remaining = untilClose ? UNTIL_CLOSE : remainingBytes;
    return new HttpResponse(
        HttpMessage.HTTP_11,
        HttpStatus.OK,
        HttpStatus.reason(HttpStatus.OK),
        forwardedFields(),
        body,
        remaining);
  }

  /** The head alone, without the bytes of the body that have arrived. */
  public HttpResponse withoutBody() {
    return new HttpResponse(version, status, reason, fields, NO_BODY, remainingBytes);
  }

  /**
   * A rejection after which a retry is safe.
   *
   * @param retryAfterUs when the client may retry, in microseconds from now; 0 to say nothing
   */
  public static HttpResponse rejection(String text, long retryAfterUs) {
    HttpResponse response = text(HttpStatus.SERVICE_UNAVAILABLE, text);
    if (retryAfterUs > 0) {
      response.fields().put(HeaderNames.RETRY_AFTER, seconds(retryAfterUs));
    }
    return response;
  }

  /** Formats microseconds as seconds with three decimals, rounded up to whole milliseconds. */
  private static String seconds(long us) {
    long ms = (us + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    return String.format(Locale.ROOT, "%d.%03d", ms / MILLIS_PER_SECOND, ms % MILLIS_PER_SECOND);
  }

  /**
   * Adds the field that announces that the connection closes after this response. Only for a
   * response that this sidecar makes, whose fields can be modified.
   */
  public void announceClose() {
    fields.put(HeaderNames.CONNECTION, HeaderNames.CONNECTION_CLOSE);
  }

  @Override
  public String startLine() {
    return version + " " + status + " " + reason;
  }

  @Override
  public boolean writesZeroLength() {
    return true;
  }
}
