package dillcross.net.endpoint;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.connection.BodyRelay;
import dillcross.net.connection.Connection;
import dillcross.net.connection.ConnectionActivity;
import dillcross.net.connection.ConnectionFactory;
import dillcross.net.connection.InboundRequest;
import dillcross.net.connection.InboundResponse;
import dillcross.net.connection.MessageHandler;
import dillcross.net.events.RequestEvent;
import dillcross.net.events.RequestEvents;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.http.HttpRequest;
import dillcross.net.http.HttpResponse;
import dillcross.net.transport.Network;
import dillcross.sidecar.AttemptResult;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.WriteProgress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Carries out attempts on connections to endpoints. It never sends a request again by itself: each
 * attempt is written at most once, and its end is reported once. Belongs to the selector thread.
 */
public final class AttemptExecutor implements MessageHandler {
  private static final long EXPIRY_INTERVAL_US = 1_000_000;
  private static final int MICROS_PER_MILLI = 1000;

  private final RequestCoordinator coordinator;
  private final LongSupplier clock;
  private final Predicate<Object> clientCheck; // called before an attempt is sent
  private final ConnectionFactory connectionFactory;
  private final EndpointConnectionPool pool;
  private final RequestEvents events;
  private final Map<AttemptId, InFlightAttempt> attempts = new HashMap<>();
  private final ArrayDeque<InFlightAttempt> connecting = new ArrayDeque<>(); // the oldest first
  private final ArrayDeque<InFlightAttempt> connected = new ArrayDeque<>(); // not sent yet
  private final CollectingAttempts collecting = new CollectingAttempts();
  private long connectTimeoutUs; // of connects that begin from now on
  private long lastExpiryUs; // when stalled and idle connections were last checked

  private record AttemptId(long requestId, int attempt) {
    static AttemptId of(InFlightAttempt attempt) {
      return new AttemptId(attempt.command().requestId(), attempt.command().attempt());
    }
  }

  /**
   * Creates an executor with no attempts.
   *
   * @param maxBody the size of the largest response body that is allowed, in bytes
   * @param clientCheck called before an attempt is sent, with the client of its request; reads
   *     input that has arrived from discovery and from that client, and returns whether the client
   *     was connected a moment ago
   */
  public AttemptExecutor(
      Network network,
      RequestCoordinator coordinator,
      LongSupplier clock,
      EndpointConnectionPool pool,
      long maxBody,
      MemoryBudget budget,
      Predicate<Object> clientCheck,
      RequestEvents events) {
    this.coordinator = coordinator;
    this.clock = clock;
    this.pool = pool;
    this.clientCheck = clientCheck;
    this.events = events;
    connectionFactory =
        new ConnectionFactory(
            network, this, HttpMessageParser.MAX_BUFFERED_BODY_BYTES, maxBody, budget, clock);
  }

  /**
   * Sets the timeout of connects that begin from now on, and the time for which a connection may be
   * idle, both in microseconds.
   */
  public void configure(long newConnectTimeoutUs, long maxIdleUs) {
    connectTimeoutUs = newConnectTimeoutUs;
    pool.setMaxIdle(maxIdleUs);
  }

  /** Begins an attempt. {@link #sendConnected} sends it once it has a connection. */
  public void start(NetworkCommand.SendAttempt command) {
    EndpointConnectionPool.Endpoint endpoint = pool.endpoint(command.endpoint(), command.address());
    InFlightAttempt attempt =
        new InFlightAttempt(command, endpoint, clock.getAsLong(), connectTimeoutUs);
    attempts.put(AttemptId.of(attempt), attempt);
    attempt.request().retain();
    Optional<Connection> idle = pool.take(endpoint);
    if (idle.isPresent()) {
      attempt.takeConnection(idle.get());
      connected.add(attempt);
    } else if (pool.makeSpace()) {
      connect(attempt);
    } else { // this sidecar's limit does not count against the endpoint
      end(attempt, AttemptResult.Kind.NOT_SENT, null);
    }
  }

  private void connect(InFlightAttempt attempt) {
    connecting.add(attempt);
    Optional<Connection> opening =
        connectionFactory.open(
            attempt.command().address(), connection -> onConnected(attempt, connection));
    if (opening.isPresent() && opening.get().isOpen()) {
      pool.add(opening.get());
      attempt.waitFor(opening.get());
    }
  }

