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
 * Watches the endpoint list on a connection that is kept open; {@link WatchTimings} says when. It
 * owns the deadline for updates; backoffs after a failure are drawn by the load balancer. On the
 * selector thread.
 *
 * <p>A call that has to wait may only be slow (discovery works through a fleet's calls in turn, and
 * who gives up goes to the end of the queue): so it is left open beside the next, and what answers
 * first counts. Costs where discovery is overloaded for longer: it then has two calls of each
 * sidecar.
 *
 * <p>When discovery moves, the watch at the address before goes on until the new one has answered:
 * a fleet that moves at once has to wait there. Costs where the old address is wrong: it is
 * believed for as long.
 */
public final class DiscoveryClient implements MessageHandler {
  private static final int MAX_LIST_BYTES = 1 << 20;
  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

  private final RequestCoordinator coordinator;
  private final LongSupplier clock;
  private final ConnectionFactory connectionFactory;
  private String address;
  private long connectTimeoutUs;
  private Connection idleConnection; // that brought the last response; null while a call uses it
  private WatchCall newest; // null while no call is out that is in time
  private WatchCall overdue; // had its time, and may still be answered
  private WatchCall former; // at the address before, until the new one answers
  private boolean isFailing;
  private boolean isBehind = true; // no call was answered since the start, a failure, or a move

  /** A client of the discovery service at {@code address}; {@code clock} gives microseconds. */
  public DiscoveryClient(
      Network network,
      RequestCoordinator coordinator,
      LongSupplier clock,
      String address,
      MemoryBudget budget) {
    this.coordinator = coordinator;
    this.clock = clock;
    this.address = address;
    connectionFactory =
        new ConnectionFactory(network, this, MAX_LIST_BYTES, MAX_LIST_BYTES, budget);
  }

  /** The time-out of connecting, from now on. */
  public void configure(long newConnectTimeoutUs) {
    connectTimeoutUs = Math.min(newConnectTimeoutUs, WatchTimings.OVERLAP_US / 2);
  }

  /** Begins a call, unless one is out that brings the update. */
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
    close(idle); // what came on it unasked, or behind a response, must not be read as the next
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

  /**
   * What comes up, or fails, after its call was given up says nothing of the calls that are out.
   */
  private void onConnected(WatchCall call, Optional<Connection> connection) {
    if (call != newest && call != overdue) {
      connection.ifPresent(Connection::close);
    } else if (connection.isEmpty()) {
      fail(call, false);
    } else {
      call.useConnection(connection.get());
      send(call);
    }
  }

  /**
   * From now on discovery is at another address; a watch of the old one goes on until that has
   * answered, all other calls end.
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

  /** Ends the calls that are out, and closes every connection but that one, which is kept. */
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

  /** It brings nothing more; {@code rejected} where discovery was there and answered it so. */
  private void fail(WatchCall call, boolean rejected) {
    Connection connection = call.releaseConnection();
    if (call == former) {
      former = null;
    } else if (call == overdue) {
      overdue = null; // another was made in its place
    } else if (call == newest) {
      newest = null;
      reportFailure(rejected);
    }
    close(connection);
  }

  /** Has another call made after a backoff. */
  private void reportFailure(boolean rejected) {
    isBehind = true;
    if (!isFailing) {
      isFailing = true;
      LOG.warning("endpoint list unavailable, keeping the last one");
    }
    long maxBackoffUs =
        rejected ? WatchTimings.MAX_OVERLOAD_BACKOFF_US : WatchTimings.MAX_BACKOFF_US;
    coordinator.onEndpointListFailure(clock.getAsLong(), maxBackoffUs);
  }

  private List<WatchCall> calls() {
    List<WatchCall> calls = new ArrayList<>(3);
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
      call.ifPresent(failed -> fail(failed, true));
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
    if (isFailing) {
      isFailing = false;
      LOG.info("endpoint list available again");
    }
    coordinator.onEndpointList(
        clock.getAsLong(), update.version(), update.complete(), update.entries(), true);
  }

  @Override
  public void onMalformedMessage(Connection connection, int status) {
    if (status == HttpStatus.CONTENT_TOO_LARGE) {
      LOG.warning("endpoint list larger than " + MAX_LIST_BYTES + " bytes, keeping the last one");
    }
    callOn(connection).ifPresent(call -> fail(call, false));
    connection.close();
  }

  @Override
  public void onClosed(Connection connection) {
    Optional<WatchCall> call = callOn(connection);
    if (idleConnection == connection) {
      idleConnection = null;
    }
    call.ifPresent(failed -> fail(failed, false));
    connection.releaseBuffers();
  }

  /** Reads what has arrived meanwhile: what is about to be sent must not miss an update. */
  public void readPending() {
    for (WatchCall call : calls()) { // reading one may end the others
      if (call.isConnected() && call.connection().isOpen()) {
        call.connection().onReadable();
      }
    }
  }

  /** When the next call is due beside the one that is out. */
  public long nextDueUs() {
    return newest == null ? Long.MAX_VALUE : newest.nextCallUs();
  }

  /** A call that hangs has failed; but its response is taken as long as no later call hangs too. */
  public void expire(long nowUs) {
    if (newest != null && nowUs >= newest.nextCallUs()) {
      Connection oldest = overdue == null ? null : overdue.connection();
      overdue = newest;
      newest = null;
      close(oldest);
      reportFailure(false);
    }
  }
}
