package dillcross.net.client;

import dillcross.net.connection.Connection;
import dillcross.net.transport.Network;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * The connections of clients and their limit: whom to close for a new one, and when to stop
 * accepting. Belongs to the selector thread.
 */
public final class ClientConnections {
  /** At the limit: that a client has to come back with the next request. */
  static final long RECENT_US = 2_000_000;

  /** At the limit: that a new client has to send its first byte. */
  static final long FIRST_BYTE_US = 200_000;

  private static final long PARTIAL_REQUEST_US = 1_000_000; // at the limit: for all of its request
  private static final long LOG_INTERVAL_US = 10_000_000;
  private static final Logger LOG = Logger.getLogger(ClientConnections.class.getName());

  private final LongSupplier clock;
  private final int maxConnections;
  private final Set<Connection> connections = new LinkedHashSet<>(); // the longest idle first
  private Network.ListeningSocket listeningSocket; // null while there is none
  private boolean isAcceptPaused;
  private long loggedUs;

  /** No connections yet, at most {@code maxConnections}; {@code clock} gives microseconds. */
  public ClientConnections(LongSupplier clock, int maxConnections) {
    this.clock = clock;
    this.maxConnections = maxConnections;
  }

  /** The socket that stops accepting while the limit of connections is reached. */
  public void setListeningSocket(Network.ListeningSocket socket) {
    listeningSocket = socket;
  }

  /** Adds a new connection; at the limit another is closed for the next, or accepting stops. */
  void add(Connection connection) {
    connection.activity().markIdle(clock.getAsLong());
    connections.add(connection);
    if (connections.size() >= maxConnections && !closeOneExcept(connection)) {
      pauseAccepting(); // an accept would fail, and fail again, and spin
    }
  }

  void remove(Connection connection) {
    connections.remove(connection);
  }

  /** From now on it carries nothing: it goes to the end of those that wait to be closed. */
  void markIdle(Connection connection) {
    connection.activity().markIdle(clock.getAsLong());
    connections.remove(connection);
    connections.add(connection);
  }

  /**
   * Closes one with no open request: one that sent nothing, or half a request, and had the time to,
   * or that brought none of late; or else the one that brought at most one and none for the
   * longest. Who came back again and again comes last.
   */
  private boolean closeOneExcept(Connection newest) {
    Connection candidate = null;
    for (Connection connection : connections) {
      if (connection == newest || !isWithoutRequest(connection)) {
        continue;
      }
      if (clock.getAsLong() - connection.activity().idleSinceUs() > allowedIdleUs(connection)) {
        return closeIfIdle(connection);
      }
      boolean isBetter =
          candidate == null
              || (candidate.activity().requestCount() > 1
                  && connection.activity().requestCount() <= 1);
      candidate = isBetter ? connection : candidate;
    }
    return candidate != null && closeIfIdle(candidate);
  }

  private static boolean isWithoutRequest(Connection connection) {
    return connection.exchange() == null && connection.out().size() == 0 && connection.isOpen();
  }

  private static long allowedIdleUs(Connection connection) {
    if (connection.activity().requestCount() > 0) {
      return RECENT_US;
    }
    return connection.hasPartialMessage() ? PARTIAL_REQUEST_US : FIRST_BYTE_US;
  }

  /**
   * Closes what seems to carry nothing; but for a request that has arrived and is not read yet,
   * which would be lost. Whether it was closed.
   */
  static boolean closeIfIdle(Connection connection) {
    if (connection.hasUnreadInput()) {
      connection.scheduleRead();
      return false;
    }
    connection.close();
    return true;
  }

  /**
   * Whether a good part of the limit is used up: clients may have a limit of their own, and reach
   * it before we do.
   */
  boolean isCrowded() {
    return connections.size() > maxConnections * 3 / 8;
  }

  private void pauseAccepting() {
    if (!isAcceptPaused && isListening()) {
      isAcceptPaused = true;
      logLimit();
      setAccepting(false);
    }
  }

  /** Accepts again, as there may be space now. */
  void resumeAccepting() {
    if (isAcceptPaused && isListening()) {
      isAcceptPaused = false;
      setAccepting(true);
    }
  }

  private boolean isListening() {
    return listeningSocket != null && listeningSocket.isOpen();
  }

  private void setAccepting(boolean accepting) {
    try {
      listeningSocket.setAccepting(accepting);
    } catch (IOException closed) {
      isAcceptPaused = false;
    }
  }

  private void logLimit() {
    if (clock.getAsLong() - loggedUs > LOG_INTERVAL_US) { // not for each client of a crowd
      loggedUs = clock.getAsLong();
      LOG.warning("limit of client connections reached, all with open requests; new ones wait");
    }
  }

  /**
   * Where another process accepts from the socket too, what is in its queue is left to that one.
   */
  public void stopAccepting(boolean isShared) {
    if (listeningSocket == null) {
      return;
    }
    try {
      if (isShared) {
        listeningSocket.setAccepting(false);
      } else {
        listeningSocket.close();
      }
    } catch (IOException closed) {
      LOG.fine("listening socket was closed already");
    }
    listeningSocket = null; // nothing makes it accept again
  }

  /** Whether nothing more can arrive on any connection, and all responses are written. */
  public boolean areDrained() {
    return connections.stream()
        .allMatch(connection -> connection.isClosing() && connection.out().size() == 0);
  }

  /** All connections, as they are now. */
  List<Connection> snapshot() {
    return List.copyOf(connections);
  }
}
