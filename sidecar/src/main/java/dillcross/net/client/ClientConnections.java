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
  /** At the limit: how long a client may wait before it sends the next request. */
  static final long RECENT_US = 2_000_000;

  /** At the limit: how long a new client may wait before it sends its first byte. */
  static final long FIRST_BYTE_US = 200_000;

  private static final long PARTIAL_REQUEST_US = 1_000_000; // at the limit: for all of its request
  private static final int HIGH_USE_NUMERATOR =
      3; // of the limit, from which idle timeouts are short
  private static final int HIGH_USE_DENOMINATOR = 8;
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

  /** Notes that the connection carries nothing from now on; it moves to the end of the order. */
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
      return RECENT_US;
    }
    return connection.hasPartialMessage() ? PARTIAL_REQUEST_US : FIRST_BYTE_US;
  }

  /**
   * Closes a connection unless a request has arrived that is not read yet and would be lost.
   * Returns whether it was closed.
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
   * Whether a large share of the limit is in use. Below the limit itself, because clients may have
   * a limit of their own and reach it earlier.
   */
  boolean isHighlyUsed() {
    return connections.size() > maxConnections * HIGH_USE_NUMERATOR / HIGH_USE_DENOMINATOR;
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
   * Stops accepting for good. A socket that another process accepts from too stays open, so that
   * what is in its queue is left to that process.
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
