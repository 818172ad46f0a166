package dillcross.net.grizzly;

import dillcross.net.transport.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Logger;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** A listening socket of Grizzly. Belongs to the selector thread once it was created. */
final class GrizzlyListeningSocket implements Network.ListeningSocket {
  // The most connections that are accepted in one iteration, because requests wait meanwhile.
  private static final int MAX_ACCEPTS_PER_ITERATION = 128;
  private static final Logger LOG = Logger.getLogger(GrizzlyListeningSocket.class.getName());

  private final TCPNIOServerConnection server;
  private final AcceptCounter counter;
  private boolean isAccepting = true;
  private long acceptedBefore; // by the end of the last iteration

  GrizzlyListeningSocket(TCPNIOServerConnection server, AcceptCounter counter) {
    this.server = server;
    this.counter = counter;
  }

  @Override
  public String address() {
    InetSocketAddress own = (InetSocketAddress) server.getLocalAddress();
    return own.getAddress().getHostAddress() + ":" + own.getPort();
  }

  @Override
  public boolean isOpen() {
    return server.isOpen();
  }

  @Override
  public void setAccepting(boolean accepting) throws IOException {
    isAccepting = accepting;
    if (accepting) {
      server.enableIOEvent(IOEvent.SERVER_ACCEPT);
    } else {
      server.disableIOEvent(IOEvent.SERVER_ACCEPT);
    }
  }

  /**
   * Accepts the connections that wait in the backlog if this iteration has accepted one, because
   * Grizzly accepts one for each event. Called once in each iteration, after its events.
   */
  void acceptRest() {
    if (counter.accepted() == acceptedBefore) {
      return;
    }
    try {
      acceptWaiting(MAX_ACCEPTS_PER_ITERATION);
    } catch (IOException e) {
      LOG.fine(() -> "connection not accepted: " + e); // the next event tries it again
    }
    acceptedBefore = counter.accepted();
  }

  @Override
  public void close() {
    try {
      acceptWaiting(Integer.MAX_VALUE);
    } catch (IOException e) {
      LOG.warning("connections in the backlog are reset, because accepting them failed: " + e);
    }
    isAccepting = false;
    server.closeSilently();
  }

  private void acceptWaiting(int maxCount) throws IOException {
    int count = 0;
    while (isAccepting && count < maxCount && acceptOne()) {
      count++;
    }
  }

  /** Accepts a connection; returns whether one was waiting. */
  private boolean acceptOne() throws IOException {
    long before = counter.accepted();
    server.onAccept();
    return counter.accepted() != before;
  }
}
