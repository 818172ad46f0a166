package dillcross.emulator.network;

import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * One connection of a sidecar process. Events of the network only mark it as ready; the process
 * learns of them in {@link #dispatch}, within an iteration of its event loop.
 */
final class EmulatedSocket implements TransportChannel, SocketEndpoint.Owner {
  private final EmulatedNetwork network;
  private SocketEndpoint end;
  private Network.ConnectionHandler handler;
  private Network.ConnectCallback connectCallback; // null once connected
  private EmulatedListeningSocket listeningSocket; // null once accepted
  private WriteCallback writeCallback; // null unless a write is in progress
  private boolean isUp;
  private boolean hasFailed;
  private boolean isWriteDone;
  private boolean hasReadInterest = true;
  private boolean isReadScheduled;
  private boolean isClosed;

  private EmulatedSocket(EmulatedNetwork network) {
    this.network = network;
  }

  /** A connection that waits in the backlog of a listening socket. */
  static EmulatedSocket arriving(
      EmulatedNetwork network, EmulatedListeningSocket listeningSocket, SocketEndpoint end) {
    EmulatedSocket socket = new EmulatedSocket(network);
    socket.end = end;
    socket.listeningSocket = listeningSocket;
    end.setOwner(socket);
    return socket;
  }

  /** A connection that the process asks for. */
  static EmulatedSocket connecting(
      EmulatedNetwork network, String address, Network.ConnectCallback callback) {
    EmulatedSocket socket = new EmulatedSocket(network);
    socket.connectCallback = callback;
    socket.end = network.connect(address, socket);
    socket.handler = callback.onOpening(socket);
    return socket;
  }

  /** Hands the connection, which has left the backlog, to the process. */
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
    isUp = true;
    network.markReady(this);
  }

  @Override
  public void onConnectFailed(SocketEndpoint same) {
    hasFailed = true;
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

  /** Tells the process what has become ready. */
  void dispatch() {
    if (isClosed || !dispatchAccept() || !dispatchConnect()) {
      return;
    }
    dispatchWrite();
    dispatchRead();
  }

  /** False if the connection still waits in the backlog. */
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

  /** False if the connection is not up. */
  private boolean dispatchConnect() {
    if (connectCallback == null) {
      return true;
    }
    if (!hasFailed && !isUp) {
      return false;
    }
    Network.ConnectCallback callback = connectCallback;
    connectCallback = null;
    if (hasFailed) {
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
      throw new IOException("closed");
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
    boolean isKnownToHandler = end.isUp() && connectCallback == null && handler != null;
    end.close();
    if (isKnownToHandler) {
      handler.onClosed();
    }
  }
}
