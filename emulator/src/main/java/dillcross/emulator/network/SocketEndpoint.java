package dillcross.emulator.network;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * One side of an emulated TCP connection, with a bounded receive window, half-close and resets.
 * Used only by the thread of the simulation run.
 */
public final class SocketEndpoint {
  /** Receives the events of one side of a connection. Called by events of the virtual clock. */
  public interface Owner {
    /** The connection that this side initiated is established. */
    default void onConnected(SocketEndpoint end) {
      throw new IllegalStateException("onConnected called on the accepting side");
    }

    /** The connection that this side initiated was refused. */
    default void onConnectFailed(SocketEndpoint end) {
      // Ignored by owners that do not retry.
    }

    /** Bytes, the end of input or a reset have arrived and can be read. */
    void onReadable(SocketEndpoint end);

    /** All bytes of the latest {@link SocketEndpoint#send(ByteBuffer)} were sent or discarded. */
    default void onWritten(SocketEndpoint end) {
      // Ignored by owners that send without flow control.
    }
  }

  /** Result of {@link #read} at the end of input. */
  public static final int END_OF_INPUT = -1;

  /** Result of {@link #read} after a reset by the peer. */
  public static final int RESET = -2;

  private static final int WINDOW_BYTES = 256 << 10;

  /**
   * Data that has arrived; {@code onRead}, unless null, runs when all of the data has been read.
   */
  private record Segment(byte[] bytes, long sentUs, Runnable onRead) {}

  private final VirtualNetwork network;
  private final VirtualMachine host;
  private final long connectionId;
  private final boolean isInitiator;
  private final ArrayDeque<Segment> received = new ArrayDeque<>();
  private SocketEndpoint peer;
  private Owner owner; // null on the accepting side until the connection is accepted
  private long transmissionCount;
  private long lastArrivalUs;
  private int firstSegmentReadBytes; // bytes of the first received segment that were read
  private long unreadBytes;
  private long unacknowledgedBytes; // bytes sent that the peer has not read
  private ByteBuffer pendingOutput; // bytes that wait for window space; null if none do
  private boolean isEstablished;
  private boolean isOpen = true;
  private boolean hasInputEnded;
  private boolean isReset; // whether a reset from the peer has arrived
  private boolean hasOutputEnded;
  private boolean resetsOnClose;
  private boolean wasClosedWithReset;
  private long firstSentUs;

  /** Creates one side of a connection; both sides have the same {@code connectionId}. */
  SocketEndpoint(
      VirtualNetwork network, VirtualMachine host, long connectionId, boolean isInitiator) {
    this.network = network;
    this.host = host;
    this.connectionId = connectionId;
    this.isInitiator = isInitiator;
  }

  /** Sets the receiver of this side's events. */
  public void setOwner(Owner newOwner) {
    owner = newOwner;
  }

  Owner owner() {
    return owner;
  }

  void setPeer(SocketEndpoint other) {
    peer = other;
  }

  SocketEndpoint peer() {
    return peer;
  }

  /** The machine on this side. */
  public VirtualMachine host() {
    return host;
  }

  /** The machine on the other side. */
  public VirtualMachine peerHost() {
    return peer.host;
  }

  long connectionId() {
    return connectionId;
  }

  /** Whether this side initiated the connection. */
  boolean isInitiator() {
    return isInitiator;
  }

  /** Returns the number of the next transmission from this side, from 0, and increments it. */
  long nextTransmissionNumber() {
    long number = transmissionCount;
    transmissionCount++;
    return number;
  }

  /**
   * Arrival time in µs of the next transmission from this side: {@code earliestUs}, or the arrival
   * time of the previous transmission if that is later.
   */
  long arrivalInOrderUs(long earliestUs) {
    lastArrivalUs = Math.max(lastArrivalUs, earliestUs);
    return lastArrivalUs;
  }

  /** Whether this side has neither closed the connection nor been refused. */
  public boolean isOpen() {
    return isOpen;
  }

  /** Whether the connection has been established; stays true after it is closed. */
  public boolean isEstablished() {
    return isEstablished;
  }

  /** Whether a reset from the peer has arrived. */
  public boolean wasReset() {
    return isReset;
  }

  /** Whether the peer has read none of the last {@code byteCount} bytes that this side sent. */
  public boolean isUnreadByPeer(long byteCount) {
    return unacknowledgedBytes >= byteCount;
  }

  /** Whether bytes, the end of input or a reset can be read. */
  public boolean isReadable() {
    return unreadBytes > 0 || hasInputEnded || isReset;
  }

  /** Whether the connection was reset, or all input up to its end was read. */
  public boolean isInputOver() {
    return isReset || (hasInputEnded && unreadBytes == 0);
  }

  /** Virtual time in µs at which the peer sent the first byte that the latest read returned. */
  public long firstSentUs() {
    return firstSentUs;
  }

  // ---- Reading

