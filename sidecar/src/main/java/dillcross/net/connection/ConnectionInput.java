package dillcross.net.connection;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.ReadEnd;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.util.function.LongSupplier;

/**
 * The input of one connection: reads it into a buffer of limited size, and pauses reading while the
 * buffer is full. Belongs to the selector thread.
 */
public final class ConnectionInput {
  private static final int MAX_PIPELINED_BYTES = 512 << 10; // input that follows an open request

  private final Connection connection;
  private final TransportChannel channel;
  private final LongSupplier clock;
  private final MemoryBudget budget;
  private final int standardWindow; // fits the largest buffered body with its head and framing
  private final RingBuffer buffer;
  private final InputDiscarder discarder = new InputDiscarder();
  private boolean isPaused; // reading is paused until the buffer has space
  private long unreadSinceUs; // 0 while all that has arrived was read
  private boolean hasEnded; // no more bytes will arrive
  private boolean wasReset; // the input ended by an error, so a message may be cut short

  /**
   * Creates an input of which nothing was read.
   *
   * @param maxBufferedBody the size of the largest body that the buffer has to hold, in bytes
   */
  ConnectionInput(
      Connection connection,
      TransportChannel channel,
      LongSupplier clock,
      MemoryBudget budget,
      int maxBufferedBody) {
    this.connection = connection;
    this.channel = channel;
    this.clock = clock;
    this.budget = budget;
    standardWindow = 2 * maxBufferedBody;
    buffer =
        connection.isServerSide()
            ? new RingBuffer(MAX_PIPELINED_BYTES, budget, MemoryUse.REQUEST_INPUT)
            : new RingBuffer(standardWindow, budget, MemoryUse.RESPONSE_INPUT);
  }

  /** Bytes that have arrived and are not parsed yet. */
  RingBuffer buffer() {
    return buffer;
  }

  /** Whether the peer has closed its output, or the connection has failed. */
  public boolean hasEnded() {
    return hasEnded;
  }

  /** Whether the input has ended because the peer closed its output, and not by an error. */
  boolean hasEndedCleanly() {
    return hasEnded && !wasReset;
  }

  /**
   * Since when input may have arrived that was not read; 0 if there is none. What the peer has done
   * since then, such as ending its output, is not known here.
   */
  public long unreadSinceUs() {
    return unreadSinceUs;
  }

  /** Whether reading is paused until the buffer has space. */
  public boolean isPaused() {
    return isPaused;
  }

  /**
   * Reads what has arrived into the buffer. An error counts as the end of the input, and is not
   * thrown.
   */
  void fill() {
    fill(Integer.MAX_VALUE);
  }

  /** As {@link #fill()}, until the buffer holds {@code maxBytes}. */
  void fill(int maxBytes) {
    int before = buffer.size();
    try {
      if (connection.isClosing()) {
        hasEnded |= discard();
      } else {
        noteReadEnd(buffer.read(channel, Math.min(window(), maxBytes)));
      }
    } catch (IOException e) {
      hasEnded = true;
      wasReset = true;
    }
    connection.activity().countInput(Math.max(0, buffer.size() - before));
  }

  private void noteReadEnd(ReadEnd end) {
    hasEnded |= end == ReadEnd.END_OF_STREAM;
    if (end != ReadEnd.NO_SPACE) {
      unreadSinceUs = 0;
    } else if (unreadSinceUs == 0) {
      unreadSinceUs = clock.getAsLong();
    }
  }

  /**
   * How many bytes of input may be buffered. While a client's request is open, this is more than
   * one message, because a client's disconnect is seen only once all bytes that it sent before are
   * read.
   */
  private int window() {
    boolean isStreaming = connection.parser().isStreaming();
    boolean isRelayed =
        isStreaming && (!connection.isServerSide() || connection.relays().hasInbound());
    boolean isBehindRequest =
        connection.isServerSide() && (connection.exchange() != null || isStreaming);
    if (!isRelayed && isBehindRequest && budget.isAmple()) {
      return MAX_PIPELINED_BYTES;
    }
    return isStreaming ? connection.relayWindow() : standardWindow;
  }

  /** Whether the buffer takes no more bytes at the moment. */
  boolean isFull() {
    return buffer.isFull() || buffer.size() >= window();
  }

  /**
   * Reads what has arrived; returns true if that is one byte or more. Used before a close, which
   * must not lose a request.
   */
  public boolean hasUnread() {
    int before = buffer.size();
    fill();
    return buffer.size() > before;
  }

  /** Sets how many bytes are discarded at most after the last response. */
  void limitDiscardedBytes(long maxBytes) {
    discarder.limitTo(maxBytes);
  }

  /** Discards input after the last response; returns whether no more of it is to be read. */
  private boolean discard() throws IOException {
    buffer.clear();
    int readCount = discarder.read(channel);
    connection.activity().countInput(Math.max(0, readCount));
    return readCount < 0 || (connection.isClosing() && discarder.isOverLimit());
  }

  /**
   * Stops reading if the buffer is full, so that the selector does not report the same bytes again.
   */
  public void pauseIfFull() {
    if (isFull() || hasEnded) {
      isPaused = true; // set also if paused already: the transport may have enabled reads again
      setReadInterest(false);
    }
  }

  /**
   * Resumes reading if it is paused and the buffer has space again. What is left unread is read
   * soon, because the selector reports nothing if it turns out that there is nothing.
   */
  public void resume() {
    boolean isRelayBehind =
        connection.parser().isStreaming() && buffer.size() > connection.relayWindow() / 2;
    if (isPaused && !hasEnded && !isFull() && !isRelayBehind) {
      isPaused = false;
      setReadInterest(true);
    }
    if (!isPaused && unreadSinceUs > 0) {
      schedule();
    }
  }

  /** Has no reads reported until {@link #endDeferral}; what has arrived by then is unread. */
  public void defer() {
    if (unreadSinceUs == 0) {
      unreadSinceUs = clock.getAsLong();
    }
    setReadInterest(false);
  }

  /** Has reads reported again after {@link #defer}, unless reading is paused. */
  public void endDeferral() {
    setReadInterest(!isPaused);
  }

  private void setReadInterest(boolean interested) {
    try {
      channel.setReadInterest(interested);
    } catch (IOException gone) {
      connection.close();
    }
  }

  /** Schedules the handling of the bytes that are left in the buffer. */
  public void schedule() {
    try {
      channel.scheduleRead();
    } catch (IOException gone) {
      connection.close();
    }
  }
}
