package dillcross.emulator.network;

import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * One connection of a sidecar process. Events of the network only mark it as ready; {@link
 * #dispatch} then calls the handlers of the process, within an iteration of its event loop.
 */
final class EmulatedSocket implements TransportChannel, SocketEndpoint.Owner {
  private final EmulatedNetwork network;
  private SocketEndpoint end;
  private Network.ConnectionHandler handler; // null until accepted
  private Network.ConnectCallback connectCallback; // null when notified, or if incoming
  private EmulatedListeningSocket listeningSocket; // null once accepted, or if outgoing
  private WriteCallback writeCallback; // null unless a write is in progress
  private boolean isConnected;
  private boolean hasConnectFailed;
  private boolean isWriteDone;
  private boolean hasReadInterest = true;
  private boolean isReadScheduled;
  private boolean isClosed;

  private EmulatedSocket(EmulatedNetwork network) {
    this.network = network;
  }

  /** Creates the socket of an incoming connection, which the listening socket has to accept. */
  static EmulatedSocket arriving(
      EmulatedNetwork network, EmulatedListeningSocket listeningSocket, SocketEndpoint end) {
    EmulatedSocket socket = new EmulatedSocket(network);
    socket.end = end;
    socket.listeningSocket = listeningSocket;
    end.setOwner(socket);
    return socket;
  }

  /** Creates the socket of an outgoing connection and starts to connect to {@code ip:port}. */
  static EmulatedSocket connecting(
      EmulatedNetwork network, String address, Network.ConnectCallback callback) {
    EmulatedSocket socket = new EmulatedSocket(network);
    socket.connectCallback = callback;
    socket.end = network.connect(address, socket);
    socket.handler = callback.onOpening(socket);
    return socket;
  }

  /** Passes the connection, which was removed from the backlog, to the process. */
  void accept() {
    Network.ConnectionAcceptor acceptor = listeningSocket.acceptor();
    listeningSocket = null;
    handler = acceptor.onAccepted(this);
  }

  /** Resets a connection that the process has not accepted. */
  void refuse() {
    end.reset();
  }

  // ---- Events of the network

  @Override
  public void onConnected(SocketEndpoint same) {
    isConnected = true;
    network.markReady(this);
  }

  @Override
  public void onConnectFailed(SocketEndpoint same) {
    hasConnectFailed = true;
    network.markReady(this);
  }

  @Override
  public void onReadable(SocketEndpoint same) {
    boolean isReadReady = hasReadInterest && listeningSocket == null && connectCallback == null;
    boolean isAcceptReady = listeningSocket != null && listeningSocket.isAccepting();
    if (isReadReady || isAcceptReady) {
      network.markReady(this);
    }
  }

  @Override
  public void onWritten(SocketEndpoint same) {
    isWriteDone = true;
    network.markReady(this);
  }

  // ---- Dispatch to the process

  /** Calls the handlers of the process for everything that has become ready. */
  void dispatch() {
    if (isClosed || !dispatchAccept() || !dispatchConnect()) {
      return;
    }
    dispatchWrite();
    dispatchRead();
  }

  /**
   * Accepts the connection unless that has been done. Returns false if the connection has to stay
   * in the backlog because the listening socket is closed or does not accept at present.
   */
  private boolean dispatchAccept() {
    if (listeningSocket == null) {
      return true;
    }
    if (!listeningSocket.isAccepting() || !listeningSocket.isOpen()) {
      return false;
    }
    listeningSocket.removeFromBacklog(this);
    accept();
    return true;
  }

  /**
   * Calls the connect callback once the result of connecting is known. Returns false if the
   * connection is not established.
   */
  private boolean dispatchConnect() {
    if (connectCallback == null) {
      return true;
    }
    if (!hasConnectFailed && !isConnected) {
      return false;
    }
    Network.ConnectCallback callback = connectCallback;
    connectCallback = null;
    if (hasConnectFailed) {
      isClosed = true;
      callback.onConnectFailed();
      return false;
    }
    callback.onConnected();
    return true;
  }

  private void dispatchWrite() {
    if (!isWriteDone || isClosed) {
      return;
    }
    isWriteDone = false;
    WriteCallback callback = writeCallback;
    writeCallback = null;
    if (end.wasReset()) {
      callback.onWriteFailed();
    } else {
      callback.onWritten();
    }
  }

  private void dispatchRead() {
    boolean wasReadScheduled = isReadScheduled;
    isReadScheduled = false;
    if (!isClosed && (wasReadScheduled || (hasReadInterest && end.isReadable()))) {
      handler.onReadable();
    }
    if (!isClosed && hasReadInterest && end.isReadable()) {
      network.keepReady(this);
    }
  }

  // ---- Calls of the process

  @Override
  public int read(ByteBuffer into) throws IOException {
    if (isClosed) {
      throw new IOException("connection is closed");
    }
    int count = end.read(into);
    if (count == SocketEndpoint.RESET) {
      throw new IOException("Connection reset");
    }
    return count;
  }

  @Override
  public void write(ByteBuffer bytes, WriteCallback callback) {
    if (isClosed || end.wasReset()) {
      callback.onWriteFailed();
      return;
    }
    writeCallback = callback;
    if (!end.send(bytes)) {
      writeCallback = null;
      callback.onWritten();
    }
  }

  @Override
  public int bytesTaken() {
    return end.pendingBytesTaken();
  }

  @Override
  public void retryWrite() {
    // a write goes on as soon as the peer has read anything
  }

  @Override
  public void setReadInterest(boolean isInterested) {
    hasReadInterest = isInterested;
    if (isInterested && !isClosed && end.isReadable()) {
      network.markReady(this);
    }
  }

  @Override
  public void scheduleRead() {
    isReadScheduled = true;
    network.markReady(this);
  }

  @Override
  public void shutdownOutput() {
    end.shutdownOutput();
  }

  @Override
  public void resetOnClose() {
    end.resetOnClose();
  }

  @Override
  public boolean isOpen() {
    return !isClosed;
  }

  @Override
  public void close() {
    if (isClosed) {
      return;
    }
    isClosed = true;
    boolean isKnownToHandler = end.isEstablished() && connectCallback == null && handler != null;
    end.close();
    if (isKnownToHandler) {
      handler.onClosed();
    }
  }
}
