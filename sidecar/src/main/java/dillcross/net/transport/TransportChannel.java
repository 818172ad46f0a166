package dillcross.net.transport;

import java.io.IOException;
import java.nio.ByteBuffer;

/** One byte stream of the network, below the buffers. */
public interface TransportChannel {
  /** Who waits for bytes to be taken over; one of its methods is called once for each write. */
  interface WriteCallback {
    /** The bytes were taken over. */
    void onWritten();

    /** The channel failed. */
    void onWriteFailed();
  }

  /**
   * Reads what has arrived, without waiting.
   *
   * @return how many bytes, 0 where there are none now, -1 at the end of the stream
   */
  int read(ByteBuffer into) throws IOException;

  /**
   * Writes these bytes, which stay as they are until the callback is called, at once or later; one
   * call at a time.
   */
  void write(ByteBuffer bytes, WriteCallback callback);

  /** Sets whether the handler is called when there is something to read. */
  void setReadInterest(boolean interested) throws IOException;

  /** Has the handler called once more, as something was left unread; not within this call. */
  void scheduleRead() throws IOException;

  /** Ends the output; the other side reads to the end. */
  void shutdownOutput() throws IOException;

  /** From now on a close resets the connection and destroys what is still on its way. */
  void resetOnClose() throws IOException;

  /** Whether it is connected or connecting. */
  boolean isOpen();

  /** Closes it; the handler's {@code onClosed} is called once. */
  void close();
}
