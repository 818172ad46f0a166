package dillcross.net.client;

import dillcross.model.BalancerSettings;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.net.admin.AdminPaths;
import dillcross.net.admin.Lifecycle;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.connection.Connection;
import dillcross.net.connection.InboundRequest;
import dillcross.net.connection.MessageHandler;
import dillcross.net.events.RequestEvent;
import dillcross.net.events.RequestEvents;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.http.HttpRequest;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import dillcross.sidecar.IncomingRequest;
import dillcross.sidecar.RequestCoordinator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Accepts clients' connections, and reads and validates their requests. Belongs to the selector
 * thread.
 */
public final class ClientListener implements MessageHandler, Network.ConnectionAcceptor {
  // How long after a client was last known to be connected its request may be sent: half of the
  // time for which an attempt may follow a disconnect.
  private static final long MAX_UNSEEN_US = 50_000;
  private static final int MICROS_PER_MILLI = 1000;
  private static final String UNREADABLE_BODY = "malformed request, or no room for it";
  private static final String REPEATED_ID_BODY =
      HeaderNames.REQUEST_ID + " is that of a request that is open, or that may have run before";
  private static final String UNKNOWN_CLASS_BODY = "unknown category"; // the protocol's term

  private final RequestCoordinator coordinator;
  private final LongSupplier clock;
  private final Lifecycle lifecycle;
  private final long maxBody;
  private final MemoryBudget budget;
  private final RetryAfter retryAfter = new RetryAfter();
  private final MemoryRejection memoryRejection;
  private final RequestEvents events;
  private final ClientConnections connections;
  private final ClientExchanges exchanges;
  private final ClientReadScheduler reads;
  private final ClientResponder responder;
  private final ClientExpiry expiry;
  private Map<String, RequestClass> requestClasses = Map.of();
  private long maxTimeoutUs; // longer request timeouts are cut to this

  /**
   * A listener with no connections.
   *
   * @param maxBody the size of the largest request body that is allowed, in bytes
   */
  public ClientListener(
      RequestCoordinator coordinator,
      Lifecycle lifecycle,
      LongSupplier clock,
      ClientConnections connections,
      long maxBody,
      MemoryBudget budget,
      RequestEvents events) {
    this.coordinator = coordinator;
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.connections = connections;
    this.maxBody = maxBody;
    this.budget = budget;
    this.events = events;
    memoryRejection = new MemoryRejection(budget, retryAfter);
    exchanges = new ClientExchanges(clock, events);
    reads = new ClientReadScheduler(clock);
    responder = new ClientResponder(lifecycle, connections, exchanges, maxBody);
    expiry =
        new ClientExpiry(
            coordinator, lifecycle, connections, reads, exchanges, responder, retryAfter);
  }

  /** Shares the ids of requests that must not run twice with the other users of the table. */
  public void setRunIds(RequestIdTable table) {
    exchanges.setRunIds(table);
  }

  /** Sends clients of this listener their responses. */
  public ClientResponder responder() {
    return responder;
  }

  /**
   * Sets the request classes that are served from now on, and the longest request timeout in
   * microseconds. Open requests go on unchanged.
   */
  public void configure(BalancerSettings settings, long newMaxTimeoutUs) {
    Map<String, RequestClass> byName = new LinkedHashMap<>();
    settings.requestClasses().forEach(served -> byName.put(served.name(), served));
    requestClasses = byName;
    maxTimeoutUs = newMaxTimeoutUs;
    retryAfter.configure(settings.maxRetryAfterUs());
  }

  /**
   * Reads the input of a client that waits for its response, to see whether it has disconnected.
   * Returns whether it was connected a moment ago: while input is left unread, that is not known.
   */
  public boolean checkConnected(Caller caller) {
    Connection connection = caller.connection();
    // While a request body is relayed, the relay's reads show a disconnect.
    if (connection.isOpen() && !connection.relays().hasInbound()) {
      connection.onReadable();
    }
    long unreadSinceUs = connection.input().unreadSinceUs();
    return connection.isOpen()
        && (unreadSinceUs == 0 || clock.getAsLong() - unreadSinceUs <= MAX_UNSEEN_US);
  }

  // Connections

  @Override
  public Network.ConnectionHandler onAccepted(TransportChannel channel) {
    Connection connection =
        new Connection(
            channel, this, true, HttpMessageParser.MAX_BUFFERED_BODY_BYTES, maxBody, budget, clock);
    connection.markConnected();
    connections.add(connection);
    return reads.handlerOf(connection);
  }

  @Override
  public void onClosed(Connection connection) {
    connections.remove(connection);
    Optional<PendingRequest> pending = ClientExchanges.find(connection);
    if (pending.isPresent()) {
      exchanges.record(RequestEvent.CLIENT_DISCONNECTED, connection);
      exchanges.endUnserved(connection);
      coordinator.onClientDisconnected(clock.getAsLong(), pending.get().requestId());
    }
    connections.resumeAccepting();
    connection.releaseBuffers();
  }

  /** Whether large requests wait to be read, so that the event loop must not wait for events. */
  public boolean hasDeferredReads() {
    return reads.hasDeferred();
  }

  /** Reads some of the large requests that wait to be read; returns whether there was one. */
  public boolean readDeferred() {
    return reads.readDeferred();
  }

  // Requests

