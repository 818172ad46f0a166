package dillcross.net.connection;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The output of one connection: a buffer, and the write that hands its bytes to the channel. Bytes
 * stay in the buffer until their write has ended. Belongs to the selector thread.
 */
final class ConnectionOutput {
  private static final int MAX_BYTES = 2 * HttpMessageParser.MAX_BUFFERED_BODY_BYTES;
  // Unsent bytes behind which the next request waits; the rest of the buffer is for its response.
  private static final int MAX_UNSENT_BYTES = MAX_BYTES / 4;
  private static final long RETRY_INTERVAL_US = 100_000; // each try copies the unsent bytes

  private final TransportChannel channel;
  private final RingBuffer buffer;
  private boolean wasLastMessageDropped; // the buffer had no space for it
  private boolean isWriting; // the channel has not finished the last write
  private int bytesInWrite; // bytes of the unfinished write, which are still in the buffer
  private int countedBytes; // of the unfinished write, as progress
  private long lastRetryUs;

  ConnectionOutput(TransportChannel channel, MemoryBudget budget, MemoryUse use) {
    this.channel = channel;
    buffer = new RingBuffer(MAX_BYTES, budget, use);
  }

  /** The bytes that the network has not taken over yet. */
  RingBuffer buffer() {
    return buffer;
  }

  /** Adds and writes a message; returns false, and adds none of it, if there is no space for it. */
  boolean send(byte[] message, TransportChannel.WriteCallback callback) {
    wasLastMessageDropped = !buffer.add(message);
    if (!wasLastMessageDropped) {
      flush(callback);
    }
    return !wasLastMessageDropped;
  }

  /**
   * Writes the buffer to the channel, unless a write is in progress; the channel queues what the
   * socket has no space for.
   */
  void flush(TransportChannel.WriteCallback callback) {
    if (!isWriting && buffer.size() > 0) {
      ByteBuffer bytes = buffer.contiguous();
      bytesInWrite = bytes.remaining();
      isWriting = true;
      channel.write(bytes, callback);
    }
  }

  /**
   * Removes the bytes of the write that has ended; returns how many of them were not counted yet.
   */
  int finishWrite() {
    isWriting = false;
    buffer.skip(bytesInWrite);
    int uncounted = bytesInWrite - countedBytes;
    countedBytes = 0;
    return uncounted;
  }

  /**
   * Counts the bytes of the unfinished write that the network has taken over; returns how many of
   * them were not counted yet.
   */
  int countProgress() {
    int before = countedBytes;
    countedBytes = isWriting ? channel.bytesTaken() : 0;
    return countedBytes - before;
  }

  /** Tries the unfinished write again, if there is one and the last try is not too recent. */
  void retryWrite(long nowUs) throws IOException {
    if (isWriting && nowUs - lastRetryUs >= RETRY_INTERVAL_US) {
      lastRetryUs = nowUs;
      channel.retryWrite();
    }
  }

  /** Whether nothing is left to be written. */
  boolean isIdle() {
    return buffer.size() == 0 && !isWriting;
  }

  /** Whether all of the last message was handed to the network. */
  boolean isFullyWritten() {
    return !wasLastMessageDropped && buffer.size() == 0;
  }

  /** Whether so much is unsent that there may be no space for another response. */
  boolean isBehind() {
    return buffer.size() > MAX_UNSENT_BYTES;
  }
}
