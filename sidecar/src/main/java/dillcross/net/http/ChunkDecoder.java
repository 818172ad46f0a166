package dillcross.net.http;

import dillcross.net.buffer.RingBuffer;

/** Takes the framing off a chunked body: chunk sizes, the line ends behind chunks, the trailer. */
final class ChunkDecoder {
  private static final int MAX_LINE_BYTES = 4 << 10; // with extensions, or of a trailer
  private static final int HEXADECIMAL = 16;

  private boolean isLineEndPending; // behind a chunk
  private boolean isInTrailer;
  private int trailerBytes;
  private int scanned; // bytes already searched for a line end
  private boolean isComplete;
  private int fault;

  /** Whether the end of the body has been read. */
  boolean isComplete() {
    return isComplete;
  }

  /** The status that says what is malformed; 0 while nothing is. */
  int fault() {
    return fault;
  }

  /**
   * Reads on to the next chunk, or past the trailer.
   *
   * @return the size of the next chunk; 0 where it has not arrived or there is none
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

  /** Whether the line end behind a chunk was there and well-formed. */
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

  /** Trailer fields are read and dropped. */
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
    if (!digits.matches("[0-9a-fA-F]{1,8}")) {
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

  /** Where the first line ends; -1 where its end has not arrived. */
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
