package dillcross.net.http;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Parses the head of a message: its first line and its header fields. */
final class HttpHeadParser {
  private static final int START_LINE_PARTS = 3; // both a request line and a status line have them
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
  private static final Pattern TARGET = Pattern.compile("/[!-~]*");
  private static final Pattern AUTHORITY = Pattern.compile("^https?://[^/?#]+(?=/|$)");
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  /** Fields whose repetition makes a message ambiguous, and therefore malformed. */
  private static final Set<String> SINGLE_VALUED =
      Set.of(
          HeaderNames.CONTENT_LENGTH,
          HeaderNames.TRANSFER_ENCODING,
          HeaderNames.HOST,
          HeaderNames.REQUEST_ID,
          HeaderNames.REQUEST_TIMEOUT,
          HeaderNames.IDEMPOTENCY_KEY);

  private final boolean parsesRequests;

  HttpHeadParser(boolean parsesRequests) {
    this.parsesRequests = parsesRequests;
  }

  /**
   * Parses the lines of a head. Returns the message without its body, or empty if the head is
   * malformed.
   */
  Optional<HttpMessage> parse(String[] lines) {
    if (!AsciiText.isPrintable(lines[0])) {
      return Optional.empty();
    }
    Optional<Map<String, String>> fields = parseFields(lines);
    if (fields.isEmpty()) {
      return Optional.empty();
    }
    Optional<HttpMessage> head =
        parsesRequests
            ? parseRequestLine(lines[0], fields.get())
            : parseStatusLine(lines[0], fields.get());
    return head.filter(message -> hasUnambiguousFraming(lines[0], message));
  }

  private static Optional<HttpMessage> parseRequestLine(String line, Map<String, String> fields) {
    String[] parts = line.split(" ", -1);
    if (parts.length != START_LINE_PARTS) {
      return Optional.empty();
    }
    String target = withoutAuthority(parts[1]);
    String version = parts[2];
    boolean isWellFormed =
        AsciiText.isToken(parts[0])
            && TARGET.matcher(target).matches()
            && VERSION.matcher(version).matches()
            && (version.equals(HttpMessage.HTTP_10) || fields.containsKey(HeaderNames.HOST));
    return isWellFormed
        ? Optional.of(new HttpRequest(parts[0], target, version, fields, HttpMessage.NO_BODY, 0))
        : Optional.empty();
  }

  /** Removes scheme and host from a target in absolute form, which clients send to proxies. */
  private static String withoutAuthority(String target) {
    String path = AUTHORITY.matcher(target).replaceFirst("");
    return path.isEmpty() ? "/" : path;
  }

  private static Optional<HttpMessage> parseStatusLine(String line, Map<String, String> fields) {
    String[] parts = line.split(" ", START_LINE_PARTS);
    boolean isWellFormed =
        parts.length >= 2
            && VERSION.matcher(parts[0]).matches()
            && STATUS.matcher(parts[1]).matches();
    if (!isWellFormed) {
      return Optional.empty();
    }
    int status = Integer.parseInt(parts[1]);
    String reason = parts.length > 2 ? parts[2] : "";
    return Optional.of(new HttpResponse(parts[0], status, reason, fields, HttpMessage.NO_BODY, 0));
  }

  private Optional<Map<String, String>> parseFields(String[] lines) {
    Map<String, String> fields = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      if (!parseField(lines[i], fields)) {
        return Optional.empty();
      }
    }
    return Optional.of(fields);
  }

  /**
   * Adds the field of a line to {@code fields}; returns false if it makes the message malformed.
   */
  private boolean parseField(String line, Map<String, String> fields) {
    int colon = line.indexOf(':');
    if (colon <= 0 || !AsciiText.isToken(line.substring(0, colon))) {
      return false;
    }
    String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
    if (!parsesRequests && name.equals(HeaderNames.SERVER_LOAD)) {
      return true; // load reports are unused, so a malformed one is no fault
    }
    if (!AsciiText.isFieldText(line)) {
      return false;
    }
    String value = line.substring(colon + 1).trim();
    String before = fields.put(name, value);
    if (before == null) {
      return true;
    }
    boolean isSameLength = name.equals(HeaderNames.CONTENT_LENGTH) && value.equals(before);
    if (isSameLength) {
      return true;
    }
    fields.put(name, before + ", " + value);
    return !SINGLE_VALUED.contains(name);
  }

  /**
   * Whether the framing of the body is unambiguous: there is a valid content-length, or the chunked
   * coding under HTTP/1.1, or neither, but not both.
   */
  private static boolean hasUnambiguousFraming(String firstLine, HttpMessage head) {
    String length = head.field(HeaderNames.CONTENT_LENGTH);
    String coding = head.field(HeaderNames.TRANSFER_ENCODING);
    boolean isKnownCoding =
        coding == null
            || (coding.equalsIgnoreCase("chunked") && !firstLine.contains(HttpMessage.HTTP_10));
    boolean isKnownLength = length == null || (coding == null && LENGTH.matcher(length).matches());
    return isKnownCoding && isKnownLength;
  }
}
