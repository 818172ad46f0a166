package dillcross.net.client;

import dillcross.net.connection.Connection;
import dillcross.net.events.RequestEvent;
import dillcross.net.events.RequestEvents;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** The requests that wait for their response, one a connection. Belongs to the selector thread. */
final class ClientExchanges {
  private final LongSupplier clock;
  private final RequestEvents events;
  private final Set<String> openIds = new HashSet<>(); // the clients' ids

  ClientExchanges(LongSupplier clock, RequestEvents events) {
    this.clock = clock;
    this.events = events;
  }

  /** Begins the exchange of a request that was accepted. */
  void begin(Connection connection, PendingRequest pending) {
    openIds.add(pending.clientId());
    connection.beginExchange(pending);
  }

  /** The request that waits for its response on a connection. */
  static Optional<PendingRequest> find(Connection connection) {
    return connection.exchange() instanceof PendingRequest pending
        ? Optional.of(pending)
        : Optional.empty();
  }

  /** Ends the exchange of a connection, if there is one: its client needs the request no more. */
  void end(Connection connection) {
    Optional<PendingRequest> pending = find(connection);
    if (pending.isPresent()) {
      openIds.remove(pending.get().clientId());
      pending.get().inbound().release();
    }
    connection.endExchange();
  }

  /** Whether a request with this id waits for its response. */
  boolean isOpen(String clientId) {
    return openIds.contains(clientId);
  }

  /** The number of requests that wait for their response. */
  int size() {
    return openIds.size();
  }

  /** Records an event of the request that waits on a connection, or of the connection. */
  void record(RequestEvent event, Connection connection) {
    events.record(event, () -> describe(connection));
  }

  private String describe(Connection connection) {
    return find(connection)
        .map(pending -> pending.describe(clock.getAsLong()))
        .orElseGet(
            () -> "unsent=" + connection.out().size() + ", unparsed=" + connection.in().size());
  }
}
