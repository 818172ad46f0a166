package dillcross.net.http;

import dillcross.net.buffer.RingBuffer;
import java.util.regex.Pattern;

/**
 * Removes the framing of a chunked body: chunk sizes, the line ends after chunks, and the trailer.
 */
final class ChunkDecoder {
  private static final int MAX_LINE_BYTES = 4 << 10; // of a chunk size or of a trailer field
  private static final Pattern SIZE = Pattern.compile("[0-9a-fA-F]{1,8}");
  private static final int HEXADECIMAL = 16;

  private boolean isLineEndPending; // a chunk was read, and the line end after it was not
  private boolean isInTrailer;
  private int trailerBytes;
  private int scanned; // bytes already searched for a line end
  private boolean isComplete;
  private int fault;

  /** Whether the end of the body has been read. */
  boolean isComplete() {
    return isComplete;
  }

  /** The HTTP status code for what is wrong with the framing; 0 while nothing is wrong. */
  int fault() {
    return fault;
  }

  /**
   * Removes the framing up to the next chunk, or to the end of the trailer.
   *
   * @param maxBytes the size of the largest chunk that is allowed; a larger one is a fault
   * @return the size of the next chunk in bytes; 0 if it has not arrived, the body has ended, or
   *     the framing is malformed
   */
  long nextChunk(RingBuffer in, long maxBytes) {
    while (!isComplete && fault == 0) {
      if (isLineEndPending && !skipLineEnd(in)) {
        return 0;
      }
      int end = findLineEnd(in);
      if (end < 0) {
        if (in.size() > MAX_LINE_BYTES) {
          fault = isInTrailer ? HttpStatus.HEADER_FIELDS_TOO_LARGE : HttpStatus.BAD_REQUEST;
        }
        return 0;
      }
      String line = AsciiText.read(in, 0, end);
      in.skip(end + HttpMessage.LINE_END.length());
      if (isInTrailer) {
        skipTrailerLine(end);
      } else {
        long size = readSize(line, maxBytes);
        if (size > 0) {
          return size;
        }
      }
    }
    return 0;
  }

  /** Removes the line end after a chunk; returns false if it has not arrived or is malformed. */
  private boolean skipLineEnd(RingBuffer in) {
    if (in.size() < HttpMessage.LINE_END.length()) {
      return false;
    }
    isLineEndPending = false;
    if (in.at(0) != '\r' || in.at(1) != '\n') {
      fault = HttpStatus.BAD_REQUEST;
      return false;
    }
    in.skip(HttpMessage.LINE_END.length());
    return true;
  }

  /** Drops a line of the trailer; an empty line ends the body. */
  private void skipTrailerLine(int length) {
    trailerBytes += length + HttpMessage.LINE_END.length();
    isComplete = length == 0;
    if (trailerBytes >= HttpMessageParser.MAX_HEAD_BYTES) {
      fault = HttpStatus.HEADER_FIELDS_TOO_LARGE;
    }
  }

  private long readSize(String line, long maxBytes) {
    int extension = line.indexOf(';');
    String digits = (extension < 0 ? line : line.substring(0, extension)).trim();
    if (!SIZE.matcher(digits).matches()) {
      fault = HttpStatus.BAD_REQUEST;
      return 0;
    }
    long size = Long.parseLong(digits, HEXADECIMAL);
    if (size > maxBytes) {
      fault = HttpStatus.CONTENT_TOO_LARGE;
      return 0;
    }
    isInTrailer = size == 0;
    isLineEndPending = size > 0;
    return size;
  }

  /** The index of the line end of the first line; -1 if it has not arrived. */
  private int findLineEnd(RingBuffer in) {
    for (int i = Math.max(0, scanned - 1); i + 1 < in.size(); i++) {
      if (in.at(i) == '\r' && in.at(i + 1) == '\n') {
        scanned = 0;
        return i;
      }
    }
    scanned = in.size();
    return -1;
  }
}