  /**
   * Reads without blocking. Returns the number of bytes read, 0 if none are available, {@link
   * #END_OF_INPUT} or {@link #RESET}.
   */
  public int read(ByteBuffer into) {
    if (isReset) {
      return RESET;
    }
    int total = 0;
    while (into.hasRemaining() && !received.isEmpty()) {
      Segment first = received.peekFirst();
      int count = Math.min(into.remaining(), first.bytes.length - firstSegmentReadBytes);
      into.put(first.bytes, firstSegmentReadBytes, count);
      firstSentUs = total == 0 ? first.sentUs : firstSentUs;
      firstSegmentReadBytes += count;
      total += count;
      if (firstSegmentReadBytes == first.bytes.length) {
        received.pollFirst();
        firstSegmentReadBytes = 0;
        if (first.onRead != null) {
          first.onRead.run();
        }
      }
    }
    if (total > 0) {
      unreadBytes -= total;
      peer.onReadByPeer(total);
      return total;
    }
    return hasInputEnded ? END_OF_INPUT : 0;
  }

  /** Reads all bytes that have arrived; an empty array if there are none. */
  public byte[] readAll() {
    ByteBuffer into = ByteBuffer.allocate((int) unreadBytes);
    int count = read(into);
    return count > 0 ? into.array() : new byte[0];
  }

  private void onReadByPeer(long byteCount) {
    unacknowledgedBytes -= byteCount;
    if (pendingOutput != null) {
      network.transmit(this, host, peer.host, this::onWindowUpdate);
    }
  }

  private void onWindowUpdate() {
    if (isOpen && pendingOutput != null && !isReset) {
      sendPending();
      if (pendingOutput == null) {
        owner.onWritten(this);
      }
    }
  }

  // ---- Sending

  /**
   * Sends as many bytes as the window allows. Returns true if some remain: they are sent as the
   * peer reads, and {@link Owner#onWritten} is called after the last one.
   */
  public boolean send(ByteBuffer bytes) {
    pendingOutput = bytes;
    sendPending();
    return pendingOutput != null;
  }

  /**
   * Sends all bytes regardless of the window, or none if the socket is closed, was reset or has
   * ended its output.
   *
   * @param onRead runs when the peer has read the last byte; null if nothing is to run
   */
  public void send(byte[] bytes, Runnable onRead) {
    if (isOpen && !isReset && !hasOutputEnded) {
      unacknowledgedBytes += bytes.length;
      network.transmitData(this, bytes, onRead);
    }
  }

  private void sendPending() {
    long windowBytes = Math.max(0, WINDOW_BYTES - unacknowledgedBytes);
    int count = (int) Math.min(pendingOutput.remaining(), windowBytes);
    if (count > 0) {
      byte[] bytes = new byte[count];
      pendingOutput.get(bytes);
      unacknowledgedBytes += count;
      network.transmitData(this, bytes, null);
    }
    pendingOutput = pendingOutput.hasRemaining() ? pendingOutput : null;
  }

  /** The number of bytes sent so far of an output that waits for the window; 0 if none waits. */
  int pendingBytesTaken() {
    return pendingOutput == null ? 0 : pendingOutput.position();
  }

  /** Ends the output of this side (half-close); input can still be read. */
  public void shutdownOutput() {
    if (isOpen && !hasOutputEnded) {
      hasOutputEnded = true;
      network.transmitEnd(this);
    }
  }

  // ---- Closing

  /**
   * Whether this side closed the connection with a reset, after which data that a partition holds
   * back is dropped instead of retransmitted.
   */
  boolean wasClosedWithReset() {
    return wasClosedWithReset;
  }

  /** Makes {@link #close()} reset the connection. */
  public void resetOnClose() {
    resetsOnClose = true;
  }

  /**
   * Closes the connection. If this side has unread bytes, the peer receives the end of input and
   * then a reset, as when a Java channel is closed.
   */
  public void close() {
    boolean isResetToFollow = unreadBytes > 0 && !resetsOnClose && isOpen;
    close(resetsOnClose);
    if (isResetToFollow) {
      network.afterNextSelect(() -> network.transmitReset(this));
    }
  }

  /** Closes the connection with a reset. */
  public void reset() {
    close(true);
  }

  private void close(boolean withReset) {
    if (!isOpen) {
      return;
    }
    host.remove(this);
    discard();
    wasClosedWithReset = withReset;
    if (withReset) {
      network.transmitReset(this);
    } else if (!hasOutputEnded) {
      network.transmitEnd(this);
    }
  }

  /** Closes this side without notifying the peer, as when its machine is turned off. */
  void discard() {
    isOpen = false;
    received.clear();
    pendingOutput = null;
  }

  // ---- Calls from the network

  void markEstablished() {
    isEstablished = true;
  }

  void receive(byte[] bytes, long sentUs, Runnable onRead) {
    if (!isOpen) {
      network.transmitReset(this); // TCP answers data for a closed socket with a reset
    } else if (!isReset) {
      received.addLast(new Segment(bytes, sentUs, onRead));
      unreadBytes += bytes.length;
      owner.onReadable(this);
    }
  }

  void receiveEnd() {
    if (isOpen && !hasInputEnded && owner != null) {
      hasInputEnded = true;
      owner.onReadable(this);
    }
  }

  void receiveReset() {
    if (!isOpen || isReset || owner == null) {
      return;
    }
    isReset = true;
    received.clear();
    unreadBytes = 0;
    owner.onReadable(this);
    if (pendingOutput != null) {
      pendingOutput = null;
      owner.onWritten(this);
    }
  }
}
