package dillcross.emulator.network;

import dillcross.net.transport.Network;
import java.util.ArrayDeque;

/**
 * A listening socket of a sidecar process. Connections stay in its backlog until the event loop of
 * the process accepts them.
 */
final class EmulatedListeningSocket implements Network.ListeningSocket, VirtualNetwork.Acceptor {
  private final EmulatedNetwork network;
  private final String address;
  private final Network.ConnectionAcceptor acceptor;
  private final ArrayDeque<EmulatedSocket> backlog = new ArrayDeque<>();
  private boolean isAccepting = true;
  private boolean isOpen = true;

  /** Creates a socket for {@code ip:port}; the caller registers it in the virtual network. */
  EmulatedListeningSocket(
      EmulatedNetwork network, String address, Network.ConnectionAcceptor acceptor) {
    this.network = network;
    this.address = address;
    this.acceptor = acceptor;
  }

  @Override
  public VirtualMachine host() {
    return network.host();
  }

  @Override
  public void onConnection(SocketEndpoint end) {
    EmulatedSocket socket = EmulatedSocket.arriving(network, this, end);
    backlog.add(socket);
    if (isAccepting) {
      network.markReady(socket);
    }
  }

  @Override
  public String address() {
    return address;
  }

  @Override
  public boolean isOpen() {
    return isOpen;
  }

  boolean isAccepting() {
    return isAccepting;
  }

  @Override
  public void setAccepting(boolean isNowAccepting) {
    isAccepting = isNowAccepting;
    if (isNowAccepting) {
      backlog.forEach(network::markReady);
    }
  }

  /** Removes a connection that is being accepted. */
  void removeFromBacklog(EmulatedSocket socket) {
    backlog.remove(socket);
  }

  Network.ConnectionAcceptor acceptor() {
    return acceptor;
  }

  @Override
  public void close() {
    while (isAccepting && !backlog.isEmpty()) {
      EmulatedSocket socket = backlog.poll();
      socket.accept();
      network.markReady(socket);
    }
    isOpen = false;
    network.stopListening(address);
    backlog.forEach(EmulatedSocket::refuse);
    backlog.clear();
  }
}