  private void onConnected(InFlightAttempt attempt, Optional<Connection> connection) {
    if (connection.isEmpty()) {
      end(attempt, AttemptResult.Kind.CONNECTION_BROKEN, null);
    } else if (connecting.remove(attempt)) {
      attempt.takeConnection(connection.get());
      connected.add(attempt);
    } else { // the attempt was abandoned meanwhile
      pool.close(connection.get());
    }
  }

  /**
   * Sends the attempts that have a connection and are still permitted. Called last in an iteration
   * of the event loop, after all events and timers. Before each attempt, input from discovery and
   * from the client is read once more: an iteration takes long in a process that gets little CPU
   * time, and an update of the endpoint list or the client's disconnect may have arrived meanwhile.
   *
   * @return whether any attempt had a connection, so that the coordinator may have new commands
   */
  public boolean sendConnected() {
    boolean any = !connected.isEmpty();
    while (!connected.isEmpty()) {
      InFlightAttempt attempt = connected.poll();
      boolean isClientConnected =
          isInFlight(attempt) && clientCheck.test(attempt.command().client());
      if (isInFlight(attempt) && isClientConnected) {
        sendIfPermitted(attempt);
      } else if (isInFlight(attempt)) {
        coordinator.onClientUnseen(clock.getAsLong(), attempt.command().requestId());
        end(attempt, AttemptResult.Kind.NOT_SENT, null);
      }
    }
    return any;
  }

  private boolean isInFlight(InFlightAttempt attempt) {
    return attempts.get(AttemptId.of(attempt)) == attempt;
  }

  private void sendIfPermitted(InFlightAttempt attempt) {
    NetworkCommand.SendAttempt command = attempt.command();
    if (coordinator.maySend(clock.getAsLong(), command.requestId(), command.attempt())) {
      send(attempt);
    } else {
      end(attempt, AttemptResult.Kind.NOT_SENT, null);
    }
  }

  private void send(InFlightAttempt attempt) {
    Connection connection = attempt.connection();
    InboundRequest inbound = attempt.request();
    HttpRequest request = inbound.request();
    Map<String, String> fields = request.forwardedFields();
    long remainingUs = attempt.command().deadlineUs() - clock.getAsLong();
    long timeoutMs = Math.max(1, remainingUs / MICROS_PER_MILLI);
    fields.put(HeaderNames.REQUEST_TIMEOUT, String.valueOf(timeoutMs));
    byte[] forwarded = request.withFields(fields).encode();
    if (!connection.hasSpaceFor(
        forwarded.length)) { // this sidecar's limit, not the endpoint's failure
      end(attempt, AttemptResult.Kind.NOT_SENT, null);
      return;
    }
    attempt.markSent();
    inbound.markSent();
    connection.send(forwarded);
    if (request.isStreaming() && connection.isOpen()) {
      boolean chunked = request.remainingBytes() == HttpMessage.UNKNOWN;
      RequestBodyListener listener =
          new RequestBodyListener(attempt.command().requestId(), inbound.source());
      new BodyRelay(inbound.source(), connection, chunked, listener).start();
    }
  }

  /** Reports the progress of a request body that is streamed to an endpoint. */
  private final class RequestBodyListener implements BodyRelay.Listener {
    private final long requestId;
    private final Connection client;

    RequestBodyListener(long requestId, Connection client) {
      this.requestId = requestId;
      this.client = client;
    }

    @Override
    public void onBytesReleased() {
      coordinator.onBodyReleased(clock.getAsLong(), requestId);
    }

    @Override
    public void onFinished(boolean complete) {
      if (complete) {
        coordinator.onBodyComplete(clock.getAsLong(), requestId);
      } else {
        client.close(); // the client's request is malformed or cut off
      }
    }
  }

  /** Ends an attempt that the coordinator has withdrawn, unless it was sent. */
  public void withdraw(NetworkCommand.WithdrawAttempt command) {
    InFlightAttempt attempt = attempts.get(new AttemptId(command.requestId(), command.attempt()));
    if (attempt != null && !attempt.isSent()) {
      end(attempt, AttemptResult.Kind.NOT_SENT, null);
    }
  }

