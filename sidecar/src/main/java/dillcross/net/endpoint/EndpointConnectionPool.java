package dillcross.net.endpoint;

import dillcross.net.connection.Connection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** The connections to endpoints, idle or in use. Belongs to the selector thread. */
public final class EndpointConnectionPool {
  // How long a connection is not reused after a response: a second, unsolicited response would
  // otherwise be taken for the response to the next request. The cost is one or two more
  // connections to each busy endpoint.
  private static final long CONNECTION_QUARANTINE_US = 8_000;

  private final LongSupplier clock;
  private final int maxConnections;
  private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
  private final Set<Connection> connections = new LinkedHashSet<>(); // open or opening
  // The idle connections that a connection joined last; it may have been taken from them since.
  private final Map<Connection, Deque<Connection>> lastJoined = new HashMap<>();
  private long maxIdleUs; // how long a connection may be idle and still be reused

  /**
   * The idle connections to one endpoint. If another endpoint has the same address later, it gets
   * an object of its own.
   *
   * @param idle the most recently used connection is the last
   */
  record Endpoint(String address, ArrayDeque<Connection> idle) {}

  /** Creates an empty pool for at most {@code maxConnections}; {@code clock} gives microseconds. */
  public EndpointConnectionPool(LongSupplier clock, int maxConnections) {
    this.clock = clock;
    this.maxConnections = maxConnections;
  }

  void setMaxIdle(long newMaxIdleUs) {
    maxIdleUs = newMaxIdleUs;
  }

  /**
   * Returns the endpoint with this id and address. If it had another address before, closes the
   * idle connections to that.
   */
  Endpoint endpoint(String id, String address) {
    Endpoint endpoint = endpoints.get(id);
    if (endpoint == null || !endpoint.address().equals(address)) {
      closeIdle(id);
      endpoint = new Endpoint(address, new ArrayDeque<>());
      endpoints.put(id, endpoint);
    }
    return endpoint;
  }

  /**
   * Whether the pool still has this very object for the endpoint: its connections were not closed
   * by {@link #closeIdle}, and its address has not changed.
   */
  @SuppressWarnings("ReferenceEquality") // an endpoint that is listed again may have an equal one
  boolean isCurrent(String id, Endpoint endpoint) {
    return endpoints.get(id) == endpoint;
  }

  /**
   * Takes an idle connection whose quarantine is over. Prefers the most recently used one, which is
   * the least likely to be dead.
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
   * Whether the connection has not been idle for too long and its socket is still open. The limit
   * on the idle time is below the endpoint's own idle timeout, because a request that crosses the
   * endpoint's close is lost.
   */
  private boolean isUsable(Connection connection) {
    boolean isFresh = clock.getAsLong() - connection.activity().idleSinceUs() < maxIdleUs;
    return isFresh && connection.isReusable();
  }

  /** Adds a connection that the next attempt can use to the idle ones. */
  void put(Endpoint endpoint, Connection connection) {
    connection.activity().markIdle(clock.getAsLong());
    endpoint.idle().addLast(connection);
    lastJoined.put(connection, endpoint.idle());
  }

  /**
   * Makes space for another connection, by closing an idle one if necessary; returns false if all
   * are in use.
   */
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

  /** Removes a connection from the pool that was closed, or that the caller is about to reset. */
  void remove(Connection connection) {
    connections.remove(connection);
    Deque<Connection> idle = lastJoined.remove(connection);
    if (idle != null) {
      idle.remove(connection);
    }
  }

  void close(Connection connection) {
    connections.remove(connection); // onClosed is not called for one that never connected
    connection.close();
  }

  /**
   * Closes the idle connections to an endpoint. Connections in use are closed when their attempts
   * end.
   */
  void closeIdle(String id) {
    Endpoint endpoint = endpoints.remove(id);
    if (endpoint != null) {
      while (!endpoint.idle().isEmpty()) {
        close(endpoint.idle().pollFirst());
      }
    }
  }

  /**
   * Closes the connections that have been idle since {@code sinceUs} or longer. Called when an
   * attempt to the endpoint is abandoned; {@code sinceUs} is the start of that attempt. If the
   * network to the endpoint has failed, its connections stay open although they are dead, and each
   * one that is used again costs another attempt. A connection that received a response after the
   * start of the attempt is kept, because it has worked since then.
   */
  void closeIdleSince(Endpoint endpoint, long sinceUs) {
    ArrayDeque<Connection> idle = endpoint.idle();
    while (!idle.isEmpty() && idle.peekFirst().activity().idleSinceUs() <= sinceUs) {
      close(idle.pollFirst());
    }
  }

  /** Closes the connections that have been idle for too long. */
  void closeExpired() {
    for (Endpoint endpoint : endpoints.values()) {
      ArrayDeque<Connection> idle = endpoint.idle();
      while (!idle.isEmpty() && !isUsable(idle.peekFirst())) {
        close(idle.pollFirst());
      }
    }
  }

  /** A copy of the set of connections that are open or opening. */
  List<Connection> snapshot() {
    return List.copyOf(connections);
  }

  long maxIdleUs() {
    return maxIdleUs;
  }
}
