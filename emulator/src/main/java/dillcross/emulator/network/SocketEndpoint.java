package dillcross.emulator.network;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * One side of a connection, which behaves as a TCP socket does as far as the program above can
 * tell: a bounded window, half close, and resets. Owned by the thread of the simulation run.
 */
public final class SocketEndpoint {
  /** Receives the events of one side of a connection, each from an event of the clock. */
  public interface Owner {
    /** The connection that this side asked for is up. */
    default void onConnected(SocketEndpoint end) {
      throw new IllegalStateException("this side did not connect");
    }

    /** The connection that this side asked for was refused. */
    default void onConnectFailed(SocketEndpoint end) {
      // Ignored by owners that do not retry.
    }

    /** Bytes, the end of input or a reset can be read. */
    void onReadable(SocketEndpoint end);

    /** All bytes of the latest {@link SocketEndpoint#send(ByteBuffer)} were sent or discarded. */
    default void onWritten(SocketEndpoint end) {
      // Ignored by owners that send without flow control.
    }
  }

  /** Result of {@link #read} at the end of input. */
  public static final int END_OF_INPUT = -1;

  /** Result of {@link #read} after a reset. */
  public static final int RESET = -2;

  private static final int WINDOW_BYTES = 256 << 10;

  private record Piece(byte[] bytes, long sentUs, Runnable onRead) {}

  private final VirtualNetwork network;
  private final VirtualMachine host;
  private final long connectionId;
  private final boolean isInitiator;
  private final ArrayDeque<Piece> received = new ArrayDeque<>();
  private SocketEndpoint peer;
  private Owner owner; // null until accepted
  private long transmissionCount;
  private long lastArrivalUs;
  private int firstPieceReadBytes;
  private long unreadBytes;
  private long unacknowledgedBytes; // sent and not read by the peer
  private ByteBuffer pendingOutput; // null if none waits for the window
  private boolean isUp;
  private boolean isOpen = true;
  private boolean hasInputEnded;
  private boolean isReset;
  private boolean hasOutputEnded;
  private boolean resetsOnClose;
  private boolean wasClosedWithReset;
  private long firstSentUs;

  /** One side of the connection with that id, which both sides share. */
  SocketEndpoint(
      VirtualNetwork network, VirtualMachine host, long connectionId, boolean isInitiator) {
    this.network = network;
    this.host = host;
    this.connectionId = connectionId;
    this.isInitiator = isInitiator;
  }

  /** Sets who receives its events from now on. */
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

  /** Whether this side asked for the connection. */
  boolean isInitiator() {
    return isInitiator;
  }

  /** Number of this transmission from this side, from 0 on. */
  long nextTransmissionNumber() {
    long number = transmissionCount;
    transmissionCount++;
    return number;
  }

  /** Arrival of a transmission in order: not before any that was sent earlier. */
  long arrivalInOrderUs(long earliestUs) {
    lastArrivalUs = Math.max(lastArrivalUs, earliestUs);
    return lastArrivalUs;
  }

  /** Whether this side has not closed it. */
  public boolean isOpen() {
    return isOpen;
  }

  /** Whether the connection has come up. */
  public boolean isUp() {
    return isUp;
  }

  /** Whether the other side has reset it. */
  public boolean wasReset() {
    return isReset;
  }

  /** Whether the peer has read none of the last {@code byteCount} bytes sent. */
  public boolean isUnreadByPeer(long byteCount) {
    return unacknowledgedBytes >= byteCount;
  }

  /** Whether bytes, the end of input or a reset can be read. */
  public boolean isReadable() {
    return unreadBytes > 0 || hasInputEnded || isReset;
  }

  /** Whether everything was read and nothing more can arrive. */
  public boolean isInputOver() {
    return isReset || (hasInputEnded && unreadBytes == 0);
  }

  /** When the first byte of the last read was sent, in µs. */
  public long firstSentUs() {
    return firstSentUs;
  }

  // ---- Reading

