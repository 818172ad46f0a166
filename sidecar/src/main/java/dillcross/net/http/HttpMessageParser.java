package dillcross.net.http;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.MemoryHold;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.RingBuffer;
import java.util.Optional;

/**
 * Parses HTTP/1.1 messages from a buffer as they arrive. Strict, because a message that two parsers
 * frame differently can smuggle one request inside another: it accepts one length, one coding, no
 * folded lines and no control characters.
 */
public final class HttpMessageParser {
  /**
   * The size of the largest body that is read completely before it is forwarded; a larger one is
   * streamed.
   */
  public static final int MAX_BUFFERED_BODY_BYTES = 64 << 10;

  static final int MAX_HEAD_BYTES = 16 << 10;
  private static final int MAX_REQUEST_HEAD_BYTES = 8 << 10; // endpoints may reject larger ones
  // A field takes many times its bytes once it is parsed.
  private static final int MAX_REQUEST_FIELDS = 256;
  // Chunks that are read in one call, because other connections wait meanwhile.
  private static final int MAX_CHUNKS_AT_ONCE = 200;
  private static final int MAX_INTERIM_RESPONSES = 16; // a few are usual; more may never end
  // The heap that a field takes beside its characters: a map entry, and two strings with arrays.
  private static final int FIELD_OVERHEAD_BYTES = 136;

  private final boolean parsesRequests;
  private final HeadScanner headScanner;
  private final HttpHeadParser headParser;
  private final int maxBufferedBody;
  private final long maxBody;
  private final MemoryBudget budget;
  private final MemoryUse use;
  private MemoryHold held; // of the message that is read, or was read last
  private HttpMessage head; // the message whose body is being read; null between messages
  private long remaining; // bytes left of the body or chunk, or HttpMessage.UNTIL_CLOSE
  private long received; // bytes of the body that were taken
  private ChunkDecoder chunks; // null if the body is not chunked
  private RingBuffer collected; // bytes of a body of unknown length; null for a known length
  private boolean hasMoreChunks; // the last call has left some for the next one
  private boolean isCollectingOver; // what was collected of the body is to be returned
  private boolean isHeadRefused; // the memory budget had no space for the head
  private boolean isStreaming; // the caller takes the rest of the body as it arrives
  private boolean isBodyComplete; // all of the body has been taken
  private int interimResponses; // in a row, before the final response
  private int fault; // an HTTP status code; 0 while nothing is wrong
  private boolean expectsContinue; // the sender waits for 100 Continue, and was not told yet

  /**
   * Creates a parser at the start of the input.
   *
   * @param parsesRequests true for requests, false for responses
   * @param maxBufferedBody the size of the largest body that is returned completely, in bytes; a
   *     larger one is streamed
   * @param maxBody the size of the largest body that is allowed, in bytes; a larger one is a fault
   * @param budget the budget from which the memory of parsed messages is taken
   */
  public HttpMessageParser(
      boolean parsesRequests, int maxBufferedBody, long maxBody, MemoryBudget budget) {
    this.parsesRequests = parsesRequests;
    this.maxBufferedBody = maxBufferedBody;
    this.maxBody = maxBody;
    this.budget = budget;
    held = new MemoryHold(budget);
    use = parsesRequests ? MemoryUse.REQUEST_INPUT : MemoryUse.RESPONSE_INPUT;
    headScanner = new HeadScanner(parsesRequests);
    headParser = new HttpHeadParser(parsesRequests);
  }

  /** The HTTP status code for what is wrong with the input; 0 while nothing is wrong. */
  public int fault() {
    return fault;
  }

  /** Whether the memory budget had no space for the message that is being read. */
  public boolean isStarved() {
    return isHeadRefused || (collected != null && collected.isStarved());
  }

  /** Whether some bytes of a body of unknown length were collected, and not returned yet. */
  public boolean isCollecting() {
    return head != null && !isStreaming && collected != null && collected.size() > 0;
  }

  /** The number of bytes that were collected of a body of unknown length. */
  public int collectedBytes() {
    return collected == null ? 0 : collected.size();
  }

  /** Whether the last call of {@link #parse} has left input for another call. */
  public boolean hasMoreChunks() {
    return hasMoreChunks;
  }

  /** Makes {@link #parse} return the message with what was collected of its body. */
  public void endCollecting() {
    isCollectingOver = isCollecting();
  }

  /** Whether the head of a message has been read, and its body has not been read completely. */
  public boolean isInMessage() {
    return head != null;
  }

  /**
   * Whether the sender waits for {@code 100 Continue} before it sends the body. Returns true only
   * once for each message.
   */
  public boolean takeExpectsContinue() {
    boolean expected = expectsContinue;
    expectsContinue = false;
    return expected;
  }

  /** Whether the body of the last message is streamed: the caller takes the rest as it arrives. */
  public boolean isStreaming() {
    return isStreaming;
  }

