package dillcross.net.connection;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;

/**
 * One HTTP connection: its input and output buffers, the parser of its input, and the exchange that
 * it carries at the moment. Its owner is the listener, pool, discovery client or admin endpoint
 * that opened or accepted it. Belongs to the selector thread.
 */
public final class Connection implements Network.ConnectionHandler, TransportChannel.WriteCallback {
  private static final int MAX_PIPELINED_BYTES = 512 << 10; // input that follows an open request

  private final TransportChannel channel;
  private final MessageHandler handler;
  private final boolean isServerSide;
  private final MemoryBudget budget;
  private final int standardWindow; // fits the largest buffered body with its head and framing
  private final RingBuffer in;
  private final ConnectionOutput output;
  private final HttpMessageParser parser;

  private final ConnectionActivity activity = new ConnectionActivity();
  private final ConnectionRelays relays = new ConnectionRelays();
  private Object exchange; // a request in progress, or an attempt; null while there is none
  private boolean closesAfterResponse;
  private boolean isClosing; // closed once all output is written
  private final InputDiscarder discarder = new InputDiscarder();
  private boolean isPaused; // reading is paused until the input buffer has space
  private boolean hasOverrun; // more input followed an open request than may be buffered
  private boolean isConnected;
  private boolean hasInputEnded; // no more bytes will arrive
  private boolean wasInputReset; // the input ended by an error, so a message may be cut short

  /**
   * Creates a connection whose connect has not succeeded yet.
   *
   * @param isServerSide true if requests arrive on it, false if responses do
   * @param maxBufferedBody the size of the largest body that is passed to the handler completely,
   *     in bytes; a larger one is streamed
   * @param maxBody the size of the largest body that is allowed, in bytes
   */
  public Connection(
      TransportChannel channel,
      MessageHandler handler,
      boolean isServerSide,
      int maxBufferedBody,
      long maxBody,
      MemoryBudget budget) {
    this.channel = channel;
    this.handler = handler;
    this.isServerSide = isServerSide;
    this.budget = budget;
    standardWindow = 2 * maxBufferedBody;
    in =
        isServerSide
            ? new RingBuffer(MAX_PIPELINED_BYTES, budget, MemoryUse.REQUEST_INPUT)
            : new RingBuffer(standardWindow, budget, MemoryUse.RESPONSE_INPUT);
    output =
        new ConnectionOutput(
            channel, budget, isServerSide ? MemoryUse.RESPONSE_OUTPUT : MemoryUse.REQUEST_OUTPUT);
    parser = new HttpMessageParser(isServerSide, maxBufferedBody, maxBody, budget);
  }

  @Override
  public void onReadable() {
    fill();
    HttpConnectionCodec.read(this);
  }

  @Override
  public void onClosed() {
    handler.onClosed(this);
  }

  MessageHandler handler() {
    return handler;
  }

  /** The input buffer: bytes that have arrived and are not parsed yet. */
  public RingBuffer in() {
    return in;
  }

  /** The output buffer: bytes that the network has not taken over yet. */
  public RingBuffer out() {
    return output.buffer();
  }

  /** The parser of the input. */
  public HttpMessageParser parser() {
    return parser;
  }

  boolean isServerSide() {
    return isServerSide;
  }

  /** Whether the channel is open. */
  public boolean isOpen() {
    return channel.isOpen();
  }

  /** Records that the connect has succeeded. */
  public void markConnected() {
    isConnected = true;
  }

  /** Whether the connect has succeeded. */
  public boolean isConnected() {
    return isConnected;
  }

  /** Whether the input has ended: the peer has closed its output, or the connection has failed. */
  public boolean hasInputEnded() {
    return hasInputEnded;
  }

  /** Whether the input has ended because the peer closed its output, and not by an error. */
  boolean hasInputEndedCleanly() {
    return hasInputEnded && !wasInputReset;
  }

  /** The times and counts from which the connection's timeouts are derived. */
  public ConnectionActivity activity() {
    return activity;
  }

  /** The relays of large bodies that the connection takes part in. */
  public ConnectionRelays relays() {
    return relays;
  }