  /**
   * Reads without waiting: the number of bytes, 0 if there are none at present, {@link
   * #END_OF_INPUT} or {@link #RESET}.
   */
  public int read(ByteBuffer into) {
    if (isReset) {
      return RESET;
    }
    int total = 0;
    while (into.hasRemaining() && !received.isEmpty()) {
      Piece first = received.peekFirst();
      int count = Math.min(into.remaining(), first.bytes.length - firstPieceReadBytes);
      into.put(first.bytes, firstPieceReadBytes, count);
      firstSentUs = total == 0 ? first.sentUs : firstSentUs;
      firstPieceReadBytes += count;
      total += count;
      if (firstPieceReadBytes == first.bytes.length) {
        received.pollFirst();
        firstPieceReadBytes = 0;
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

  /** Reads all bytes that have arrived; empty if there are none. */
  public byte[] readAll() {
    ByteBuffer into = ByteBuffer.allocate((int) unreadBytes);
    int count = read(into);
    return count > 0 ? into.array() : new byte[0];
  }

  private void onReadByPeer(long byteCount) {
    unacknowledgedBytes -= byteCount;
    if (pendingOutput != null) {
      network.after(this, host, peer.host, this::onWindowUpdate);
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

  /** Sends within the window; true if bytes remain, and {@link Owner#onWritten} follows. */
  public boolean send(ByteBuffer bytes) {
    pendingOutput = bytes;
    sendPending();
    return pendingOutput != null;
  }

  /**
   * Sends all bytes regardless of the window, or none if output has ended.
   *
   * @param onRead runs when the peer has read the last byte; null for nothing
   */
  public void send(byte[] bytes, Runnable onRead) {
    if (isOpen && !isReset && !hasOutputEnded) {
      unacknowledgedBytes += bytes.length;
      network.carry(this, bytes, onRead);
    }
  }

  private void sendPending() {
    long windowBytes = Math.max(0, WINDOW_BYTES - unacknowledgedBytes);
    int count = (int) Math.min(pendingOutput.remaining(), windowBytes);
    if (count > 0) {
      byte[] bytes = new byte[count];
      pendingOutput.get(bytes);
      unacknowledgedBytes += count;
      network.carry(this, bytes, null);
    }
    pendingOutput = pendingOutput.hasRemaining() ? pendingOutput : null;
  }

  /** Ends output; input goes on. */
  public void shutdownOutput() {
    if (isOpen && !hasOutputEnded) {
      hasOutputEnded = true;
      network.carryEnd(this);
    }
  }

  // ---- Closing

  /** Whether it was closed with a reset, so that its data is not retransmitted. */
  boolean wasClosedWithReset() {
    return wasClosedWithReset;
  }

  /** Makes {@link #close()} reset the connection. */
  public void resetOnClose() {
    resetsOnClose = true;
  }

  /**
   * Closes it. With unread bytes here, the peer receives the end of input and then a reset, as with
   * sockets of a running system.
   */
  public void close() {
    boolean isResetToFollow = unreadBytes > 0 && !resetsOnClose && isOpen;
    close(resetsOnClose);
    if (isResetToFollow) {
      network.afterNextSelect(() -> network.carryReset(this));
    }
  }

  /** Closes it with a reset. */
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
      network.carryReset(this);
    } else if (!hasOutputEnded) {
      network.carryEnd(this);
    }
  }

  /** Drops it without a word to the peer, as a machine does that was turned off. */
  void discard() {
    isOpen = false;
    received.clear();
    pendingOutput = null;
  }

  // ---- Calls from the network

  void markUp() {
    isUp = true;
  }

  void arrive(byte[] bytes, long sentUs, Runnable onRead) {
    if (!isOpen) {
      network.carryReset(this); // as a system answers for a socket that it no longer has
    } else if (!isReset) {
      received.addLast(new Piece(bytes, sentUs, onRead));
      unreadBytes += bytes.length;
      owner.onReadable(this);
    }
  }

  void arriveEnd() {
    if (isOpen && !hasInputEnded && owner != null) {
      hasInputEnded = true;
      owner.onReadable(this);
    }
  }

  void arriveReset() {
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
