package dillcross.net.admin;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.connection.Connection;
import dillcross.net.connection.ConnectionActivity;
import dillcross.net.connection.MessageHandler;
import dillcross.net.events.RequestEvents;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.http.HttpRequest;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import dillcross.net.membership.MembershipService;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Serves operators' calls at an address of its own, one call on each connection. It has a memory
 * budget of its own too, so that it can be reached when clients use up theirs. When too many
 * callers are connected, the one that connected first is disconnected. Belongs to the selector
 * thread.
 */
public final class AdminEndpoint implements MessageHandler, Network.ConnectionAcceptor {
  private static final int MAX_CONNECTIONS = 8; // SidecarServer reserves descriptors for these
  // From the connect to the close, and longer while the caller goes on reading its answer.
  private static final long CALL_TIMEOUT_US = 5_000_000;
  private static final Logger LOG = Logger.getLogger(AdminEndpoint.class.getName());

  private final Lifecycle lifecycle;
  private final LongSupplier clock;
  private final RequestEvents events;
  private final MemoryBudget budget =
      new MemoryBudget((long) MAX_CONNECTIONS * HttpMessageParser.MAX_BUFFERED_BODY_BYTES);
  private final Set<Connection> connections = new LinkedHashSet<>(); // the oldest first
  private Optional<MembershipService> membership = Optional.empty();

  /**
   * Creates an admin endpoint that reports and controls {@code lifecycle}, and shows the counters
   * of {@code events}; {@code clock} gives microseconds.
   */
  public AdminEndpoint(Lifecycle lifecycle, LongSupplier clock, RequestEvents events) {
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.events = events;
  }

  /** Serves the membership's view of the fleet too; without a membership its path is not found. */
  public void setMembership(MembershipService service) {
    membership = Optional.of(service);
  }

  @Override
  public Network.ConnectionHandler onAccepted(TransportChannel channel) {
    int maxBytes = HttpMessageParser.MAX_BUFFERED_BODY_BYTES;
    Connection connection = new Connection(channel, this, true, maxBytes, maxBytes, budget, clock);
    connection.markConnected();
    connection.activity().markIdle(clock.getAsLong());
    connections.add(connection);
    if (connections.size() > MAX_CONNECTIONS) {
      connections.iterator().next().close();
    }
    return connection;
  }

  @Override
  public void onClosed(Connection connection) {
    connections.remove(connection);
    connection.releaseBuffers();
  }

  @Override
  public void onMessage(Connection connection, HttpMessage message) {
    respond(connection, answer((HttpRequest) message));
  }

  @Override
  public void onMalformedMessage(Connection connection, int status) {
    respond(connection, HttpResponse.text(status, "malformed call"));
  }

  /**
   * Responds and closes. A caller that has ended its output gets a response too, because its call
   * has already taken effect.
   */
  private static void respond(Connection connection, HttpResponse response) {
    response.announceClose();
    connection.closeAfterNextMessage();
    connection.send(response);
  }

  private HttpResponse answer(HttpRequest call) {
    String path = call.path();
    Optional<String> method = methodOf(path);
    if (method.isEmpty()) {
      return HttpResponse.text(HttpStatus.NOT_FOUND, "unknown call");
    }
    if (!call.method().equals(method.get())) {
      return HttpResponse.methodNotAllowed(method.get());
    }
    return switch (path) {
      case AdminPaths.READY -> readiness();
      case AdminPaths.MEMBERS -> json(membership.orElseThrow().view());
      case AdminPaths.EVENTS -> json(events.toJson().getBytes(StandardCharsets.US_ASCII));
      case AdminPaths.DRAIN -> drain();
      default -> resume();
    };
  }

  private Optional<String> methodOf(String path) {
    return switch (path) {
      case AdminPaths.READY, AdminPaths.EVENTS -> Optional.of(HttpRequest.GET);
      case AdminPaths.MEMBERS -> membership.map(service -> HttpRequest.GET);
      case AdminPaths.DRAIN, AdminPaths.RESUME -> Optional.of(HttpRequest.POST);
      default -> Optional.empty();
    };
  }

  private HttpResponse readiness() {
    return lifecycle.isReady()
        ? HttpResponse.text(HttpStatus.OK, "ready")
        : HttpResponse.text(HttpStatus.SERVICE_UNAVAILABLE, "not ready");
  }

  private static HttpResponse json(byte[] body) {
    Map<String, String> fields =
        new LinkedHashMap<>(Map.of(HeaderNames.CONTENT_TYPE, "application/json"));
    return HttpResponse.of(HttpStatus.OK, fields, body);
  }

  private HttpResponse drain() {
    lifecycle.drain(clock.getAsLong());
    LOG.info("draining: the health check fails, so that clients go to other sidecars");
    return HttpResponse.text(HttpStatus.OK, "draining");
  }

  private HttpResponse resume() {
    lifecycle.resume();
    LOG.info("resumed: the drain has ended");
    return HttpResponse.text(HttpStatus.OK, "resumed");
  }

  /** Closes connections that have been open for too long, unless the caller reads its answer. */
  public void expire(long nowUs) {
    for (Connection connection : List.copyOf(connections)) {
      connection.noteProgress(nowUs);
      ConnectionActivity activity = connection.activity();
      boolean isLate = nowUs - activity.idleSinceUs() > CALL_TIMEOUT_US;
      boolean hasOutput = connection.out().size() > 0;
      if (isLate && (!hasOutput || activity.outputStalledUs(nowUs) > CALL_TIMEOUT_US)) {
        connections.remove(connection);
        connection.close();
      }
    }
  }
}
