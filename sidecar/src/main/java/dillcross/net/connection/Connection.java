package dillcross.net.connection;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Deque;

/**
 * One HTTP connection: its two buffers, the parser between them, and the exchange that it carries
 * at the moment. Its owner is the listener, pool, discovery client or admin endpoint that opened or
 * accepted it. Belongs to the selector thread.
 */
public final class Connection implements Network.ConnectionHandler, TransportChannel.WriteCallback {
  private static final int MAX_DISCARDED_BYTES = 1 << 20; // after the last response
  private static final int MAX_PIPELINED_BYTES = 512 << 10; // buffered behind an open request
  private static final ByteBuffer DISCARDED =
      ByteBuffer.allocate(32 << 10); // its content is unused

  private final TransportChannel channel;
  private final MessageHandler handler;
  private final boolean isServerSide;
  private final MemoryBudget budget;
  private final int usualWindow; // the largest buffered message, its framing, and what precedes it
  private final RingBuffer in;
  private final RingBuffer out;
  private final HttpMessageParser parser;

  private final ConnectionActivity activity = new ConnectionActivity();
  private final ConnectionRelays relays = new ConnectionRelays();
  private Object exchange; // a request in progress, or an attempt; null while there is none
  private Collection<Connection> pool; // the idle connections that it was last put among; or null
  private boolean closesAfterResponse;
  private boolean isClosing; // closed once all output is written
  private long maxDiscardedBytes = MAX_DISCARDED_BYTES;
  private long discardedBytes;
  private boolean isPaused;
  private boolean hasOverrun;
  private boolean isConnected;
  private boolean hasInputEnded;
  private boolean wasInputReset; // so that what arrived may be cut short
  private boolean wasLastMessageDropped; // there was no space for it
  private boolean isWriting;
  private int bytesInWrite;

  /**
   * A connection that is not up yet.
   *
   * @param isServerSide whether it brings requests; else responses
   * @param maxBufferedBody bytes of a body that is handed on completely; larger ones are streamed
   * @param maxBody bytes of any body
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
    usualWindow = 2 * maxBufferedBody;
    in = new RingBuffer(isServerSide ? MAX_PIPELINED_BYTES : usualWindow, budget);
    out = new RingBuffer(2 * HttpMessageParser.MAX_BUFFERED_BODY_BYTES, budget);
    parser = new HttpMessageParser(isServerSide, maxBufferedBody, maxBody);
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

  /** Bytes that arrived and are not yet read. */
  public RingBuffer in() {
    return in;
  }

  /** Bytes to be sent. */
  public RingBuffer out() {
    return out;
  }

  /** The parser of what arrives. */
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

  /** Notes that the connect has succeeded. */
  public void markConnected() {
    isConnected = true;
  }

  /** Whether the connect has succeeded. */
  public boolean isConnected() {
    return isConnected;
  }

  /** Whether nothing more arrives. */
  public boolean hasInputEnded() {
    return hasInputEnded;
  }

  /** Whether its input ended as its sender meant it to. */
  boolean hasInputEndedCleanly() {
    return hasInputEnded && !wasInputReset;
  }

  /** How much it has been used, and since when it is idle. */
  public ConnectionActivity activity() {
    return activity;
  }

  /** The relays of large bodies that it takes part in. */
  public ConnectionRelays relays() {
    return relays;
  }

  // Exchange

  /** Begins a request in progress, or an attempt; the owner says what stands for it. */
  public void beginExchange(Object newExchange) {
    exchange = newExchange;
  }

  /** Ends the exchange, so that the next message may be read. */
  public void endExchange() {
    exchange = null;
  }

  /** The request in progress or the attempt; null if there is none. */
  public Object exchange() {
    return exchange;
  }

  /** Puts it last among the idle connections of its endpoint. */
  public void joinPool(Deque<Connection> idleConnections) {
    idleConnections.addLast(this);
    pool = idleConnections;
  }

  /** Takes it out of the idle connections that it last joined, if it is still there. */
  public void leavePool() {
    if (pool != null) {
      pool.remove(this);
    }
  }

  // Input

  /** Reads what has arrived into the buffer; the end of input is noted, not thrown. */
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
   * How many bytes may be buffered. Behind an open request more than one message, because a
   * client's disconnect is seen only once all that it sent before is read.
   */
  private int window() {
    boolean isStreaming = parser.isStreaming();
    boolean isRelayed = isStreaming && (!isServerSide || relays.hasInbound());
    boolean isBehindRequest = isServerSide && (exchange != null || isStreaming);
    if (!isRelayed && isBehindRequest && budget.isAmple()) {
      return MAX_PIPELINED_BYTES;
    }
    return isStreaming ? BodyRelay.WINDOW_BYTES : usualWindow;
  }

  boolean isInputFull() {
    return in.isFull() || in.size() >= window();
  }

