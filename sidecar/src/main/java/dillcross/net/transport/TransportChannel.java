package dillcross.net.transport;

import java.io.IOException;
import java.nio.ByteBuffer;

/** One byte stream to a peer, without buffering. */
public interface TransportChannel {
  /** Receives the outcome of a write: for each write, one of its methods is called once. */
  interface WriteCallback {
    /** All of the bytes were handed to the network. */
    void onWritten();

    /** The channel failed before all of the bytes were handed to the network. */
    void onWriteFailed();
  }

  /**
   * Reads what has arrived, without waiting.
   *
   * @return the number of bytes read; 0 if none have arrived, -1 at the end of the stream
   */
  int read(ByteBuffer into) throws IOException;

  /**
   * Writes the bytes. Until the callback is called, within this call or later, the caller must
   * neither change the bytes nor write again.
   */
  void write(ByteBuffer bytes, WriteCallback callback);

  /**
   * How many bytes of the unfinished write the network has taken over so far; 0 if no write is
   * unfinished.
   */
  int bytesTaken();

  /**
   * Schedules another try of the unfinished write, if there is one. Without it the write goes on
   * only when the network reports space, and a kernel does that only once about a third of its
   * buffer is free, although it would take fewer bytes before. Calls no callback within this call.
   */
  void retryWrite() throws IOException;

  /** Sets whether the connection's handler is called when bytes or the end of the input arrive. */
  void setReadInterest(boolean interested) throws IOException;

  /**
   * Schedules another call of the handler's {@code onReadable}, for input that was left
   * unprocessed. The call does not happen within this one. Has no effect while a call is scheduled:
   * a connection with much input would get more and more of the thread's time.
   */
  void scheduleRead() throws IOException;

  /**
   * Ends the output. The peer can still read all that was written, and then the end of the stream.
   */
  void shutdownOutput() throws IOException;

  /**
   * Makes {@link #close} reset the connection, which discards bytes that have not reached the peer
   * yet.
   */
  void resetOnClose() throws IOException;

  /** Whether the channel is connected or connecting. */
  boolean isOpen();

  /** Closes the channel; the handler's {@code onClosed} is called once if it had been connected. */
  void close();
}
