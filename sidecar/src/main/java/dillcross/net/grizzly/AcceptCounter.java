package dillcross.net.grizzly;

import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;

/** Counts accepted connections: Grizzly does not tell whether it has accepted one. */
final class AcceptCounter implements Network.ConnectionAcceptor {
  private final Network.ConnectionAcceptor acceptor;
  private long accepted;

  AcceptCounter(Network.ConnectionAcceptor acceptor) {
    this.acceptor = acceptor;
  }

  @Override
  public Network.ConnectionHandler onAccepted(TransportChannel channel) {
    accepted++;
    return acceptor.onAccepted(channel);
  }

  /** The number of connections that were accepted. */
  long accepted() {
    return accepted;
  }
}
