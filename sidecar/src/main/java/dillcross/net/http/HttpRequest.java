package dillcross.net.http;

import java.util.Map;

/**
 * An HTTP request.
 *
 * @param target what it asks for, with the query
 */
public record HttpRequest(
    String method,
    String target,
    String version,
    Map<String, String> fields,
    byte[] body,
    long remainingBytes)
    implements HttpMessage {
  private static final String GET = "GET";

  /** A request of ours, with all of its body. */
  public static HttpRequest of(
      String method, String target, Map<String, String> fields, byte[] body) {
    return new HttpRequest(method, target, "HTTP/1.1", fields, body, 0);
  }

  /** A GET of ours. */
  public static HttpRequest get(String target, Map<String, String> fields) {
    return of(GET, target, fields, NO_BODY);
  }

  /** As we forward it: the same body with other fields, in our version. */
  public HttpRequest withFields(Map<String, String> newFields) {
    return new HttpRequest(method, target, "HTTP/1.1", newFields, body, remainingBytes);
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
  public boolean namesEmptyLength() {
    return !method.equals(GET);
  }
}
