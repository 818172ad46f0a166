package dillcross.net.connection;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.util.function.LongSupplier;

/**
 * One HTTP connection: its input and output buffers, the parser of its input, and the exchange that
 * it carries at the moment. Its owner is the listener, pool, discovery client or admin endpoint
 * that opened or accepted it. Belongs to the selector thread.
 */
public final class Connection implements Network.ConnectionHandler, TransportChannel.WriteCallback {
  private final TransportChannel channel;
  private final MessageHandler handler;
  private final boolean isServerSide;
  private final MemoryBudget budget;
  private final ConnectionInput input;
  private final ConnectionOutput output;
  private final HttpMessageParser parser;

  private final ConnectionActivity activity = new ConnectionActivity();
  private final ConnectionRelays relays = new ConnectionRelays();
  private Object exchange; // a request in progress, or an attempt; null while there is none
  private boolean closesAfterResponse;
  private boolean isClosing; // closed once all output is written
  private boolean isDiscarding; // the last message was answered before it was complete
  private boolean isConnected;

  /**
   * Creates a connection whose connect has not succeeded yet.
   *
   * @param isServerSide true if requests arrive on it, false if responses do
   * @param maxBufferedBody the size of the largest body that is passed to the handler completely,
   *     in bytes; a larger one is streamed
   * @param maxBody the size of the largest body that is allowed, in bytes
   * @param clock gives microseconds
   */
  public Connection(
      TransportChannel channel,
      MessageHandler handler,
      boolean isServerSide,
      int maxBufferedBody,
      long maxBody,
      MemoryBudget budget,
      LongSupplier clock) {
    this.channel = channel;
    this.handler = handler;
    this.isServerSide = isServerSide;
    this.budget = budget;
    input = new ConnectionInput(this, channel, clock, budget, maxBufferedBody);
    output =
        new ConnectionOutput(
            channel, budget, isServerSide ? MemoryUse.RESPONSE_OUTPUT : MemoryUse.REQUEST_OUTPUT);
    parser = new HttpMessageParser(isServerSide, maxBufferedBody, maxBody, budget);
  }

  @Override
  public void onReadable() {
    readUpTo(Integer.MAX_VALUE);
  }

  /** As {@link #onReadable}, but reads only until the input buffer holds {@code maxBytes}. */
  public void readUpTo(int maxBytes) {
    input.fill(maxBytes);
    HttpConnectionCodec.read(this);
  }

  /**
   * The number of bytes that are held of a message that has arrived in part: those of its head, or,
   * once its head was read, those of its body.
   */
  public int bufferedMessageBytes() {
    return in().size() + parser.collectedBytes();
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
    return input.buffer();
  }

  /** Reads the input, and pauses and resumes reading. */
  public ConnectionInput input() {
    return input;
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

  /** Whether a message has arrived in part, or its body is still being read. */
  public boolean hasPartialMessage() {
    return in().size() > 0 || parser.isInMessage();
  }

  /** Passes on the message that is being read with the part of its body that was collected. */
  public void passOnCollected() {
    parser.endCollecting();
    HttpConnectionCodec.read(this);
  }

  /**
   * Reads what has arrived; returns whether the idle connection can carry the next message, because
   * it is open and no unsolicited bytes have arrived.
   */
  public boolean isReusable() {
    if (!isOpen() || input.hasEnded()) {
      return false;
    }
    input.fill();
    return !input.hasEnded() && in().size() == 0;
  }

  /** The number of bytes of a relayed body that may wait in one buffer. */
  int relayWindow() {
    return BodyRelay.windowBytes(budget);
  }

  /**
   * Discards what still arrives of a message that was answered before it was complete, and closes
   * the connection after the answer. At most {@code maxBytes} are read.
   */
  public void discardRest(long maxBytes) {
    input.limitDiscardedBytes(maxBytes);
    discardRest();
  }

  /** As {@link #discardRest(long)}, with the limit of its last call; 1 MiB if there was none. */
  public void discardRest() {
    isClosing = true;
    isDiscarding = true;
    in().clear();
    parser.release();
    input.resume();
  }

  /**
   * Whether the last message was answered before it was complete, so that more may arrive of it.
   */
  public boolean isDiscarding() {
    return isDiscarding;
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
    activity.countOutput(output.finishWrite());
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
      input.resume();
      input.schedule();
    }
  }

  /**
   * Notes what the peer has sent and taken since the last call, here and where the input is relayed
   * to, and tries the unfinished writes again. To be called several times within the shortest
   * timeout that depends on {@link #activity}.
   */
  public void noteProgress(long nowUs) {
    noteOwnProgress(nowUs);
    relays.noteInboundProgress(nowUs);
  }

  /** As {@link #noteProgress}, for this connection only: two may relay to each other. */
  void noteOwnProgress(long nowUs) {
    activity.countOutput(output.countProgress());
    activity.noteProgress(nowUs, !output.isIdle());
    try {
      output.retryWrite(nowUs);
    } catch (IOException gone) {
      close();
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
    in().release();
    output.buffer().release();
    parser.release();
  }
}