  /** Reads what has arrived, and returns whether there was any: a request must not be lost. */
  public boolean hasUnreadInput() {
    int before = in.size();
    fill();
    return in.size() > before;
  }

  /**
   * Whether an idle connection can carry the next message: open, and nothing unsolicited arrived.
   */
  public boolean isReusable() {
    if (!isOpen() || hasInputEnded) {
      return false;
    }
    fill();
    return !hasInputEnded && in.size() == 0;
  }

  /** Whether so much followed an open request that it was discarded. */
  public boolean hasOverrun() {
    return hasOverrun;
  }

  /**
   * Reads and discards what follows the last response, because closing with unread input would
   * reset the connection and destroy the response. Limited, so that a large upload does not take
   * the thread's time.
   *
   * @return whether no more is to be read
   */
  private boolean discardInput() throws IOException {
    in.clear();
    int got = channel.read(DISCARDED.clear());
    discardedBytes += Math.max(0, got);
    activity.countBytes(Math.max(0, got));
    return got < 0 || (isClosing && discardedBytes > maxDiscardedBytes);
  }

  /** Stops reading while the buffer is full, so that the selector does not report it again. */
  public void pauseIfFull() {
    boolean isBehindRequest = isServerSide && exchange != null && !parser.isStreaming();
    if (isBehindRequest && in.size() >= MAX_PIPELINED_BYTES) {
      // Discards what follows, but reads on to see a disconnect; closes with the response.
      hasOverrun = true;
      in.clear();
    }
    if (isInputFull() || (hasOverrun && discardedBytes > maxDiscardedBytes) || hasInputEnded) {
      isPaused = true; // the transport may have enabled it again with an event of its own
      setReadInterest(false);
    }
  }

  /** Reads on, now that there is space again. */
  public void resumeReading() {
    boolean isRelayBehind = parser.isStreaming() && in.size() > BodyRelay.WINDOW_BYTES / 2;
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

  /** Has what is left in the buffer read with the next events. */
  public void scheduleRead() {
    try {
      channel.scheduleRead();
    } catch (IOException gone) {
      close();
    }
  }

  /** Whether a part of a message has arrived. */
  public boolean hasPartialMessage() {
    return in.size() > 0 || parser.isInMessage();
  }

  /** Discards what still arrives of a message that was answered before it was complete. */
  public void discardRest(long maxBytes) {
    maxDiscardedBytes = maxBytes;
    isClosing = true;
    in.clear();
    resumeReading();
  }

  /** As {@link #discardRest(long)}, with the present limit. */
  public void discardRest() {
    discardRest(maxDiscardedBytes);
  }

  // Output

  /** Sends a message; where there is no space for it nothing of it is sent, and it closes. */
  public void send(HttpMessage message) {
    wasLastMessageDropped = !out.add(message.encode());
    if (wasLastMessageDropped) {
      close();
    } else {
      flush();
    }
  }

  /** Whether all of its last message was handed to the network. */
  public boolean isFullyWritten() {
    return isConnected && !wasLastMessageDropped && !relays.hasOutbound() && out.size() == 0;
  }

  /** Hands the buffer to the channel, which takes over what the socket has no space for yet. */
  void flush() {
    if (!isWriting && out.size() > 0) {
      ByteBuffer bytes = out.contiguous();
      bytesInWrite = bytes.remaining();
      isWriting = true;
      channel.write(bytes, this);
    }
  }

  @Override
  public void onWritten() {
    isWriting = false;
    out.skip(bytesInWrite);
    activity.countBytes(bytesInWrite);
    flush();
    relays.transferOutbound();
    if (isClosing && out.size() == 0) {
      shutdownOutput();
    }
  }

  @Override
  public void onWriteFailed() {
    close(); // what is left in the buffer says how far it came
  }

  // Closing

  /** Begins a streamed response, and notes whether the connection closes after it. */
  public void beginResponse(boolean closesAfterwards) {
    closesAfterResponse = closesAfterwards;
  }

  /** Whether the connection closes after the streamed response. */
  public boolean closesAfterResponse() {
    return closesAfterResponse;
  }

  /** Closes the connection once the message that is sent next is written. */
  public void closeAfterNextMessage() {
    isClosing = true;
  }

  /** Whether it closes once all output is written, and reads no more messages. */
  public boolean isClosing() {
    return isClosing;
  }

  /** Sends no more than what is in the buffer; then it closes. */
  public void closeAfterOutput() {
    isClosing = true;
    if (out.size() == 0 && !isWriting) {
      shutdownOutput();
    }
  }

  /** The peer then closes; closing at once could destroy what it has not read yet. */
  private void shutdownOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException gone) {
      close();
    }
  }

  /** Closes it with a reset, so that the peer can't mistake a cut message for a complete one. */
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

  /** Returns its buffers' memory, after its close was reported. */
  public void releaseBuffers() {
    in.release();
    out.release();
  }
}
