package dillcross.net.connection;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;

/**
 * Streams the rest of a body that is too large to buffer from one connection to another, as it
 * arrives and no faster than the receiver takes it. Bytes that can't be forwarded yet wait in the
 * input buffer of the source; while that is full, the source is not read.
 */
public final class BodyRelay {
  /** Receives the outcome of the relay. */
  public interface Listener {
    /** Bytes of the body have left the source's buffer, so the body can't be sent a second time. */
    void onBytesReleased();

    /** The relay has ended; {@code complete} is false if the body broke off before its end. */
    void onFinished(boolean complete);
  }

  // The bytes that may wait in each of the two buffers: enough to keep a connection busy, and few
  // enough for many relays within the memory budget.
  private static final int WINDOW_BYTES = 64 << 10;
  private static final int SCARCE_WINDOW_BYTES = 8 << 10;

  // Pieces that are moved in one call, because other connections wait meanwhile; a body may come in
  // chunks of one byte.
  private static final int MAX_MOVES_AT_ONCE = 200;

  private static final int MAX_FRAMING_BYTES = 16; // around one chunk, or at the end of the body
  private static final byte[] LINE_END = HttpMessage.lineEnd();
  private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

  private final Connection source;
  private final Connection target;
  private final boolean chunked;
  private final Listener listener;
  private boolean isOver;
  private boolean isTargetBehind; // bytes wait in the source's buffer for space in the target's

  /**
   * A relay that has not started.
   *
   * @param chunked whether the body is written in chunks
   */
  public BodyRelay(Connection source, Connection target, boolean chunked, Listener listener) {
    this.source = source;
    this.target = target;
    this.chunked = chunked;
    this.listener = listener;
  }

  /** The connection that the body is written to. */
  Connection target() {
    return target;
  }

  /** Whether bytes of the body have arrived that the target has no space for. */
  boolean isTargetBehind() {
    return isTargetBehind;
  }

  /** The number of bytes that may wait in a buffer of a relay at the moment. */
  static int windowBytes(MemoryBudget budget) {
    return budget.isScarce() ? SCARCE_WINDOW_BYTES : WINDOW_BYTES;
  }

  /** Attaches the relay to both connections. */
  public void start() {
    source.relays().attachInbound(this);
    target.relays().attachOutbound(this);
    source.in().setKeepsCapacity(true);
    target.out().setKeepsCapacity(true);
    transfer();
  }

  /** Detaches the relay from both connections; it forwards no more of the body. */
  public void detach() {
    isOver = true;
    if (source.relays().detachInbound(this)) {
      source.in().setKeepsCapacity(false);
    }
    if (target.relays().detachOutbound(this)) {
      target.out().setKeepsCapacity(false);
    }
  }

  /** Moves the bytes that have arrived and that fit into the output buffer of the target. */
  void transfer() {
    if (isOver) {
      return;
    }
    HttpMessageParser parser = source.parser();
    int available = availableBody();
    int moves = 0;
    int space = freeBytes(available);
    while (available > 0 && space > 0 && moves < MAX_MOVES_AT_ONCE) {
      move(Math.min(available, space));
      moves++;
      available = availableBody();
      space = freeBytes(available);
    }
    isTargetBehind = available > 0 && space <= 0;
    if (available > 0 && !isTargetBehind) {
      source.input().schedule();
    }
    if (moves > 0) {
      listener.onBytesReleased();
    }
    boolean isComplete = parser.isBodyComplete();
    if (isComplete && chunked) {
      target.out().add(LAST_CHUNK); // freeBytes left space for it
    }
    boolean isBroken =
        parser.fault() != 0 || (!isComplete && available == 0 && source.input().hasEnded());
    if (isComplete || isBroken) {
      finish(isComplete && !isBroken);
    } else {
      target.flush();
      source.input().resume();
      HttpConnectionCodec.reportBodyProgress(source);
    }
  }

  private int availableBody() {
    return source.parser().availableBody(source.in(), source.input().hasEndedCleanly());
  }

  /** How many of the available bytes fit; the output buffer grows for them, but not for more. */
  private int freeBytes(int available) {
    int framing = chunked ? 2 * MAX_FRAMING_BYTES : 0;
    RingBuffer out = target.out();
    return out.freeBytes(Math.min(target.relayWindow(), out.size() + available + framing))
        - framing;
  }

  private void move(int count) {
    RingBuffer out = target.out();
    if (chunked) {
      out.add(HttpMessage.chunkHead(count));
    }
    out.moveFrom(source.in(), count);
    source.activity().countInput(count);
    source.parser().onBodyTaken(count);
    if (chunked) {
      out.add(LINE_END);
    }
  }

  private void finish(boolean complete) {
    detach();
    target.flush();
    source.parser().finish();
    source.input().resume();
    listener.onFinished(complete);
  }
}
