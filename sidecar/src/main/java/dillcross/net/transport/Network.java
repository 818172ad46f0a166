package dillcross.net.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * The network below the sidecar: in service sockets under Grizzly, in the emulator channels in
 * virtual time. One thread calls all of it and is called by it; {@link #wakeUp} alone may be called
 * from any. It decides nothing and sends nothing again by itself.
 */
public interface Network {
  /** Handles the events of one connection. */
  interface ConnectionHandler {
    /** There is something to read, or the end of it. */
    void onReadable();

    /** It was closed, by either side or by a failure; once, and only if it was connected. */
    void onClosed();
  }

  /** Takes incoming connections. */
  interface ConnectionAcceptor {
    /** A connection has come in; returns its handler. */
    ConnectionHandler onAccepted(TransportChannel channel);
  }

  /** Waits for an outgoing connection. */
  interface ConnectCallback {
    /** Called before it is connected, so that it can be given up; returns its handler. */
    ConnectionHandler onOpening(TransportChannel channel);

    /** It is connected. */
    void onConnected();

    /** It could not be connected. */
    void onConnectFailed();
  }

  /** A socket on which connections come in. */
  interface ListeningSocket {
    /** As a number and a port. */
    String address();

    /** Whether it has not been closed. */
    boolean isOpen();

    /** Sets whether connections are accepted; while they are not, they wait. */
    void setAccepting(boolean accepting) throws IOException;

    /**
     * Accepts what waits in its queue, which would be reset else, and closes it; called within an
     * iteration of the event loop.
     */
    void close();
  }

  /** What the event loop works for. */
  interface EventLoopTask {
    /** Ready events are about to be handled: the time to read the clock. */
    void beforeEvents();

    /** All ready events have been handled: the time to act, before the loop waits again. */
    void afterEvents();

    /** How long the loop may wait at the most when nothing becomes ready, in microseconds. */
    long maxWaitUs();
  }

  /** Handles datagrams. */
  interface DatagramHandler {
    /**
     * One has arrived; its bytes, up to the largest size asked for, are there in this call only.
     */
    void onDatagram(InetSocketAddress sender, ByteBuffer bytes);
  }

  /** A socket for datagrams; what can't be sent at once is lost. */
  interface DatagramTransport {
    /** As a number and a port. */
    String address();

    /** Sends one datagram. */
    void send(InetSocketAddress receiver, byte[] bytes);
  }

  /** Starts the event loop. */
  void start(EventLoopTask task) throws IOException;

  /** Has an iteration of the event loop made now. From any thread. */
  void wakeUp();

  /** Listens at an address. */
  ListeningSocket bind(InetSocketAddress address, ConnectionAcceptor acceptor) throws IOException;

  /** Listens on the socket that this process inherited. */
  ListeningSocket bindInherited(ConnectionAcceptor acceptor) throws IOException;

  /** Whether this process inherited a listening socket. */
  boolean hasInheritedSocket() throws IOException;

  /** Connects to an address. */
  void connect(InetSocketAddress address, ConnectCallback callback);

  /** Receives datagrams of up to {@code maxBytes} at an address. */
  DatagramTransport bindDatagrams(InetSocketAddress address, int maxBytes, DatagramHandler handler)
      throws IOException;
}
