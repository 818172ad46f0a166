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
 * The connections of clients, and the limit on their number: decides which connection to close for
 * a new one, and when to stop accepting. Belongs to the selector thread.
 */
public final class ClientConnections {
  /**
   * How long a connection may be idle between two requests while connections are scarce; at the
   * limit of connections, those that have been idle for longer are closed first.
   */
  static final long SHORT_IDLE_TIMEOUT_US = 2_000_000;

  /**
   * How long a new connection may be open without a byte. A connection that exceeds this time is
   * closed first at the limit of connections, and is closed by a drain or shutdown.
   */
  static final long FIRST_BYTE_TIMEOUT_US = 200_000;

  // How long a client that was answered while it was sending has to read the answer.
  private static final long LINGER_US = 1_000_000;
  // How long the first request of a connection may be incomplete, counted from the connect. A
  // connection that exceeds this time is closed first at the limit of connections.
  private static final long PARTIAL_REQUEST_TIMEOUT_US = 1_000_000;
  // Connections count as scarce above 3/8 of maxConnections.
  private static final int SCARCE_NUMERATOR = 3;
  private static final int SCARCE_DENOMINATOR = 8;
  private static final long LOG_INTERVAL_US = 10_000_000;
  private static final Logger LOG = Logger.getLogger(ClientConnections.class.getName());

  private final LongSupplier clock;
  private final int maxConnections;
  private final Set<Connection> connections = new LinkedHashSet<>(); // the longest idle first
  private Network.ListeningSocket listeningSocket; // null before the start and after the stop
  private boolean isAcceptPaused; // because maxConnections is reached
  private long loggedUs; // when reaching maxConnections was last logged

  /** Creates an empty set of at most {@code maxConnections}; {@code clock} gives microseconds. */
  public ClientConnections(LongSupplier clock, int maxConnections) {
    this.clock = clock;
    this.maxConnections = maxConnections;
  }

  /** Sets the socket that stops accepting while the limit of connections is reached. */
  public void setListeningSocket(Network.ListeningSocket socket) {
    listeningSocket = socket;
  }

  /**
   * Adds a new connection. If that reaches the limit, closes another one to have space for the
   * next, or stops accepting.
   */
  void add(Connection connection) {
    connection.activity().markIdle(clock.getAsLong());
    connections.add(connection);
    if (connections.size() >= maxConnections && !closeOneExcept(connection)) {
      pauseAccepting(); // else accepts would fail over and over in a busy loop
    }
  }

  void remove(Connection connection) {
    connections.remove(connection);
  }

  /** Records that the connection is idle from now on, and moves it to the end of the order. */
  void markIdle(Connection connection) {
    connection.activity().markIdle(clock.getAsLong());
    connections.remove(connection);
    connections.add(connection);
  }

  /**
   * Closes one connection without an open request. Prefers one that has been idle for longer than
   * {@link #allowedIdleUs}; then the longest idle one with at most one request so far; then the
   * longest idle of all. Returns whether one was closed.
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
      return SHORT_IDLE_TIMEOUT_US;
    }
    return connection.hasPartialMessage() ? PARTIAL_REQUEST_TIMEOUT_US : FIRST_BYTE_TIMEOUT_US;
  }

  /**
   * Closes a connection, unless unread input of a client that is connected has arrived: the close
   * would lose a request. Returns whether the connection was closed.
   */
  static boolean closeIfIdle(Connection connection) {
    if (connection.input().hasUnread() && !connection.input().hasEnded()) {
      connection.input().schedule();
      return false;
    }
    connection.close();
    return true;
  }

  /**
   * Whether connections are scarce. The threshold is far below {@code maxConnections}, because
   * clients may have a lower connection limit of their own.
   */
  boolean areScarce() {
    return connections.size() > maxConnections * SCARCE_NUMERATOR / SCARCE_DENOMINATOR;
  }

  private void pauseAccepting() {
    if (!isAcceptPaused && isListening()) {
      isAcceptPaused = true;
      logLimit();
      setAccepting(false);
    }
  }

  /**
   * Accepts connections again if the limit of connections had stopped that; called when a
   * connection may have become free.
   */
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
    if (clock.getAsLong() - loggedUs > LOG_INTERVAL_US) { // not once for every rejected client
      loggedUs = clock.getAsLong();
      LOG.warning(
          () ->
              "limit of "
                  + maxConnections
                  + " client connections reached, all with open requests; new ones wait");
    }
  }

  /**
   * Stops accepting for good.
   *
   * @param isShared whether another process accepts from the socket too; the socket then stays
   *     open, so that the connections in its backlog are left to that process
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
    listeningSocket = null; // so that accepting is not resumed
  }

  /**
   * Whether all connections parse no more requests, all responses are written, and clients that
   * were answered while they were sending had time to read the answer: the end of the process would
   * reset their connections.
   */
  public boolean areDrained() {
    return connections.stream().allMatch(this::isDrained);
  }

  private boolean isDrained(Connection connection) {
    if (!connection.isClosing() || connection.out().size() > 0) {
      return false;
    }
    long answeredForUs = clock.getAsLong() - connection.activity().idleSinceUs();
    return !connection.isDiscarding() || answeredForUs > LINGER_US;
  }

  /** A copy of the present connections, the longest idle first. */
  List<Connection> snapshot() {
    return List.copyOf(connections);
  }
}