  /**
   * Whether all bytes of a streamed body that have not been taken yet are in the buffer. False for
   * a body of unknown length, because its end is found only as the body is taken.
   */
  public boolean hasRestArrived(RingBuffer in) {
    return isStreaming
        && !isBodyComplete
        && chunks == null
        && remaining != HttpMessage.UNTIL_CLOSE
        && remaining <= in.size();
  }

  /** Whether the end of the body that is read is known only once it is found. */
  public boolean hasUnknownLength() {
    return chunks != null || remaining == HttpMessage.UNTIL_CLOSE;
  }

  /** The number of bytes of a body of known length that were not taken yet. */
  public long remainingBytes() {
    return remaining;
  }

  /**
   * Whether all of a streamed body has been taken; {@link #finish} then allows the next message to
   * be parsed.
   */
  public boolean isBodyComplete() {
    return isBodyComplete;
  }

  /**
   * Returns the next message, complete or with the first bytes of a body that is too large to be
   * buffered.
   *
   * @param ended whether no more input follows
   * @return the message; empty if not enough of it has arrived, the input has a fault, or the body
   *     of the last message is still streamed
   */
  public Optional<HttpMessage> parse(RingBuffer in, boolean ended) {
    while (fault == 0 && !isStreaming) {
      if (head == null && !readHead(in)) {
        return Optional.empty();
      }
      if (isHeadRefused) {
        return Optional.empty();
      }
      if (isInterimResponse()) {
        skipInterimResponse();
        continue;
      }
      interimResponses = 0;
      Optional<byte[]> body =
          collected == null ? readKnownLength(in) : readUnknownLength(in, ended);
      return body.map(this::finishRead);
    }
    return Optional.empty();
  }

  private boolean isInterimResponse() {
    return head instanceof HttpResponse response && HttpStatus.isInterim(response.status());
  }

