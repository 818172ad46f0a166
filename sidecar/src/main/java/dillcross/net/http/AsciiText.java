package dillcross.net.http;

import dillcross.net.buffer.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and checks the text of message heads. */
final class AsciiText {
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
  static final char DELETE = 0x7f;

  private AsciiText() {}

  /** The bytes of a buffer from index {@code from} up to {@code to}, decoded as ISO-8859-1. */
  static String read(RingBuffer in, int from, int to) {
    byte[] bytes = new byte[to - from];
    in.copyTo(from, bytes, 0, bytes.length);
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Splits a text at each line end. */
  static String[] lines(String text) {
    List<String> lines = new ArrayList<>();
    int start = 0;
    int end = text.indexOf(HttpMessage.LINE_END);
    while (end >= 0) {
      lines.add(text.substring(start, end));
      start = end + HttpMessage.LINE_END.length();
      end = text.indexOf(HttpMessage.LINE_END, start);
    }
    lines.add(text.substring(start));
    return lines.toArray(new String[0]);
  }

  /** Whether the text is a token of HTTP: a method, or the name of a header field. */
  static boolean isToken(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (!isTokenCharacter(text.charAt(i))) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  private static boolean isTokenCharacter(char c) {
    return (c >= '0' && c <= '9')
        || (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || TOKEN_MARKS.indexOf(c) >= 0;
  }

  /** Whether the text has no control characters; a tab counts as one. */
  static boolean isPrintable(String text) {
    return isFieldText(text) && text.indexOf('\t') < 0;
  }

  /** Whether the text has no control characters other than tabs. */
  static boolean isFieldText(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if ((c < ' ' && c != '\t') || c == DELETE) {
        return false;
      }
    }
    return true;
  }
}
