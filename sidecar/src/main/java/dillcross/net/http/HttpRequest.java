package dillcross.net.http;

import java.util.Map;

/**
 * An HTTP request.
 *
 * @param target the request target, with the query
 */
public record HttpRequest(
    String method,
    String target,
    String version,
    Map<String, String> fields,
    byte[] body,
    long remainingBytes)
    implements HttpMessage {
  /** The method of a request that changes nothing. */
  public static final String GET = "GET";

  /** The method of a request that may change something. */
  public static final String POST = "POST";

  /** A request that this sidecar makes, with its complete body. */
  public static HttpRequest of(
      String method, String target, Map<String, String> fields, byte[] body) {
    return new HttpRequest(method, target, HttpMessage.HTTP_11, fields, body, 0);
  }

  /** A GET that this sidecar makes. */
  public static HttpRequest get(String target, Map<String, String> fields) {
    return of(GET, target, fields, NO_BODY);
  }

  /** The request as it is forwarded: with other fields, as HTTP/1.1; the body is the same. */
  public HttpRequest withFields(Map<String, String> newFields) {
    return new HttpRequest(method, target, HttpMessage.HTTP_11, newFields, body, remainingBytes);
  }

  /** The target without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  @Override
  public String startLine() {
    return method + " " + target + " " + version;
  }

  @Override
  public boolean writesZeroLength() {
    return !method.equals(GET);
  }
}
