package dillcross.net.discovery;

import dillcross.endpointlist.EndpointListParser;
import dillcross.endpointlist.MalformedEndpointListException;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.connection.Connection;
import dillcross.net.connection.ConnectionFactory;
import dillcross.net.connection.MessageHandler;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpRequest;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import dillcross.net.transport.Network;
import dillcross.sidecar.EndpointListUpdate;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Watches the endpoint list on a persistent connection. Its timeouts ensure that updates arrive
 * within the protocol's deadline, see {@link WatchTimings}; the load balancer draws the backoff
 * after a failure. Belongs to the selector thread.
 *
 * <p>A call that gets no response in time stays open beside the next one, and the first response
 * counts: discovery may be overloaded, and a repeated call would lose its place in discovery's
 * queue. The cost is up to two calls of each sidecar in that queue.
 *
 * <p>When discovery moves, the watch at the former address goes on until the new address has
 * answered, because the new address may be overloaded by a fleet that moves all at once. The cost
 * is that updates from a wrong former address are applied until then.
 *
 * <p>It has a memory budget of its own, so that the endpoint list can be read when clients and
 * endpoints have used up theirs.
 */
public final class DiscoveryClient implements MessageHandler {
  private static final int MAX_LIST_BYTES = 1 << 20;
  private static final int MAX_CALLS = 3; // newest, overdue, and one to the former address
  // Fits all calls, each with the longest list; a buffer may be twice as large as its content.
  private static final long BUDGET_BYTES = (MAX_CALLS + 1) * 2L * MAX_LIST_BYTES;
  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

  private final RequestCoordinator coordinator;
  private final LongSupplier clock;
  private final ConnectionFactory connectionFactory;
  private String address;
  private long connectTimeoutUs; // of later calls
  private Connection idleConnection; // kept open after a response; null while a call uses it
  private WatchCall newest; // the call that has not timed out; null if there is none
  private WatchCall overdue; // it timed out, but may still be answered; null if there is none
  private WatchCall former; // to the former address, until the new one answers; else null
  private boolean isFailing; // a failure was logged, and no list has arrived since
  private boolean isBehind = true; // no response yet since the start, a failure or a move

  /**
   * Creates a client of the discovery service at {@code address}, a numeric address and a port;
   * {@code clock} gives microseconds.
   */
  public DiscoveryClient(
      Network network, RequestCoordinator coordinator, LongSupplier clock, String address) {
    this.coordinator = coordinator;
    this.clock = clock;
    this.address = address;
    connectionFactory =
        new ConnectionFactory(
            network, this, MAX_LIST_BYTES, MAX_LIST_BYTES, new MemoryBudget(BUDGET_BYTES), clock);
  }

  /**
   * Sets the connect timeout of later calls, in microseconds; a longer timeout is cut to half of
   * {@link WatchTimings#OVERLAP_US}, the time after which the next call begins.
   */
  public void configure(long newConnectTimeoutUs) {
    connectTimeoutUs = Math.min(newConnectTimeoutUs, WatchTimings.OVERLAP_US / 2);
  }

  /** Begins a watch call, unless one is in progress. */
  public void watch(NetworkCommand.WatchEndpoints command) {
    if (newest != null) {
      return;
    }
    Connection idle = idleConnection;
    idleConnection = null;
    WatchCall call = new WatchCall(command.version(), clock.getAsLong() + connectTimeoutUs);
    newest = call;
    if (idle != null && idle.isReusable()) {
      call.useConnection(idle);
      send(call);
      return;
    }
    close(idle); // unsolicited bytes on it must not be read as the next response
    Optional<Connection> opening =
        connectionFactory.open(address, connection -> onConnected(call, connection));
    if (call.connection() == null) {
      call.useConnection(opening.orElse(null));
    }
  }

  private static void close(Connection connection) {
    if (connection != null) {
      connection.close();
    }
  }

  /** Handles the outcome of connecting; the connection of a call that has ended is closed. */
  private void onConnected(WatchCall call, Optional<Connection> connection) {
    if (call != newest && call != overdue) {
      connection.ifPresent(Connection::close);
    } else if (connection.isEmpty()) {
      fail(call, WatchFailure.CONNECT_FAILED);
    } else {
      call.useConnection(connection.get());
      send(call);
    }
  }

  /**
   * Moves to a new discovery address. A watch at the former address goes on until the new one has
   * answered; all other calls end.
   */
  public void moveTo(String newAddress) {
    boolean isWatching = !isBehind && newest != null && newest.isConnected();
    WatchCall watch = isWatching ? newest : former;
    if (watch == newest) {
      newest = null;
    }
    former = null;
    endAllExcept(null);
    former = watch;
    address = newAddress;
    isBehind = true;
  }

  /** Ends all calls and closes their connections, except {@code kept}, which becomes idle. */
  private void endAllExcept(Connection kept) {
    WatchCall[] calls = {newest, overdue, former};
    Connection idle = idleConnection;
    newest = null;
    overdue = null;
    former = null;
    idleConnection = kept;
    for (WatchCall call : calls) {
      if (call != null && call.connection() != kept) {
        close(call.connection());
      }
    }
    if (idle != kept) {
      close(idle);
    }
  }

