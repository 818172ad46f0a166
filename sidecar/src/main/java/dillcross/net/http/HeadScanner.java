package dillcross.net.http;

import dillcross.net.buffer.RingBuffer;

/** Finds the end of a message's head in a buffer to which more and more of it is added. */
final class HeadScanner {
  private static final String RESPONSE_START = "HTTP/1.";
  private static final int HEAD_END_BYTES = 4; // two line ends
  private static final int LINE_END_BYTES = 2;

  private final boolean parsesRequests;
  private int scanned; // bytes already searched for the end of the head

  HeadScanner(boolean parsesRequests) {
    this.parsesRequests = parsesRequests;
  }

  /**
   * Skips empty lines, and returns the index at which the last line of the head ends; -1 if the
   * empty line after it has not arrived.
   */
  int findEnd(RingBuffer in) {
    skipEmptyLines(in);
    return findHeadEnd(in);
  }

  /** Removes the head, which ends at {@code end}. */
  void skipHead(RingBuffer in, int end) {
    in.skip(end + HEAD_END_BYTES);
    scanned = 0;
  }

  /** Skips empty lines, which are allowed before a message. */
  private void skipEmptyLines(RingBuffer in) {
    while (in.size() >= LINE_END_BYTES && isLineEnd(in, 0)) {
      in.skip(LINE_END_BYTES);
      scanned = 0;
    }
  }

  private int findHeadEnd(RingBuffer in) {
    int from = Math.max(0, scanned - (HEAD_END_BYTES - 1));
    scanned = in.size();
    for (int i = from; i + HEAD_END_BYTES <= in.size(); i++) {
      if (isLineEnd(in, i) && isLineEnd(in, i + LINE_END_BYTES)) {
        return i;
      }
    }
    return -1;
  }

  private static boolean isLineEnd(RingBuffer in, int index) {
    return in.at(index) == '\r' && in.at(index + 1) == '\n';
  }

  /**
   * Whether the bytes that have arrived can be the start of a message. Other bytes are a fault at
   * once, because a head might never end in them, and an attempt would wait until its deadline.
   */
  boolean startsLikeMessage(RingBuffer in) {
    int count = Math.min(in.size(), RESPONSE_START.length());
    for (int i = 0; i < count; i++) {
      char c = (char) Byte.toUnsignedInt(in.at(i));
      if (!(parsesRequests ? mayStartRequest(c, i) : mayStartResponse(c, i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean mayStartRequest(char c, int index) {
    return (c >= ' ' && c < AsciiText.DELETE) || c == '\r' || (c == '\n' && index > 0);
  }

  private static boolean mayStartResponse(char c, int index) {
    char lineEnd = index % 2 == 0 ? '\r' : '\n';
    return c == RESPONSE_START.charAt(index) || (c == lineEnd && index < 2);
  }
}
