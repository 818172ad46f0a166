package dillcross.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/** One connection as its connection sees it, below the rings. */
public interface Wire {
  /** Who waits for bytes to be taken over. */
  interface Sent {
    void sent();

    void broke();
  }

  /**
   * What has come, without waiting: how many bytes, 0 where there are none now, -1 at the end of
   * the other side's sending.
   */
  int read(ByteBuffer into) throws IOException;

  /**
   * Sends these bytes, which stay as they are until one of the two was told, at once or later; one
   * call at a time.
   */
  void write(ByteBuffer run, Sent done);

  /** Whether its ear is told of what can be read. */
  void tells(boolean now) throws IOException;

  /** Has its ear told once more, as what came before was left unread; not within this call. */
  void again() throws IOException;

  /** No more is sent; the other side reads to the end. */
  void endSending() throws IOException;

  /** From now on a close destroys what is still on its way. */
  void cuts() throws IOException;

  boolean isOpen();

  void close();
}
