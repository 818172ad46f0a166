package dillcross.net.client;

import dillcross.model.BalancerSettings;
import dillcross.model.RequestClass;
import dillcross.net.admin.AdminPaths;
import dillcross.net.admin.Lifecycle;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.connection.Connection;
import dillcross.net.connection.ConnectionActivity;
import dillcross.net.connection.InboundRequest;
import dillcross.net.connection.MessageHandler;
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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Accepts clients' connections, reads and validates their requests, and sends them responses.
 * Belongs to the selector thread.
 */
public final class ClientListener implements MessageHandler, Network.ConnectionAcceptor {
  // How long the client has to read the last response and to close the connection.
  private static final long CLOSE_TIMEOUT_US = 500_000;
  // The longest silence: before the first byte of a connection, or within a request body.
  private static final long STALL_TIMEOUT_US = 2_000_000;
  private static final long HEAD_TIMEOUT_US = 2_500_000; // for the head of a request
  // The longest time for a complete request to arrive: enough for up to 64 KiB of body from a slow
  // client, and slack.
  private static final long BODY_TIMEOUT_US = 4_000_000;
  // The longest time without a request. Clients that send one request and stay connected would
  // accumulate otherwise.
  private static final long IDLE_TIMEOUT_US = 20_000_000;
  private static final long UNREAD_TIMEOUT_US = 20_000_000; // without the client reading a response
  private static final int MICROS_PER_MILLI = 1000;
  private static final String UNREADABLE_BODY = "malformed request, or no room for it";
  private static final String UNKNOWN_CLASS_BODY = "unknown category"; // the protocol's term

  private final RequestCoordinator coordinator;
  private final LongSupplier clock;
  private final Lifecycle lifecycle;
  private final long maxBody;
  private final MemoryBudget budget;
  private final MemoryRejection memoryRejection;
  private final ClientConnections connections;
  // The clients' ids of the requests that wait for their response.
  private final Set<String> openIds = new HashSet<>();
  private Map<String, RequestClass> requestClasses = Map.of();
  private long maxTimeoutUs; // longer request timeouts are cut to this

  /**
   * The receiver of a response: the connection on which the request arrived, and what of the
   * request decides how the response is written.
   *
   * @param isHttp10 whether the client uses HTTP/1.0
   * @param keepsAlive whether the client keeps the connection open
   */
  public record Caller(Connection connection, boolean isHttp10, boolean keepsAlive) {
    static Caller of(Connection connection, HttpRequest request) {
      return new Caller(connection, request.isHttp10(), request.keepsAlive());
    }
  }

