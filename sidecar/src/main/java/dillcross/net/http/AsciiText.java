package dillcross.net.http;

import dillcross.net.buffer.RingBuffer;
import java.nio.charset.StandardCharsets;

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

  /** Whether the text is a token of HTTP: a method, or the name of a header field. */
  static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(AsciiText::isTokenCharacter);
  }

  private static boolean isTokenCharacter(int c) {
    return (c >= '0' && c <= '9')
        || (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || TOKEN_MARKS.indexOf(c) >= 0;
  }

  /** Whether the text has no control characters; a tab counts as one. */
  static boolean isPrintable(String text) {
    return text.chars().allMatch(c -> c >= ' ' && c != DELETE);
  }

  /** Whether the text has no control characters other than tabs. */
  static boolean isFieldText(String text) {
    return text.chars().allMatch(c -> (c >= ' ' && c != DELETE) || c == '\t');
  }
}
