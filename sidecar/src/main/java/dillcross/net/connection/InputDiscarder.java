package dillcross.net.connection;

import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads and discards the input of a connection that parses no more messages: a close with unread
 * input would reset the connection and destroy the last response. The amount is limited, so that a
 * large upload does not take the thread's time. Belongs to the selector thread.
 */
final class InputDiscarder {
  private static final int DEFAULT_MAX_BYTES = 1 << 20;
  private static final ByteBuffer DISCARDED =
      ByteBuffer.allocate(32 << 10); // shared by all connections, as nothing reads it

  private long maxBytes = DEFAULT_MAX_BYTES;
  private long discardedBytes;

  /** Sets how many bytes are discarded at most; 1 MiB until it is called. */
  void limitTo(long newMaxBytes) {
    maxBytes = newMaxBytes;
  }

  /**
   * Reads and discards what has arrived, up to 32 KiB.
   *
   * @return the number of bytes read; -1 at the end of the stream
   */
  int read(TransportChannel from) throws IOException {
    int readCount = from.read(DISCARDED.clear());
    discardedBytes += Math.max(0, readCount);
    return readCount;
  }

  /** Whether more bytes than the limit were discarded. */
  boolean isOverLimit() {
    return discardedBytes > maxBytes;
  }
}