  /**
   * A connection's exchange: the request that waits for its response, by the coordinator's id and
   * by the client's.
   */
  private record PendingRequest(long requestId, String clientId, InboundRequest inbound) {}

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
      MemoryBudget budget) {
    this.coordinator = coordinator;
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.connections = connections;
    this.maxBody = maxBody;
    this.budget = budget;
    memoryRejection = new MemoryRejection(budget);
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
    memoryRejection.configure(settings.maxRetryAfterUs());
  }

  /**
   * Reads the input of a client that waits for its response, to see whether it has disconnected.
   */
  public void readPending(Caller caller) {
    Connection connection = caller.connection();
    // While a request body is relayed, the relay's reads show a disconnect.
    if (connection.isOpen() && !connection.relays().hasInbound()) {
      connection.onReadable();
    }
  }

  // Connections

  @Override
  public Network.ConnectionHandler onAccepted(TransportChannel channel) {
    Connection connection =
        new Connection(
            channel, this, true, HttpMessageParser.MAX_BUFFERED_BODY_BYTES, maxBody, budget);
    connection.markConnected();
    connections.add(connection);
    return connection;
  }

  @Override
  public void onClosed(Connection connection) {
    connections.remove(connection);
    if (connection.exchange() instanceof PendingRequest pending) {
      endExchange(connection);
      coordinator.onClientDisconnected(clock.getAsLong(), pending.requestId());
    }
    connections.resumeAccepting();
    connection.releaseBuffers();
  }

  // Requests

  @Override
  public void onMessage(Connection connection, HttpMessage message) {
    connection.activity().countRequest();
    HttpRequest request = (HttpRequest) message;
    if (request.path().equals(AdminPaths.HEALTH)) {
      boolean isHealthy = lifecycle.isHealthy();
      respond(
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
      rejectAndClose(connection, noMemory());
    } else {
      rejectAndClose(connection, HttpResponse.text(status, UNREADABLE_BODY));
    }
  }

  /** The response to a request for which there is no memory. Nothing of it was forwarded. */
  private HttpResponse noMemory() {
    return memoryRejection.response(clock.getAsLong(), UNREADABLE_BODY);
  }

  @Override
  public void onBodyComplete(Connection connection) {
    if (connection.exchange() instanceof PendingRequest pending) {
      coordinator.onBodyComplete(clock.getAsLong(), pending.requestId());
    }
  }

  private void serve(Connection connection, HttpRequest request) {
    RequestClass requestClass = requestClasses.get(firstSegment(request.path()));
    if (requestClass == null) {
      rejectAndClose(connection, HttpResponse.text(HttpStatus.NOT_FOUND, UNKNOWN_CLASS_BODY));
      return;
    }
    Optional<HttpResponse> rejection = RequestValidator.check(request, requestClass, openIds);
    if (rejection.isPresent()) {
      rejectAndClose(connection, rejection.get());
    } else if (budget.isExhausted()) {
      respond(Caller.of(connection, request), noMemory());
    } else {
      accept(connection, request, requestClass);
    }
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
    openIds.add(clientId);
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
    connection.beginExchange(new PendingRequest(requestId, clientId, inbound));
  }

  /** Ends the exchange of a connection, if there is one: its client needs the request no more. */
  private void endExchange(Connection connection) {
    if (connection.exchange() instanceof PendingRequest pending) {
      openIds.remove(pending.clientId());
      pending.inbound().release();
    }
    connection.endExchange();
  }

  // Responses

  /** Sends a response to an invalid or late request, and closes the connection. */
  private void rejectAndClose(Connection connection, HttpResponse response) {
    connection.discardRest();
    connections.markIdle(connection);
    send(connection, response);
  }

  /** Sends a client its complete response. */
  public void respond(Caller caller, HttpResponse response) {
    Connection connection = caller.connection();
    endExchange(connection);
    connections.markIdle(connection);
    if (closesAfter(caller)) {
      connection.closeAfterNextMessage();
    }
    if (connection.parser().isStreaming()) {
      connection.discardRest(maxBody); // the request's body is still arriving
    }
    if (!connection.isClosing() && caller.isHttp10()) {
      response.fields().put(HeaderNames.CONNECTION, HeaderNames.CONNECTION_KEEP_ALIVE);
    }
    send(connection, response);
    continueReading(connection);
  }

  /**
   * Whether the connection closes after its response. While connections are scarce, a connection
   * with a single request so far closes too. The response announces the close, so that the client
   * does not send another request at the same moment.
   */
  private boolean closesAfter(Caller caller) {
    Connection connection = caller.connection();
    boolean isLeastUsed = connections.areScarce() && connection.activity().requestCount() <= 1;
    return lifecycle.closesConnections()
        || !caller.keepsAlive()
        || isLeastUsed
        || connection.input().hasOverrun();
  }

  private void continueReading(Connection connection) {
    connections.resumeAccepting();
    if (!connection.isClosing()) {
      connection.input().resume();
      if (connection.in().size() > 0) {
        connection.input().schedule();
      }
    }
  }

  /**
   * Sends the head and the first bytes of a response whose body is streamed; returns whether the
   * rest has to be written in chunks.
   */
  public boolean startStreaming(Caller caller, HttpResponse response) {
    HttpResponse head = response.forwarded(caller.isHttp10());
    Connection connection = caller.connection();
    boolean untilClose = head.remainingBytes() == HttpMessage.UNTIL_CLOSE;
    connection.beginResponse(untilClose || closesAfter(caller));
    if (connection.closesAfterResponse()) {
      head.announceClose();
    }
    connection.send(head);
    return head.remainingBytes() == HttpMessage.UNKNOWN;
  }

  /**
   * Ends a streamed response. If it broke off, closes the connection in a way that shows the client
   * that the response is truncated.
   */
  public void finishStreaming(Caller caller, boolean complete) {
    Connection connection = caller.connection();
    endExchange(connection);
    connections.markIdle(connection);
    if (!complete && connection.closesAfterResponse() && caller.isHttp10()) {
      connection.reset();
    } else if (!complete || connection.closesAfterResponse()) {
      connection.closeAfterOutput();
    }
    continueReading(connection);
  }

  private static void send(Connection connection, HttpResponse response) {
    if (connection.isClosing()) {
      response.announceClose();
    }
    connection.send(response);
  }

  // Shutdown and expiry

  /** The number of requests that wait for their response. */
  public int openRequests() {
    return openIds.size();
  }

  /**
   * Closes connections that have timed out, because slow clients would use up the limit of
   * connections: with a 408 response if a request has not arrived in time, and without one if the
   * client has sent nothing or does not read its response. A streamed body or a response may be
   * slow as long as bytes of it arrive or are taken.
   */
  public void expire(long nowUs) {
    for (Connection connection : connections.snapshot()) {
      connection.noteProgress(nowUs);
      if (connection.activity().outputStalledUs(nowUs) > UNREAD_TIMEOUT_US) {
        connection.close(); // the client does not read the response
      } else if (connection.isClosing()) {
        expireClosing(connection, nowUs);
      } else if (connection.exchange() instanceof PendingRequest pending) {
        expireBody(connection, pending, nowUs);
      } else {
        expireIdle(connection, nowUs);
      }
    }
  }

  private static void expireClosing(Connection connection, long nowUs) {
    ConnectionActivity activity = connection.activity();
    long lastUs = Math.max(activity.lastProgressUs(), activity.idleSinceUs());
    if (connection.out().size() == 0 && nowUs - lastUs > CLOSE_TIMEOUT_US) {
      connection.close();
    }
  }

  /** Ends an exchange whose large request body has stalled. */
  private void expireBody(Connection connection, PendingRequest pending, long nowUs) {
    if (!connection.parser().isStreaming()) {
      return;
    }
    ConnectionActivity activity = connection.activity();
    long silentUs = nowUs - Math.max(activity.lastInputUs(), activity.idleSinceUs());
    long stalledUs = Math.min(silentUs, connection.relays().inboundStalledUs(nowUs));
    if (!waitsForEndpoint(connection) && silentUs > STALL_TIMEOUT_US) {
      endExchange(connection);
      coordinator.onClientDisconnected(nowUs, pending.requestId());
      rejectAndClose(
          connection, HttpResponse.text(HttpStatus.REQUEST_TIMEOUT, "the request stopped coming"));
    } else if (stalledUs > Math.max(STALL_TIMEOUT_US, maxTimeoutUs)) {
      coordinator.onBodyStalled(pending.requestId());
    }
  }

  /** Whether a request body goes on only when an endpoint takes what has arrived of it. */
  private static boolean waitsForEndpoint(Connection connection) {
    return connection.input().isPaused()
        || connection.relays().isInboundBehind()
        || connection.parser().hasRestArrived(connection.in());
  }

  private void expireIdle(Connection connection, long nowUs) {
    // A request that waits because the client reads too slowly does not arrive too late.
    boolean hasPartial = connection.hasPartialMessage() && !connection.isOutputBehind();
    boolean hasOutput = connection.out().size() > 0;
    boolean isSilent = connection.exchange() == null && !hasPartial && !hasOutput;
    if (isSilent && connection.activity().requestCount() > 0) {
      connection.activity().clearPartialMessage();
      if (isIdleTooLong(connection.activity(), nowUs)) {
        ClientConnections.closeIfIdle(connection);
      }
    } else if (hasPartial || !hasOutput) {
      expirePartial(connection, nowUs, isSilent);
    }
  }

  private boolean isIdleTooLong(ConnectionActivity activity, long nowUs) {
    if (lifecycle.closesIdleConnections(nowUs)) {
      return nowUs > activity.idleSinceUs();
    }
    return connections.areScarce()
        ? nowUs - activity.idleSinceUs() > ClientConnections.SHORT_IDLE_TIMEOUT_US
        : nowUs - activity.idleSinceReadUs() > IDLE_TIMEOUT_US;
  }

  private void expirePartial(Connection connection, long nowUs, boolean isSilent) {
    connection.activity().startPartialMessage(nowUs);
    boolean isLate = isRequestLate(connection, nowUs, isSilent);
    boolean isUnwanted =
        lifecycle.closesIdleConnections(nowUs)
            && nowUs - connection.activity().idleSinceUs()
                > ClientConnections.FIRST_BYTE_TIMEOUT_US;
    if (isSilent && (isLate || isUnwanted)) {
      ClientConnections.closeIfIdle(connection);
    } else if (isLate) {
      rejectAndClose(
          connection,
          HttpResponse.text(HttpStatus.REQUEST_TIMEOUT, "the request did not come whole in time"));
    }
  }

  private static boolean isRequestLate(Connection connection, long nowUs, boolean isSilent) {
    ConnectionActivity activity = connection.activity();
    long elapsedUs = nowUs - activity.partialSinceUs();
    if (connection.parser().isInMessage()) {
      long lastUs = Math.max(activity.lastInputUs(), activity.partialSinceUs());
      return elapsedUs > BODY_TIMEOUT_US || nowUs - lastUs > STALL_TIMEOUT_US;
    }
    return elapsedUs > (isSilent ? STALL_TIMEOUT_US : HEAD_TIMEOUT_US);
  }
}