  /** Ends an attempt that the coordinator has abandoned. */
  public void abandon(NetworkCommand.AbandonAttempt command) {
    InFlightAttempt attempt = attempts.get(new AttemptId(command.requestId(), command.attempt()));
    if (attempt != null) {
      end(attempt, AttemptResult.Kind.ABANDONED, null);
      pool.closeIdleSince(attempt.endpoint(), attempt.startedUs());
    } else { // unknown here; without a report the coordinator would wait for its end forever
      coordinator.onAttemptEnded(
          clock.getAsLong(),
          command.requestId(),
          command.attempt(),
          new AttemptResult(AttemptResult.Kind.ABANDONED, WriteProgress.FULLY_WRITTEN, null));
    }
  }

  /**
   * Ends the attempt and reports its result. Its connection is kept for the next attempt if it can
   * be reused, and is closed otherwise.
   */
  private void end(InFlightAttempt attempt, AttemptResult.Kind kind, HttpResponse response) {
    if (!attempts.remove(AttemptId.of(attempt), attempt)) {
      return;
    }
    AttemptResult result = new AttemptResult(kind, attempt.progress(), response);
    boolean isWarmUp = attempt.command().client() == null;
    if (kind != AttemptResult.Kind.SUCCEEDED && !isWarmUp) {
      events.record(RequestEvent.ATTEMPT_ENDED, () -> attempt.describe(result, clock.getAsLong()));
    }
    if (attempt.isSent() && result.isNeverRun()) {
      attempt.request().markNotRun();
    }
    attempt.request().release();
    connecting.remove(attempt);
    if (attempt.connection() != null) {
      detach(attempt, kind, response);
    }
    NetworkCommand.SendAttempt command = attempt.command();
    coordinator.onAttemptEnded(clock.getAsLong(), command.requestId(), command.attempt(), result);
  }

  private void detach(InFlightAttempt attempt, AttemptResult.Kind kind, HttpResponse response) {
    Connection connection = attempt.connection();
    connection.endExchange();
    boolean isReusable = isReusable(connection, kind, response);
    connection.relays().detachAll();
    boolean isCurrent = pool.isCurrent(attempt.command().endpoint(), attempt.endpoint());
    if (isCurrent && isReusable) {
      pool.put(attempt.endpoint(), connection);
    } else if (kind == AttemptResult.Kind.ABANDONED && connection.isConnected()) {
      // The connection is reset, because the kernel would go on sending what was written after a
      // plain close. Once a failed network recovers, the endpoint could receive the request after
      // the client has its response.
      pool.remove(connection);
      connection.reset();
    } else {
      pool.close(connection);
    }
  }

  private static boolean isReusable(
      Connection connection, AttemptResult.Kind kind, HttpResponse response) {
    boolean isUnused = kind == AttemptResult.Kind.NOT_SENT && connection.isConnected();
    boolean isExchangeOver =
        response != null
            && response.keepsAlive()
            && connection.isFullyWritten()
            && connection.in().size() == 0
            && !connection.parser().isStreaming();
    return (isUnused || isExchangeOver) && !connection.input().hasEnded();
  }

  @Override
  public void onMessage(Connection connection, HttpMessage message) {
    InFlightAttempt attempt = (InFlightAttempt) connection.exchange();
    if (attempt == null || !attempt.isSent()) {
      pool.close(connection); // an unsolicited response
      return;
    }
    HttpResponse response = (HttpResponse) message;
    AttemptResult.Kind kind = ResponseKinds.of(response);
    if (!response.isStreaming() || kind != AttemptResult.Kind.SUCCEEDED) {
      end(attempt, kind, response);
      return;
    }
    InboundResponse streaming = new InboundResponse(response, connection);
    NetworkCommand.SendAttempt command = attempt.command();
    boolean isWanted =
        coordinator.onResponseStarted(
            clock.getAsLong(), command.requestId(), command.attempt(), streaming);
    if (isWanted) {
      attempt.startStreaming(streaming);
      connection.input().pauseIfFull();
    } else {
      end(attempt, AttemptResult.Kind.ERROR, null);
    }
  }

