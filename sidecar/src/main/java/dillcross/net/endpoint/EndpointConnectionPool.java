package dillcross.net.endpoint;

import dillcross.net.connection.Connection;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** All connections to endpoints, and which of them are idle. Belongs to the selector thread. */
public final class EndpointConnectionPool {
  // How long a connection rests after a response: a second, unsolicited response would otherwise
  // answer the next request. The price is a connection or two more for each busy endpoint.
  private static final long CONNECTION_QUARANTINE_US = 8_000;

  private final LongSupplier clock;
  private final int maxConnections;
  private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
  private final Set<Connection> connections = new LinkedHashSet<>(); // open or opening
  private long maxIdleUs;

  /**
   * The idle connections to one endpoint. Another endpoint at its address, later, has its own.
   *
   * @param idle the one that was used last comes last
   */
  record Endpoint(String address, ArrayDeque<Connection> idle) {}

  /** A pool of at most {@code maxConnections}; {@code clock} gives microseconds. */
  public EndpointConnectionPool(LongSupplier clock, int maxConnections) {
    this.clock = clock;
    this.maxConnections = maxConnections;
  }

  void setMaxIdle(long newMaxIdleUs) {
    maxIdleUs = newMaxIdleUs;
  }

  /** The endpoint at that address; what was idle at another address of it is closed. */
  Endpoint endpoint(String id, String address) {
    Endpoint endpoint = endpoints.get(id);
    if (endpoint == null || !endpoint.address().equals(address)) {
      closeIdle(id);
      endpoint = new Endpoint(address, new ArrayDeque<>());
      endpoints.put(id, endpoint);
    }
    return endpoint;
  }

  /** Whether the endpoint has not been closed or moved since it was asked for. */
  @SuppressWarnings("ReferenceEquality") // the very object: an endpoint that came back equals it
  boolean isCurrent(String id, Endpoint endpoint) {
    return endpoints.get(id) == endpoint;
  }

  /**
   * Takes an idle connection: the one used last, as it is the least likely to be dead, of those
   * whose quarantine is over.
   */
  Optional<Connection> take(Endpoint endpoint) {
    Iterator<Connection> newestFirst = endpoint.idle().descendingIterator();
    while (newestFirst.hasNext()) {
      Connection connection = newestFirst.next();
      if (!isUsable(connection)) {
        newestFirst.remove();
        close(connection);
      } else if (clock.getAsLong() - connection.activity().idleSinceUs()
          >= CONNECTION_QUARANTINE_US) {
        newestFirst.remove();
        return Optional.of(connection);
      }
    }
    return Optional.empty();
  }

  /**
   * Whether the connection is fresh enough and its socket is still good. Connections are closed
   * before the endpoint's own idle limit, because a request that crosses its close is lost.
   */
  private boolean isUsable(Connection connection) {
    boolean isFresh = clock.getAsLong() - connection.activity().idleSinceUs() < maxIdleUs;
    return isFresh && connection.isReusable();
  }

  /** Gives a connection back that the next attempt can use. */
  void put(Endpoint endpoint, Connection connection) {
    connection.activity().markIdle(clock.getAsLong());
    connection.joinPool(endpoint.idle());
  }

  /** Whether there is space for another connection, after closing an idle one if need be. */
  boolean makeSpace() {
    return connections.size() < maxConnections || closeOldestIdle();
  }

  private boolean closeOldestIdle() {
    for (Endpoint endpoint : endpoints.values()) {
      Connection connection = endpoint.idle().pollFirst();
      if (connection != null) {
        close(connection);
        return true;
      }
    }
    return false;
  }

  void add(Connection connection) {
    connections.add(connection);
  }

  /** The connection was closed, or is reset by its user. */
  void remove(Connection connection) {
    connections.remove(connection);
    connection.leavePool();
  }

  void close(Connection connection) {
    connections.remove(connection); // one that never came up is not reported as closed
    connection.close();
  }

  /** Closes what is idle to an endpoint; what is in use closes when it ends. */
  void closeIdle(String id) {
    Endpoint endpoint = endpoints.remove(id);
    if (endpoint != null) {
      while (!endpoint.idle().isEmpty()) {
        close(endpoint.idle().pollFirst());
      }
    }
  }

  /**
   * Closes what has been idle since {@code sinceUs} or longer. An endpoint that was cut off leaves
   * its connections open, silent and dead: when an attempt to it is abandoned, those on which
   * nothing arrived since it was sent are not used again, or each would cost another attempt.
   */
  void closeIdleSince(Endpoint endpoint, long sinceUs) {
    ArrayDeque<Connection> idle = endpoint.idle();
    while (!idle.isEmpty() && idle.peekFirst().activity().idleSinceUs() <= sinceUs) {
      close(idle.pollFirst());
    }
  }

  /** Closes what has been idle for too long. */
  void closeExpired() {
    for (Endpoint endpoint : endpoints.values()) {
      ArrayDeque<Connection> idle = endpoint.idle();
      while (!idle.isEmpty() && !isUsable(idle.peekFirst())) {
        close(idle.pollFirst());
      }
    }
  }

  /** Connections that are open or opening, as they are now. */
  List<Connection> snapshot() {
    return List.copyOf(connections);
  }

  long maxIdleUs() {
    return maxIdleUs;
  }
}