  // Exchange

  /**
   * Begins an exchange; the connection's owner chooses the object that stands for it, a request in
   * progress or an attempt.
   */
  public void beginExchange(Object newExchange) {
    exchange = newExchange;
  }

  /** Ends the exchange and drops its message, so that the next one may be read. */
  public void endExchange() {
    exchange = null;
    parser.releaseMessage();
  }

  /** The request in progress or the attempt; null if there is none. */
  public Object exchange() {
    return exchange;
  }

  // Input

  /**
   * Reads what has arrived into the input buffer. An error counts as the end of the input, and is
   * not thrown.
   */
  void fill() {
    int before = in.size();
    try {
      if (isClosing || hasOverrun) {
        hasInputEnded |= discardInput();
      } else {
        hasInputEnded |= in.read(channel, window());
      }
    } catch (IOException e) {
      hasInputEnded = true;
      wasInputReset = true;
    }
    activity.countBytes(Math.max(0, in.size() - before));
  }

  /**
   * How many bytes of input may be buffered. While a client's request is open, this is more than
   * one message, because a client's disconnect is seen only once all bytes that it sent before are
   * read.
   */
  private int window() {
    boolean isStreaming = parser.isStreaming();
    boolean isRelayed = isStreaming && (!isServerSide || relays.hasInbound());
    boolean isBehindRequest = isServerSide && (exchange != null || isStreaming);
    if (!isRelayed && isBehindRequest && budget.isAmple()) {
      return MAX_PIPELINED_BYTES;
    }
    return isStreaming ? relayWindow() : standardWindow;
  }

  /** The number of bytes of a relayed body that may wait in one buffer. */
  int relayWindow() {
    return BodyRelay.windowBytes(budget);
  }

  boolean isInputFull() {
    return in.isFull() || in.size() >= window();
  }

  /**
   * Reads what has arrived; returns true if that is one byte or more. Used before a close, which
   * must not lose a request.
   */
  public boolean hasUnreadInput() {
    int before = in.size();
    fill();
    return in.size() > before;
  }

  /**
   * Reads what has arrived; returns whether the idle connection can carry the next message, because
   * it is open and no unsolicited bytes have arrived.
   */
  public boolean isReusable() {
    if (!isOpen() || hasInputEnded) {
      return false;
    }
    fill();
    return !hasInputEnded && in.size() == 0;
  }

  /** Whether input was discarded because more followed an open request than may be buffered. */
  public boolean hasOverrun() {
    return hasOverrun;
  }

  /** Discards input after the last response; returns whether no more of it is to be read. */
  private boolean discardInput() throws IOException {
    in.clear();
    int readCount = discarder.read(channel);
    activity.countBytes(Math.max(0, readCount));
    return readCount < 0 || (isClosing && discarder.isOverLimit());
  }

  /**
   * Stops reading if the input buffer is full, so that the selector does not report the same bytes
   * again.
   */
  public void pauseIfFull() {
    boolean isBehindRequest = isServerSide && exchange != null && !parser.isStreaming();
    if (isBehindRequest && in.size() >= MAX_PIPELINED_BYTES) {
      // Discards this input, and all that is read later to see a disconnect; the connection closes
      // after the response.
      hasOverrun = true;
      in.clear();
    }
    if (isInputFull() || (hasOverrun && discarder.isOverLimit()) || hasInputEnded) {
      isPaused = true; // set also if paused already: the transport may have enabled reads again
      setReadInterest(false);
    }
  }

  /** Resumes reading if it is paused and the input buffer has space again. */
  public void resumeReading() {
    boolean isRelayBehind = parser.isStreaming() && in.size() > relayWindow() / 2;
    if (isPaused && !hasInputEnded && !isInputFull() && !isRelayBehind) {
      isPaused = false;
      setReadInterest(true);
    }
  }

  private void setReadInterest(boolean interested) {
    try {
      channel.setReadInterest(interested);
    } catch (IOException gone) {
      close();
    }
  }