  private void send(WatchCall call) {
    long nowUs = clock.getAsLong();
    if (isBehind) {
      long startedUs = call.nextCallUs() - connectTimeoutUs;
      call.setNextCallUs(Math.max(nowUs, startedUs + WatchTimings.OVERLAP_US));
    } else {
      call.setNextCallUs(nowUs + WatchTimings.WATCH_US + WatchTimings.GRACE_US);
    }
    sendRequest(call, isBehind ? WatchTimings.CATCH_UP_US : WatchTimings.WATCH_US);
  }

  private void sendRequest(WatchCall call, long waitUs) {
    String target = WatchRequestTarget.of(call.sinceVersion(), waitUs);
    call.connection().send(HttpRequest.get(target, Map.of(HeaderNames.HOST, address)));
  }

  /** Ends a call that failed. */
  private void fail(WatchCall call, WatchFailure failure) {
    Connection connection = call.releaseConnection();
    if (call == former) {
      former = null;
    } else if (call == overdue) {
      overdue = null; // the newest call has taken its place
    } else if (call == newest) {
      newest = null;
      reportFailure(failure);
    }
    close(connection);
  }

  /** Reports a failure, so that another call is made after a backoff. */
  private void reportFailure(WatchFailure failure) {
    isBehind = true;
    if (!isFailing) {
      isFailing = true;
      LOG.warning(
          () -> "endpoint list unavailable, keeping " + describeList() + ": " + failure.reason());
    }
    coordinator.onEndpointListFailure(clock.getAsLong(), failure.maxBackoffUs());
  }

  private String describeList() {
    return "version "
        + coordinator.endpointListVersion()
        + " with "
        + coordinator.endpointCount()
        + " endpoints";
  }

  private List<WatchCall> calls() {
    List<WatchCall> calls = new ArrayList<>(MAX_CALLS);
    for (WatchCall call : new WatchCall[] {newest, overdue, former}) {
      if (call != null) {
        calls.add(call);
      }
    }
    return calls;
  }

  private Optional<WatchCall> callOn(Connection connection) {
    return calls().stream().filter(call -> call.connection() == connection).findFirst();
  }

  @Override
  public void onMessage(Connection connection, HttpMessage message) {
    HttpResponse response = (HttpResponse) message;
    Optional<WatchCall> call = callOn(connection);
    Optional<EndpointListUpdate> update =
        call.isPresent() && response.status() == HttpStatus.OK
            ? parse(response.body())
            : Optional.empty();
    if (update.isEmpty()) {
      call.ifPresent(failed -> fail(failed, WatchFailure.REJECTED));
      connection.close();
    } else if (call.get() == former) {
      onFormerUpdate(connection, update.get());
    } else {
      onUpdate(response.keepsAlive() ? connection : null, update.get());
    }
  }

  private static Optional<EndpointListUpdate> parse(byte[] text) {
    try {
      return Optional.of(EndpointListParser.parse(text));
    } catch (MalformedEndpointListException malformed) {
      return Optional.empty();
    }
  }

  private void onFormerUpdate(Connection connection, EndpointListUpdate update) {
    former = new WatchCall(update.version(), Long.MAX_VALUE);
    former.useConnection(connection);
    sendRequest(former, WatchTimings.WATCH_US);
    coordinator.onFormerEndpointList(clock.getAsLong(), update.complete(), update.entries());
  }

  private void onUpdate(Connection kept, EndpointListUpdate update) {
    endAllExcept(kept);
    isBehind = false;
    coordinator.onEndpointList(
        clock.getAsLong(), update.version(), update.complete(), update.entries(), true);
    if (isFailing) {
      isFailing = false;
      LOG.info(() -> "endpoint list available again: " + describeList());
    }
  }

  @Override
  public void onMalformedMessage(Connection connection, int status) {
    if (status == HttpStatus.CONTENT_TOO_LARGE) {
      LOG.warning("endpoint list larger than " + MAX_LIST_BYTES + " bytes, keeping the last one");
    }
    callOn(connection).ifPresent(call -> fail(call, WatchFailure.MALFORMED_RESPONSE));
    connection.close();
  }

  @Override
  public void onClosed(Connection connection) {
    Optional<WatchCall> call = callOn(connection);
    if (idleConnection == connection) {
      idleConnection = null;
    }
    call.ifPresent(failed -> fail(failed, WatchFailure.CONNECTION_CLOSED));
    connection.releaseBuffers();
  }

  /**
   * Reads input from discovery that has arrived since this iteration of the event loop began, so
   * that a pending update is applied before an attempt is sent.
   */
  public void readPending() {
    for (WatchCall call : calls()) { // a response to one may end the others
      if (call.isConnected() && call.connection().isOpen()) {
        call.connection().onReadable();
      }
    }
  }

  /** When the newest call times out, in microseconds; {@code Long.MAX_VALUE} if there is none. */
  public long nextDueUs() {
    return newest == null ? Long.MAX_VALUE : newest.nextCallUs();
  }

  /**
   * Reports the newest call as failed once it has timed out. It stays open, and its response still
   * counts, unless the response to the overdue call before it is arriving: that one stays open
   * then, because a long list may take longer than several calls.
   */
  public void expire(long nowUs) {
    if (newest != null && nowUs >= newest.nextCallUs()) {
      WatchCall timedOut = newest;
      newest = null;
      timedOut.noteInput(nowUs);
      if (overdue != null && overdue.noteInput(nowUs)) {
        close(timedOut.connection());
      } else {
        Connection oldest = overdue == null ? null : overdue.connection();
        overdue = timedOut;
        close(oldest);
      }
      reportFailure(WatchFailure.TIMED_OUT);
    }
  }
}
