package dillcross.emulator.network;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * One side of a connection: what has come and was not read, what was sent and not taken over.
 * Behaves as a TCP socket of a running system does, as far as a program above it can tell.
 */
public final class SocketEndpoint {
  /** Who is behind it; each call comes from an event of its own. */
  public interface Owner {
    /** The connection that was asked for is up. */
    default void up(SocketEndpoint end) {
      throw new IllegalStateException("it asked for nothing");
    }

    /** It can't be had. */
    default void failed(SocketEndpoint end) {
      // there is nobody, and nothing to do about it
    }

    /** There is something to read, or the end of it, or word of a reset. */
    void readable(SocketEndpoint end);

    /** All that was handed over is taken; who sends all at once never waits for it. */
    default void taken(SocketEndpoint end) {
      // it never waits
    }
  }

  private static final int WINDOW = 256 << 10; // bytes on their way, or come and not read

  private record Piece(byte[] bytes, long sentUs, Runnable read) {}

  final VirtualNetwork fabric;
  final VirtualMachine host;
  final long line; // the same at both sides
  final boolean requests; // this side connected
  SocketEndpoint peer;
  Owner owner;
  long events; // of its that were carried
  long lastArrivalUs; // what is sent later does not come earlier
  private final ArrayDeque<Piece> come = new ArrayDeque<>();
  private int taken; // bytes of the first of them that were read
  private long unread;
  private long lent; // bytes sent that the other side has not read
  private ByteBuffer waits; // handed over and not sent yet
  private boolean up;
  private boolean open = true;
  private boolean ended; // the other side's end has come
  private boolean reset; // word has come that the connection is no more
  private boolean endsSending;
  private boolean cuts;
  private boolean hard; // it was closed with a reset: its system sends nothing again
  private long firstSentUs; // of the bytes that were read last

  SocketEndpoint(VirtualNetwork fabric, VirtualMachine host, long line, boolean requests) {
    this.fabric = fabric;
    this.host = host;
    this.line = line;
    this.requests = requests;
  }

  /** Who hears from it from now on. */
  public void owner(Owner by) {
    owner = by;
  }

  public VirtualMachine host() {
    return host;
  }

  public VirtualMachine other() {
    return peer.host;
  }

  public boolean isOpen() {
    return open;
  }

  public boolean isUp() {
    return up;
  }

  public boolean wasReset() {
    return reset;
  }

  /** The other side has read nothing of what was sent last, so many bytes of it. */
  public boolean unreadByPeer(long bytes) {
    return lent >= bytes;
  }

  /** There is something that its owner can learn by reading. */
  public boolean hasNews() {
    return unread > 0 || ended || reset;
  }

  /** All that has come was read, and nothing more will. */
  public boolean over() {
    return reset || (ended && unread == 0);
  }

  /** When the first of the bytes was sent that the last read gave. */
  public long firstSentUs() {
    return firstSentUs;
  }

  /**
   * As a socket without waiting: a count, 0 for nothing now, -1 at the end, -2 where it was reset.
   */
  public int read(ByteBuffer into) {
    if (reset) {
      return -2;
    }
    int all = 0;
    for (Piece first; into.hasRemaining() && (first = come.peekFirst()) != null; ) {
      int count = Math.min(into.remaining(), first.bytes.length - taken);
      into.put(first.bytes, taken, count);
      firstSentUs = all == 0 ? first.sentUs : firstSentUs;
      taken += count;
      all += count;
      if (taken == first.bytes.length) {
        come.pollFirst();
        taken = 0;
        if (first.read != null) {
          first.read.run();
        }
      }
    }
    if (all > 0) {
      unread -= all;
      peer.gaveBack(all);
      return all;
    }
    return ended ? -1 : 0;
  }

  /** Everything that has come. */
  public byte[] readAll() {
    ByteBuffer into = ByteBuffer.allocate((int) unread);
    int got = read(into);
    return got > 0 ? into.array() : new byte[0];
  }

  private void gaveBack(long bytes) {
    lent -= bytes;
    if (waits != null) {
      fabric.after(
          this,
          host,
          peer.host,
          () -> {
            if (open && waits != null && !reset) {
              sendWaiting();
              if (waits == null) {
                owner.taken(this);
              }
            }
          });
    }
  }

  /** Hands bytes over; false where all of them are taken, true where its owner is told later. */
  public boolean send(ByteBuffer run) {
    waits = run;
    sendWaiting();
    return waits != null;
  }

  /**
   * Sends all of these, as one that never waits; {@code read} runs when the other side has read the
   * last of them.
   */
  public void send(byte[] bytes, Runnable read) {
    if (open && !reset && !endsSending) {
      lent += bytes.length;
      fabric.carry(this, bytes, read);
    }
  }

  private void sendWaiting() {
    int count = (int) Math.min(waits.remaining(), Math.max(0, WINDOW - lent));
    if (count > 0) {
      byte[] bytes = new byte[count];
      waits.get(bytes);
      lent += count;
      fabric.carry(this, bytes, null);
    }
    waits = waits.hasRemaining() ? waits : null;
  }

  public void endSending() {
    if (open && !endsSending) {
      endsSending = true;
      fabric.carryEnd(this);
    }
  }

  boolean sendsNoMore() {
    return hard;
  }

  public void cuts() {
    cuts = true;
  }

  /**
   * Closes it. Where something is unread here the other side hears the end, and then of a reset, as
   * with real sockets.
   */
  public void close() {
    boolean also = unread > 0 && !cuts && open;
    close(cuts);
    if (also) {
      fabric.soon(() -> fabric.carryReset(this)); // a channel is only closed with the next select
    }
  }

  /** Ends it with a reset. */
  public void breakOff() {
    close(true);
  }

  private void close(boolean hard) {
    if (open) {
      open = false;
      host.ends.remove(this);
      come.clear();
      waits = null;
      this.hard = hard;
      if (hard) {
        fabric.carryReset(this);
      } else if (!endsSending) {
        fabric.carryEnd(this);
      }
    }
  }

  /** The process behind it is no more, and the machine it ran on says nothing of it. */
  void vanish() {
    open = false;
    come.clear();
    waits = null;
  }

  // ---- What the fabric brings

  void isUpNow() {
    up = true;
  }

  void arrive(byte[] bytes, long sentUs, Runnable read) {
    if (!open) {
      fabric.carryReset(this); // as a system answers for a socket that it no longer has
    } else if (!reset) {
      come.addLast(new Piece(bytes, sentUs, read));
      unread += bytes.length;
      owner.readable(this);
    }
  }

  void arriveEnd() {
    if (open && !ended && owner != null) { // without one it was never accepted
      ended = true;
      owner.readable(this);
    }
  }

  void arriveReset() {
    if (open && !reset && owner != null) {
      reset = true;
      come.clear();
      unread = 0;
      owner.readable(this);
      if (waits != null) {
        waits = null;
        owner.taken(this);
      }
    }
  }
}