  /** Whether reading is paused until the buffer has space. */
  public boolean isPaused() {
    return isPaused;
  }

  /** Schedules the handling of the bytes that are left in the input buffer. */
  public void scheduleRead() {
    try {
      channel.scheduleRead();
    } catch (IOException gone) {
      close();
    }
  }

  /** Whether a message has arrived in part, or its body is still being read. */
  public boolean hasPartialMessage() {
    return in.size() > 0 || parser.isInMessage();
  }

  /**
   * Discards what still arrives of a message that was answered before it was complete, and closes
   * the connection after the answer. At most {@code maxBytes} are read.
   */
  public void discardRest(long maxBytes) {
    discarder.limitTo(maxBytes);
    discardRest();
  }

  /** As {@link #discardRest(long)}, with the limit of its last call; 1 MiB if there was none. */
  public void discardRest() {
    isClosing = true;
    in.clear();
    parser.release();
    resumeReading();
  }

  // Output

  /**
   * Sends a message. If the output buffer has no space for it, sends none of it and closes the
   * connection.
   */
  public void send(HttpMessage message) {
    send(message.encode());
  }

  /** As {@link #send(HttpMessage)}, for an encoded message. */
  public void send(byte[] message) {
    if (!output.send(message, this)) {
      close();
    }
  }

  /** Whether the output buffer has space for a message of {@code count} bytes. */
  public boolean hasSpaceFor(int count) {
    return output.buffer().ensureSpace(count);
  }

  /**
   * Whether the peer has so much output left to read that its next request has to wait: there may
   * be no space for another response.
   */
  public boolean isOutputBehind() {
    return output.isBehind();
  }

  /** Whether all of the last message was handed to the network. */
  public boolean isFullyWritten() {
    return isConnected && !relays.hasOutbound() && output.isFullyWritten();
  }

  /** Writes the output buffer to the channel, unless a write is in progress. */
  void flush() {
    output.flush(this);
  }

  @Override
  public void onWritten() {
    boolean wasBehind = isOutputBehind();
    activity.countBytes(output.finishWrite());
    flush();
    if (wasBehind && !isOutputBehind()) {
      readWaitingRequest();
    }
    relays.transferOutbound();
    if (isClosing && out().size() == 0) {
      shutdownOutput();
    }
  }

  /** Reads the request that has waited until the client read the response before it. */
  private void readWaitingRequest() {
    if (isServerSide && exchange == null && !isClosing) {
      resumeReading();
      scheduleRead();
    }
  }

  @Override
  public void onWriteFailed() {
    close(); // bytes left in the output buffer show that the message was not fully written
  }

  // Closing

  /** Begins a streamed response, and sets whether the connection closes after it. */
  public void beginResponse(boolean closesAfterwards) {
    closesAfterResponse = closesAfterwards;
  }

  /** Whether the connection closes after the streamed response. */
  public boolean closesAfterResponse() {
    return closesAfterResponse;
  }

  /** Makes the connection close once the next message has been written. */
  public void closeAfterNextMessage() {
    isClosing = true;
  }

  /** Whether the connection parses no more messages, and closes once all output is written. */
  public boolean isClosing() {
    return isClosing;
  }

  /** Makes the connection close once the present content of the output buffer is written. */
  public void closeAfterOutput() {
    isClosing = true;
    if (output.isIdle()) {
      shutdownOutput();
    }
  }

  /**
   * Ends the output and leaves the close to the peer; a close could destroy what the peer has not
   * read yet.
   */
  private void shutdownOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException gone) {
      close();
    }
  }

  /**
   * Closes the connection with a reset, so that the peer can't take a truncated message for a
   * complete one.
   */
  public void reset() {
    try {
      channel.resetOnClose();
    } catch (IOException gone) {
      isClosing = true;
    }
    close();
  }

  /** Closes the channel; output not yet written may be lost. */
  public void close() {
    channel.close();
  }

  /**
   * Returns the memory of buffers and parser to the budget; to be called when the close has been
   * reported.
   */
  public void releaseBuffers() {
    in.release();
    output.buffer().release();
    parser.release();
  }
}