  @Override
  public void onBodyCollecting(Connection connection) {
    InFlightAttempt attempt = (InFlightAttempt) connection.exchange();
    if (attempt != null && attempt.isSent() && attempt.startCollecting()) {
      long deadlineUs = attempt.command().deadlineUs();
      collecting.add(attempt, coordinator.collectResponseUntilUs(clock.getAsLong(), deadlineUs));
    }
  }

  @Override
  public void onMalformedMessage(Connection connection, int status) {
    pool.close(connection);
  }

  /** Streams the rest of a response to a client. */
  public void relayResponse(InboundResponse response, Connection client, boolean chunked) {
    InFlightAttempt attempt = (InFlightAttempt) response.source().exchange();
    if (attempt == null || !attempt.isStreaming(response)) {
      return; // the attempt has ended meanwhile, and its end was reported
    }
    ResponseBodyListener listener = new ResponseBodyListener(attempt, response.response());
    new BodyRelay(response.source(), client, chunked, listener).start();
  }

  /** Ends the attempt whose response is streamed. */
  private final class ResponseBodyListener implements BodyRelay.Listener {
    private final InFlightAttempt attempt;
    private final HttpResponse response;

    ResponseBodyListener(InFlightAttempt attempt, HttpResponse response) {
      this.attempt = attempt;
      this.response = response;
    }

    @Override
    public void onBytesReleased() {
      // nothing to report: no other response can follow once this one has started
    }

    @Override
    public void onFinished(boolean complete) {
      AttemptResult.Kind kind =
          complete ? AttemptResult.Kind.SUCCEEDED : AttemptResult.Kind.CONNECTION_BROKEN;
      end(attempt, kind, response);
    }
  }

  @Override
  public void onClosed(Connection connection) {
    pool.remove(connection);
    InFlightAttempt attempt = (InFlightAttempt) connection.exchange();
    if (attempt != null) { // an idle connection that the endpoint closes has none
      end(attempt, AttemptResult.Kind.CONNECTION_BROKEN, null);
    }
    connection.releaseBuffers();
  }

  /** The number of attempts in flight. */
  public int inFlight() {
    return attempts.size();
  }

  /**
   * Closes the idle connections to the endpoint with this id. Connections in use are closed after
   * their attempts.
   */
  public void closeConnections(String endpoint) {
    pool.closeIdle(endpoint);
  }

  /**
   * When the next connect timeout or end of a collection is due, in microseconds; {@code
   * Long.MAX_VALUE} if none is.
   */
  public long nextDueUs() {
    long connectUs =
        connecting.isEmpty() ? Long.MAX_VALUE : connecting.peekFirst().connectDeadlineUs();
    return Math.min(connectUs, collecting.nextDueUs());
  }

  /**
   * Ends attempts that have not connected in time or whose responses have stalled, and closes
   * connections that have been idle for too long.
   */
  public void expire(long nowUs) {
    while (!connecting.isEmpty() && connecting.peekFirst().connectDeadlineUs() <= nowUs) {
      end(connecting.peekFirst(), AttemptResult.Kind.CONNECTION_BROKEN, null);
    }
    passOnCollected(nowUs);
    if (nowUs - lastExpiryUs > EXPIRY_INTERVAL_US) {
      lastExpiryUs = nowUs;
      pool.snapshot().forEach(connection -> endIfStalled(connection, nowUs));
      pool.closeExpired();
    }
  }

  /** Streams the responses that were collected for long enough. */
  private void passOnCollected(long nowUs) {
    Optional<InFlightAttempt> due = collecting.pollDue(nowUs);
    while (due.isPresent()) {
      if (isInFlight(due.get())) {
        due.get().connection().passOnCollected();
      }
      due = collecting.pollDue(nowUs);
    }
  }

  /** Ends an attempt whose streamed response has stalled, to free its connection. */
  private void endIfStalled(Connection connection, long nowUs) {
    connection.noteProgress(nowUs);
    ConnectionActivity activity = connection.activity();
    boolean isStalled =
        connection.parser().isStreaming()
            && !connection.input().isPaused()
            && !connection.relays().isInboundBehind()
            && activity.lastProgressUs() > 0
            && nowUs - activity.lastProgressUs() > pool.maxIdleUs();
    if (isStalled && connection.exchange() instanceof InFlightAttempt attempt) {
      end(attempt, AttemptResult.Kind.CONNECTION_BROKEN, null);
    }
  }
}