  @Override
  public void onMessage(Connection connection, HttpMessage message) {
    connection.activity().countRequest();
    HttpRequest request = (HttpRequest) message;
    if (request.path().equals(AdminPaths.HEALTH)) {
      boolean isHealthy = lifecycle.isHealthy();
      responder.respond(
          Caller.of(connection, request),
          HttpResponse.text(
              isHealthy ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE,
              isHealthy ? "ready" : "not ready"));
    } else if (connection.input().hasEnded()) {
      connection.close(); // a client that ends its output counts as disconnected
    } else {
      serve(connection, request);
    }
  }

  @Override
  public void onMalformedMessage(Connection connection, int status) {
    if (status == HttpStatus.SERVICE_UNAVAILABLE) {
      responder.rejectAndClose(connection, noMemory());
    } else {
      events.record(RequestEvent.REQUEST_INVALID, () -> "status=" + status);
      responder.rejectAndClose(connection, HttpResponse.text(status, UNREADABLE_BODY));
    }
  }

  /** The response to a request for which there is no memory. Nothing of it was forwarded. */
  private HttpResponse noMemory() {
    events.record(RequestEvent.REQUEST_WITHOUT_MEMORY, () -> "held=" + budget.taken());
    return memoryRejection.response(clock.getAsLong(), UNREADABLE_BODY);
  }

  @Override
  public void onBodyComplete(Connection connection) {
    ClientExchanges.find(connection)
        .ifPresent(pending -> coordinator.onBodyComplete(clock.getAsLong(), pending.requestId()));
  }

  @Override
  public void onBodyProgress(Connection connection, boolean mayHaveEnded) {
    ClientExchanges.find(connection)
        .ifPresent(
            pending ->
                coordinator.onBodyProgress(clock.getAsLong(), pending.requestId(), mayHaveEnded));
  }

  @Override
  public void onInputFull(Connection connection) {
    ClientExchanges.find(connection)
        .ifPresent(pending -> coordinator.onClientUnseen(clock.getAsLong(), pending.requestId()));
  }

  private void serve(Connection connection, HttpRequest request) {
    RequestClass requestClass = requestClasses.get(firstSegment(request.path()));
    if (requestClass == null) {
      recordInvalid(request, HttpStatus.NOT_FOUND);
      responder.rejectAndClose(
          connection, HttpResponse.text(HttpStatus.NOT_FOUND, UNKNOWN_CLASS_BODY));
      return;
    }
    Optional<HttpResponse> rejection = RequestValidator.check(request, requestClass);
    if (rejection.isPresent()) {
      recordInvalid(request, rejection.get().status());
      responder.rejectAndClose(connection, rejection.get());
    } else if (budget.isExhausted()) {
      responder.respond(Caller.of(connection, request), noMemory());
    } else if (exchanges.tryTakeId(
        request.field(HeaderNames.REQUEST_ID), isIdempotent(requestClass))) {
      accept(connection, request, requestClass);
    } else {
      recordInvalid(request, HttpStatus.BAD_REQUEST);
      responder.rejectAndClose(
          connection, HttpResponse.text(HttpStatus.BAD_REQUEST, REPEATED_ID_BODY));
    }
  }

  private static boolean isIdempotent(RequestClass requestClass) {
    return requestClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  private static String firstSegment(String path) {
    int end = path.indexOf('/', 1);
    return end < 0 ? path.substring(1) : path.substring(1, end);
  }

  private void accept(Connection connection, HttpRequest request, RequestClass requestClass) {
    String clientId = request.field(HeaderNames.REQUEST_ID);
    long requestedMs = Long.parseLong(request.field(HeaderNames.REQUEST_TIMEOUT));
    long requestedUs = Math.min(maxTimeoutUs, requestedMs * MICROS_PER_MILLI);
    long timeoutUs = lifecycle.limitTimeout(requestedUs, maxTimeoutUs, clock.getAsLong());
    InboundRequest inbound =
        new InboundRequest(request, connection, connection.parser().takeHold());
    IncomingRequest incoming =
        new IncomingRequest(
            Caller.of(connection, request),
            inbound,
            request.field(HeaderNames.TENANT),
            requestClass.name(),
            timeoutUs,
            HeaderNames.FLAG_SET.equals(request.field(HeaderNames.CLIENT_RETRY)),
            request.isStreaming());
    long requestId = coordinator.onRequest(clock.getAsLong(), incoming);
    ClientExchanges.begin(
        connection,
        new PendingRequest(
            requestId, clientId, isIdempotent(requestClass), inbound, clock.getAsLong()));
  }

  // Shutdown and expiry

  /** The number of requests that wait for their response. */
  public int openRequests() {
    return exchanges.size();
  }

  /**
   * Closes connections that have timed out, because slow clients would use up the limit of
   * connections: with a 408 response if a request has not arrived in time, and without one if the
   * client has sent nothing or does not read its response. A streamed body or a response may be
   * slow as long as bytes of it arrive or are taken.
   *
   * @param longestTimeoutUs the longest timeout that an open request may have
   */
  public void expire(long nowUs, long longestTimeoutUs) {
    expiry.expire(nowUs, longestTimeoutUs);
  }

  private void recordInvalid(HttpRequest request, int status) {
    events.record(
        RequestEvent.REQUEST_INVALID,
        () ->
            "status="
                + status
                + ", id="
                + request.field(HeaderNames.REQUEST_ID)
                + ", target="
                + request.target());
  }
}
