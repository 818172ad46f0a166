package dillcross.net;

import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * What the parts of this package stand on: in service sockets under Grizzly, in the emulator a wire
 * in virtual time. One thread calls all of it and is called by it, {@link #wake} alone may come
 * from any. It decides nothing and sends nothing again by itself.
 */
public interface Network {
  /** Who hears what becomes of a connection. */
  interface Ear {
    /** There is something to read, or the end of it. */
    void readable();

    /** It is closed, by either side or by a fault; once, and only for what was up. */
    void closed();
  }

  /** Who takes the connections that come in. */
  interface Taker {
    Ear accepted(Wire wire);
  }

  /** Who asked for a connection. */
  interface Asker {
    /** Before it is up, so that it can be given up. */
    Ear opening(Wire wire);

    void up();

    void failed();
  }

  /** A socket on which connections come in. */
  interface Entrance {
    /** As a number and a port. */
    String address();

    boolean isOpen();

    /** Whether connections are taken; while they are not, they wait. */
    void accepts(boolean now) throws IOException;

    /**
     * What waits in its queue is taken first, or it would be cut off with what it has sent; called
     * within a turn.
     */
    void close();
  }

  /**
   * One turn of the thread: it looks at the clock when what is ready was waited for, and works
   * before it waits again.
   */
  interface Turns {
    void look();

    void turn();

    /** How long it may wait at the most when nothing becomes ready. */
    long dueInUs();
  }

  void start(Turns turns) throws IOException;

  /** From any thread: has a turn made now. */
  void wake();

  /** At an address, or where that is null on the socket that this process inherited. */
  Entrance bind(InetSocketAddress at, Taker taker) throws IOException;

  /** Whether a listening socket was inherited. */
  boolean inherits() throws IOException;

  void connect(InetSocketAddress to, Asker asker);

  /** Who hears datagrams. */
  interface Hearer {
    /** Its bytes, up to those that were asked for; they are there during the call only. */
    void heard(InetSocketAddress from, java.nio.ByteBuffer bytes);
  }

  /** A socket for datagrams; what can't be sent at once is lost. */
  interface Datagrams {
    /** As a number and a port. */
    String address();

    void send(InetSocketAddress to, byte[] bytes);
  }

  /**
   * At an address, for datagrams of so many bytes at the most; the hearer is called within a turn's
   * gathering.
   */
  Datagrams datagrams(InetSocketAddress at, int most, Hearer hearer) throws IOException;
}
