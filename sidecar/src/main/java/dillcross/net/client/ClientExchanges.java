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
  private RequestIdTable runIds; // ids of requests that must not run twice

  ClientExchanges(LongSupplier clock, RequestEvents events) {
    this.clock = clock;
    this.events = events;
    runIds = RequestIdTable.unshared(clock);
  }

  /** Keeps the ids of requests that must not run twice in this table from now on. */
  void setRunIds(RequestIdTable table) {
    runIds = table;
  }

  /**
   * Takes the id of a request, which {@link #begin} has to follow.
   *
   * @param isIdempotent whether the request may run twice
   * @return false if the id is that of a request that is open, or that must not run again
   */
  boolean tryTakeId(String clientId, boolean isIdempotent) {
    return !openIds.contains(clientId)
        && (isIdempotent || runIds.tryAdd(clientId))
        && openIds.add(clientId);
  }

  /** Begins the exchange of a request whose id was taken. */
  static void begin(Connection connection, PendingRequest pending) {
    connection.beginExchange(pending);
  }

  /** The request that waits for its response on a connection. */
  static Optional<PendingRequest> find(Connection connection) {
    return connection.exchange() instanceof PendingRequest pending
        ? Optional.of(pending)
        : Optional.empty();
  }

  /**
   * Ends the exchange of a connection, if there is one: its client has an answer that says that the
   * request succeeded, or that a retry is safe.
   */
  void end(Connection connection) {
    end(connection, false);
  }

  /**
   * Ends the exchange of a connection, if there is one, without such an answer. If the request may
   * have run, its id stays taken for a while: the client may send it again.
   */
  void endUnserved(Connection connection) {
    end(connection, true);
  }

  private void end(Connection connection, boolean isUnserved) {
    Optional<PendingRequest> pending = find(connection);
    if (pending.isPresent()) {
      PendingRequest ended = pending.get();
      openIds.remove(ended.clientId());
      if (!ended.isIdempotent() && !(isUnserved && ended.inbound().mayHaveRun())) {
        runIds.remove(ended.clientId());
      }
      ended.inbound().release();
    }
    connection.endExchange();
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
