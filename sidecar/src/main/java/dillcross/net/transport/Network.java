package dillcross.net.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * The network that the sidecar runs on: real sockets through Grizzly, or channels in virtual time
 * in the emulator. All callbacks run on one thread, the one of the event loop. Once the server has
 * started, only that thread calls methods; {@link #wakeUp} may be called from any. An
 * implementation makes no decisions about requests, and never sends anything again by itself.
 */
public interface Network {
  /** Handles the events of one connection. */
  interface ConnectionHandler {
    /** Bytes have arrived, or the end of the input has. */
    void onReadable();

    /**
     * The connection was closed, by either side or by a failure. Called once, and only if it had
     * been connected.
     */
    void onClosed();
  }

  /** Receives incoming connections. */
  interface ConnectionAcceptor {
    /** A connection was accepted; returns the handler of its events. */
    ConnectionHandler onAccepted(TransportChannel channel);
  }

  /** Receives the outcome of connecting to an address. */
  interface ConnectCallback {
    /**
     * The channel exists but is not connected yet; the receiver can give it up by closing it.
     * Returns the handler of its events.
     */
    ConnectionHandler onOpening(TransportChannel channel);

    /** The channel is connected. */
    void onConnected();

    /** The connect failed. */
    void onConnectFailed();
  }

  /**
   * A socket that accepts connections. All that wait in its backlog are accepted in one iteration
   * of the event loop, up to a limit that keeps the iteration short: a connection must not wait
   * until those before it have been served.
   */
  interface ListeningSocket {
    /** The local address: a numeric IP address and a port. */
    String address();

    /** Whether the socket has not been closed. */
    boolean isOpen();

    /** Sets whether connections are accepted. While they are not, new ones wait in the backlog. */
    void setAccepting(boolean accepting) throws IOException;

    /**
     * Closes the socket. If it is accepting, it first accepts the connections in its backlog,
     * because the close would reset them. Called within an iteration of the event loop.
     */
    void close();
  }

  /** The work that the event loop does in each iteration. */
  interface EventLoopTask {
    /** Called before the ready events are handled, to read the clock. */
    void beforeEvents();

    /**
     * Called after all ready events have been handled and before the loop waits again, to act on
     * them.
     */
    void afterEvents();

    /**
     * The longest time for which the loop may wait for events, in microseconds; the loop does not
     * wait if it is 0 or less.
     */
    long maxWaitUs();
  }

  /** Handles datagrams. */
  interface DatagramHandler {
    /**
     * A datagram has arrived. {@code bytes} holds as much of it as {@link #bindDatagrams} allows,
     * and is valid during this call only.
     */
    void onDatagram(InetSocketAddress sender, ByteBuffer bytes);
  }

  /** A socket for datagrams; a datagram that can't be sent at once is lost. */
  interface DatagramTransport {
    /** The local address: a numeric IP address and a port. */
    String address();

    /** Sends one datagram. */
    void send(InetSocketAddress receiver, byte[] bytes);
  }

  /** Starts the event loop. */
  void start(EventLoopTask task) throws IOException;

  /**
   * Ends the event loop's wait for events, so that it runs an iteration now. May be called from any
   * thread.
   */
  void wakeUp();

  /** Opens a listening socket at an address. */
  ListeningSocket bind(InetSocketAddress address, ConnectionAcceptor acceptor) throws IOException;

  /** Listens on the socket that this process inherited. */
  ListeningSocket bindInherited(ConnectionAcceptor acceptor) throws IOException;

  /** Whether this process inherited a listening socket. */
  boolean hasInheritedSocket() throws IOException;

  /** Begins to connect to an address; {@code callback} receives the outcome. */
  void connect(InetSocketAddress address, ConnectCallback callback);

  /**
   * Opens a datagram socket at an address. Datagrams that arrive are passed to {@code handler}, cut
   * off after {@code maxBytes}.
   */
  DatagramTransport bindDatagrams(InetSocketAddress address, int maxBytes, DatagramHandler handler)
      throws IOException;
}