  private void skipInterimResponse() {
    head = null;
    interimResponses++;
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      fault = HttpStatus.HEADER_FIELDS_TOO_LARGE;
    }
  }

  private HttpMessage finishRead(byte[] body) {
    expectsContinue = false;
    long rest = collected == null ? remaining : HttpMessage.UNKNOWN;
    HttpMessage message = withBody(body, isBodyComplete ? 0 : rest);
    moveToHold(body.length);
    isStreaming = !isBodyComplete;
    if (isBodyComplete) {
      finish();
    }
    return message;
  }

  /** Counts the body of a request from now on; a response is forwarded at once. */
  private void moveToHold(int bodyBytes) {
    if (parsesRequests) {
      held.add(bodyBytes);
    } else {
      held.release();
    }
    if (collected != null) {
      collected.release();
    }
  }

  /** Hands over the memory of the last message to the caller, who has to close it. */
  public MemoryHold takeHold() {
    MemoryHold taken = held;
    held = new MemoryHold(budget);
    return taken;
  }

  /** Returns the memory of the last message to the budget, unless it was handed over. */
  public void releaseMessage() {
    held.release();
  }

  /** Returns all memory to the budget. No message may be parsed after that. */
  public void release() {
    held.close();
    if (collected != null) {
      collected.release();
    }
  }

  private HttpMessage withBody(byte[] body, long rest) {
    if (head instanceof HttpRequest request) {
      return new HttpRequest(
          request.method(), request.target(), request.version(), request.fields(), body, rest);
    }
    HttpResponse response = (HttpResponse) head;
    return new HttpResponse(
        response.version(), response.status(), response.reason(), response.fields(), body, rest);
  }

  /** Ends the current message; the bytes that follow belong to the next one. */
  public void finish() {
    head = null;
    isStreaming = false;
    isCollectingOver = false;
    collected = null; // it was released when its bytes were returned
  }

  /**
   * Reads a body of known length: all of it, or the first bytes if it is large. A response is
   * streamed too where the memory budget has no space for all of it.
   */
  private Optional<byte[]> readKnownLength(RingBuffer in) {
    // A request's first bytes are kept for another attempt; a response's are forwarded at once.
    long firstBytes = parsesRequests ? maxBufferedBody : 1;
    long wanted = remaining <= maxBufferedBody ? remaining : firstBytes;
    // The length that a client announces takes no memory before the bytes have arrived.
    if (in.size() < wanted && (parsesRequests || in.ensureSpace((int) wanted - in.size()))) {
      return Optional.empty();
    }
    return Optional.of(take(in, (int) Math.min(remaining, Math.min(maxBufferedBody, in.size()))));
  }

  /**
   * Reads a body of unknown length: all of it, or the first bytes once it proves to be large or
   * {@link #endCollecting} was called. A response is streamed from where the memory budget refuses
   * to collect more of it.
   */
  private Optional<byte[]> readUnknownLength(RingBuffer in, boolean ended) {
    int available = availableBody(in, ended);
    hasMoreChunks = false;
    for (int taken = 0; available > 0; taken++) {
      if (taken == MAX_CHUNKS_AT_ONCE) {
        hasMoreChunks = true;
        return Optional.empty();
      }
      if (collected.size() + available > maxBufferedBody) {
        return Optional.of(copyOfCollected());
      }
      if (!collected.ensureSpace(available)) {
        return parsesRequests ? Optional.empty() : Optional.of(copyOfCollected());
      }
      collected.moveFrom(in, available);
      onBodyTaken(available);
      available = availableBody(in, ended);
    }
    return isBodyComplete || isCollectingOver ? Optional.of(copyOfCollected()) : Optional.empty();
  }

  private byte[] copyOfCollected() {
    byte[] bytes = new byte[collected.size()];
    collected.copyTo(0, bytes, 0, bytes.length);
    return bytes;
  }

  private byte[] take(RingBuffer in, int count) {
    byte[] bytes = new byte[count];
    in.copyTo(0, bytes, 0, count);
    in.skip(count);
    onBodyTaken(count);
    return bytes;
  }

  /**
   * Returns how many bytes of the body can be taken from the head of the buffer; removes the chunk
   * framing before them.
   */
  public int availableBody(RingBuffer in, boolean ended) {
    if (fault != 0 || isBodyComplete) {
      return 0;
    }
    if (chunks != null && remaining == 0) {
      remaining = chunks.nextChunk(in, maxBody - received);
      fault = chunks.fault();
      isBodyComplete = chunks.isComplete();
      if (remaining == 0) {
        return 0;
      }
    }
    isBodyComplete = remaining == HttpMessage.UNTIL_CLOSE && ended && in.size() == 0;
    return remaining == HttpMessage.UNTIL_CLOSE ? in.size() : (int) Math.min(remaining, in.size());
  }

  /** Records that the caller has taken {@code count} bytes of the body from the buffer. */
  public void onBodyTaken(int count) {
    received += count;
    if (remaining != HttpMessage.UNTIL_CLOSE) {
      remaining -= count;
    }
    isBodyComplete = remaining == 0 && chunks == null;
    if (received > maxBody) {
      fault = HttpStatus.CONTENT_TOO_LARGE;
    }
  }

  private boolean readHead(RingBuffer in) {
    int end = headScanner.findEnd(in);
    int maxBytes = parsesRequests ? MAX_REQUEST_HEAD_BYTES : MAX_HEAD_BYTES;
    if (end > maxBytes || (end < 0 && in.size() > maxBytes)) {
      fault = HttpStatus.HEADER_FIELDS_TOO_LARGE;
    } else if (end < 0 && !headScanner.startsLikeMessage(in)) {
      fault = HttpStatus.BAD_REQUEST;
    } else if (end >= 0) {
      String[] lines = AsciiText.lines(AsciiText.read(in, 0, end));
      headScanner.skipHead(in, end);
      if (parsesRequests && lines.length - 1 > MAX_REQUEST_FIELDS) {
        fault = HttpStatus.HEADER_FIELDS_TOO_LARGE;
      } else {
        startMessage(headParser.parse(lines));
        holdHead(end + lines.length * FIELD_OVERHEAD_BYTES);
      }
    }
    return head != null;
  }

  /** Takes memory for a parsed head; a request that gets none is not read any further. */
  private void holdHead(int headBytes) {
    held.release();
    if (parsesRequests) {
      isHeadRefused = !held.tryAddHead(headBytes);
    } else {
      held.add(headBytes);
    }
  }

  /** Prepares to read the body of a message, or notes the fault of its head. */
  private void startMessage(Optional<HttpMessage> parsed) {
    if (parsed.isEmpty()) {
      fault = HttpStatus.BAD_REQUEST;
      return;
    }
    HttpMessage message = parsed.get();
    boolean hasNoBody =
        message instanceof HttpResponse response && HttpStatus.hasNoBody(response.status());
    boolean isChunked = message.field(HeaderNames.TRANSFER_ENCODING) != null && !hasNoBody;
    long length = bodyLength(message, isChunked, hasNoBody);
    if (length > maxBody) {
      fault = HttpStatus.CONTENT_TOO_LARGE;
      return;
    }
    if (length == HttpMessage.UNTIL_CLOSE && message.keepsAlive()) {
      // The sender has announced no close, so a reset would be taken for the end of the body.
      fault = HttpStatus.BAD_REQUEST;
      return;
    }
    remaining = length;
    received = 0;
    chunks = isChunked ? new ChunkDecoder() : null;
    isBodyComplete = !isChunked && remaining == 0;
    collected =
        isChunked || length == HttpMessage.UNTIL_CLOSE
            ? new RingBuffer(maxBufferedBody, budget, use)
            : null;
    boolean expected = "100-continue".equalsIgnoreCase(message.field(HeaderNames.EXPECT));
    expectsContinue = expected && (isChunked || remaining > 0);
    head = message;
  }

  private long bodyLength(HttpMessage message, boolean isChunked, boolean hasNoBody) {
    String length = message.field(HeaderNames.CONTENT_LENGTH);
    if (hasNoBody) {
      return 0;
    }
    if (length != null) {
      return Long.parseLong(length);
    }
    return parsesRequests || isChunked ? 0 : HttpMessage.UNTIL_CLOSE;
  }
}
