package dillcross.net;

import dillcross.sidecar.AttemptResult;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.WriteProgress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Pushes on connections to endpoints. Nothing here is sent twice: each push is written once, and
 * reported once.
 */
final class Endpoints implements Part {
  /** One push that is out. */
  private static final class Exchange {
    final NetworkCommand.SendAttempt push;
    final Pool pool;
    final long sentUs;
    final long connectByUs;
    Connection connection; // null until it is opened
    boolean sent; // its request was handed over
    Message begun; // its answer, once that is being passed on

    Exchange(NetworkCommand.SendAttempt push, Pool pool, long sentUs, long connectUs) {
      this.push = push;
      this.pool = pool;
      this.sentUs = sentUs;
      connectByUs = sentUs + connectUs;
    }

    WriteProgress reach() {
      return !sent
          ? WriteProgress.NOT_CONNECTED
          : connection.written() ? WriteProgress.FULLY_WRITTEN : WriteProgress.PARTIALLY_WRITTEN;
    }
  }

  private record Key(long op, int push) {}

  /**
   * The connections to one endpoint that are free. Another endpoint at its address, later, has a
   * pool of its own.
   */
  private record Pool(String address, ArrayDeque<Connection> free) {}

  // After an answer, for what may come behind it: a second one would answer the next request, which
  // is another client's. Seen
  // up to 3.7 ms late. Harms where ops come at shorter intervals than this: an endpoint then holds
  // a connection or two more.
  private static final long REST_US = 8_000;

  private final RequestCoordinator core;
  private final LongSupplier clock;
  private final Consumer<Object> latest; // has what came of the list and of that client taken in
  private final Connector connector;
  private long connectUs;
  private long idleUs;
  private final int most; // connections
  private final Map<Key, Exchange> exchanges = new HashMap<>();
  private final ArrayDeque<Exchange> connecting =
      new ArrayDeque<>(); // in the order of their limits
  private final ArrayDeque<Exchange> up =
      new ArrayDeque<>(); // their connections are up, or came up in this turn
  private final Map<String, Pool> pools =
      new LinkedHashMap<>(); // by endpoint, until it is to be forgotten
  private final Set<Connection> connections = new LinkedHashSet<>(); // all that are open or opening
  private long expiredUs;

  Endpoints(
      Network network,
      RequestCoordinator core,
      LongSupplier clock,
      int most,
      long mostBody,
      Budget budget,
      Consumer<Object> latest) {
    this.latest = latest;
    this.core = core;
    this.clock = clock;
    this.most = most;
    connector = new Connector(network, this, Reader.WHOLE, mostBody, budget);
  }

  /** Limits for what connects and rests from now on; what is connecting keeps its own. */
  void limits(long toConnectUs, long toRestUs) {
    connectUs = toConnectUs;
    idleUs = toRestUs;
  }

  void push(NetworkCommand.SendAttempt push) {
    Pool pool = pools.get(push.endpoint());
    if (pool == null || !pool.address().equals(push.address())) {
      forget(push.endpoint());
      pool = new Pool(push.address(), new ArrayDeque<>());
      pools.put(push.endpoint(), pool);
    }
    Exchange exchange = new Exchange(push, pool, clock.getAsLong(), connectUs);
    exchanges.put(new Key(push.requestId(), push.attempt()), exchange);
    exchange.connection = take(pool.free());
    if (exchange.connection != null) {
      exchange.connection.user = exchange; // it may break before it is used
      up.add(exchange);
      return;
    }
    if (connections.size() >= most && !closeOneIdle()) {
      end(exchange, AttemptResult.Kind.NOT_SENT, null); // our limit is no mark against the endpoint
      return;
    }
    connecting.add(exchange);
    Connection opening = connector.open(push.address(), up -> connected(exchange, up));
    if (opening != null && opening.isOpen()) {
      connections.add(opening);
      exchange.connection = opening;
    }
  }

  private void close(Connection connection) {
    connections.remove(connection); // one that never came up is not reported as closed
    connection.close();
  }

  /**
   * A connection that is free: the one used last, as it is the least likely to be dead, of those
   * that have rested; null where none has.
   */
  private Connection take(ArrayDeque<Connection> free) {
    for (Iterator<Connection> newest = free.descendingIterator(); newest.hasNext(); ) {
      Connection connection = newest.next();
      if (!usable(connection)) {
        newest.remove();
        close(connection);
      } else if (clock.getAsLong() - connection.idleUs >= REST_US) {
        newest.remove();
        return connection;
      }
    }
    return null;
  }

  /**
   * Looks at the socket itself: what came since its answer belongs to nobody. The endpoint closes
   * what is idle for long, and a request that crosses that is lost, so we close before it does.
   */
  private boolean usable(Connection connection) {
    if (connection.isOpen()
        && !connection.ended
        && clock.getAsLong() - connection.idleUs < idleUs) {
      connection.fill();
      return !connection.ended && connection.in.size() == 0;
    }
    return false;
  }

  private boolean closeOneIdle() {
    for (Pool pool : pools.values()) {
      Connection connection = pool.free().pollFirst();
      if (connection != null) {
        close(connection);
        return true;
      }
    }
    return false;
  }

  private void connected(Exchange exchange, Connection opened) {
    if (opened == null) {
      end(exchange, AttemptResult.Kind.CONNECTION_BROKEN, null);
    } else if (connecting.remove(exchange)) {
      exchange.connection = opened;
      opened.user = exchange;
      up.add(exchange);
    } else { // given up meanwhile
      close(opened);
    }
  }

  /**
   * Sends what has a connection that is up, where that still may be; whether there was any. This
   * comes after all else that the turn has gathered, and after its timers; and what has come since
   * is looked for once more, as a turn of a starved process takes long: news of the list, a client
   * that left, an end of the TTL.
   */
  boolean sendUp() {
    boolean any = !up.isEmpty();
    for (Exchange waited; (waited = up.poll()) != null; ) {
      NetworkCommand.SendAttempt push = waited.push;
      if (exchanges.get(new Key(push.requestId(), push.attempt())) == waited) {
        latest.accept(push.client());
      }
      if (exchanges.get(new Key(push.requestId(), push.attempt())) == waited) {
        if (core.maySend(clock.getAsLong(), push.requestId(), push.attempt())) {
          send(waited);
        } else {
          end(waited, AttemptResult.Kind.NOT_SENT, null);
        }
      }
    }
    return any;
  }

  private void send(Exchange exchange) {
    Connection connection = exchange.connection;
    connection.user = exchange;
    exchange.sent = true;
    Message request = (Message) exchange.push.content();
    Map<String, String> fields = request.passedOn();
    long waitMs = Math.max(1, (exchange.push.deadlineUs() - clock.getAsLong()) / 1000);
    fields.put(Names.TIMEOUT, String.valueOf(waitMs));
    connection.write(
        request.as(Message.request(request.first(), request.second(), fields, Message.NOTHING)));
    if (request.flows() && connection.isOpen()) {
      long op = exchange.push.requestId();
      new Stream(
              request.from(),
              connection,
              request.rest() == Message.UNKNOWN,
              new Stream.Owner() {
                @Override
                public void letGo() {
                  core.onBodyReleased(clock.getAsLong(), op);
                }

                @Override
                public void over(boolean whole) {
                  if (whole) {
                    core.onBodyComplete(clock.getAsLong(), op);
                  } else {
                    request.from().close(); // its client sent what can't be read
                  }
                }
              })
          .start();
    }
  }

  void giveUp(NetworkCommand.AbandonAttempt order) {
    Exchange exchange = exchanges.get(new Key(order.requestId(), order.attempt()));
    if (exchange != null) {
      end(exchange, AttemptResult.Kind.ABANDONED, null);
      dropOlder(exchange);
    } else { // its turn broke before it was known here: the core must not wait for it for good
      core.onAttemptEnded(
          clock.getAsLong(),
          order.requestId(),
          order.attempt(),
          new AttemptResult(AttemptResult.Kind.ABANDONED, WriteProgress.FULLY_WRITTEN, null));
    }
  }

  /**
   * An endpoint that was cut off leaves its connections open, silent and dead: when a push to it is
   * given up, those that no answer has come on since are not used again, or each would cost one
   * more push.
   */
  private void dropOlder(Exchange silent) {
    ArrayDeque<Connection> free = silent.pool.free();
    for (Connection connection;
        (connection = free.peekFirst()) != null && connection.idleUs <= silent.sentUs; ) {
      free.pollFirst();
      close(connection);
    }
  }

  /**
   * Takes the exchange off its connection, which is closed unless the next can use it, and reports
   * the end.
   */
  private void end(Exchange exchange, AttemptResult.Kind kind, Message answer) {
    Key key = new Key(exchange.push.requestId(), exchange.push.attempt());
    if (!exchanges.remove(key, exchange)) {
      return;
    }
    AttemptResult ending = new AttemptResult(kind, exchange.reach(), answer);
    connecting.remove(exchange);
    Connection connection = exchange.connection;
    if (connection != null) {
      connection.user = null;
      boolean written = connection.written();
      if (connection.sink != null) {
        connection.sink.detach();
      }
      if (connection.source != null) {
        connection.source.detach();
      }
      boolean unused = kind == AttemptResult.Kind.NOT_SENT && connection.connected;
      boolean whole =
          answer != null
              && answer.keepsAlive()
              && written
              && connection.in.size() == 0
              && !connection.reader.flows();
      boolean known =
          pools.get(exchange.push.endpoint())
              == exchange.pool; // it was not to be forgotten meanwhile
      if (known && (unused || whole) && !connection.ended) {
        connection.idleUs = clock.getAsLong();
        exchange.pool.free().addLast(connection);
        connection.pooled = exchange.pool.free();
      } else if (kind == AttemptResult.Kind.ABANDONED && connection.connected) {
        connections.remove(connection);
        connection
            .cut(); // or the system goes on sending what was written, and a network that heals
        // brings it after the answer
      } else {
        close(connection);
      }
    }
    core.onAttemptEnded(clock.getAsLong(), key.op, key.push, ending);
  }

  @Override
  public void message(Connection connection, Message answer, int fault) {
    Exchange exchange = (Exchange) connection.user;
    if (exchange == null || !exchange.sent || answer == null) {
      close(connection); // an answer that nobody asked for yet, or one that can't be read
      return;
    }
    if (!answer.flows() || kind(answer) != AttemptResult.Kind.SUCCEEDED) {
      end(exchange, kind(answer), answer);
    } else if (core.onResponseStarted(
        clock.getAsLong(), exchange.push.requestId(), exchange.push.attempt(), answer)) {
      exchange.begun = answer;
      connection.hold();
    } else {
      end(exchange, AttemptResult.Kind.ERROR, null); // nobody waits for it any more
    }
  }

  /** The rest of an answer that has begun goes on to that connection. */
  void passOn(Message answer, Connection to, boolean chunks) {
    Exchange exchange = (Exchange) answer.from().user;
    if (exchange == null || exchange.begun != answer) {
      return; // it broke meanwhile, and was reported
    }
    new Stream(
            answer.from(),
            to,
            chunks,
            new Stream.Owner() {
              @Override
              public void letGo() {
                // from its first byte on it was the client's
              }

              @Override
              public void over(boolean whole) {
                end(
                    exchange,
                    whole ? AttemptResult.Kind.SUCCEEDED : AttemptResult.Kind.CONNECTION_BROKEN,
                    answer);
              }
            })
        .start();
  }

  private static AttemptResult.Kind kind(Message answer) {
    return switch (answer.status()) {
      case 200 -> AttemptResult.Kind.SUCCEEDED;
      case 503, 504 ->
          "1".equals(answer.field(Names.NOT_STARTED))
              ? AttemptResult.Kind.OVERLOADED
              : AttemptResult.Kind.ERROR;
      // Those speak of the endpoint or the moment; any other 4xx of the op, which no endpoint would
      // take.
      case 408, 425, 429 -> AttemptResult.Kind.ERROR;
      default ->
          answer.status() / 100 == 4 ? AttemptResult.Kind.CLIENT_ERROR : AttemptResult.Kind.ERROR;
    };
  }

  @Override
  public void closed(Connection connection) {
    connections.remove(connection);
    if (connection.user != null) {
      end((Exchange) connection.user, AttemptResult.Kind.CONNECTION_BROKEN, null);
    } else if (connection.pooled != null) {
      connection.pooled.remove(connection); // the endpoint closed it while it was free
    }
    connection.free();
  }

  /** Pushes that are out. */
  int exchanges() {
    return exchanges.size();
  }

  boolean busy() {
    return !exchanges.isEmpty();
  }

  /**
   * Closes what is free to an endpoint; what is in use goes when it ends, and nothing of it serves
   * another.
   */
  void forget(String endpoint) {
    Pool pool = pools.remove(endpoint);
    for (Connection connection; pool != null && (connection = pool.free().pollFirst()) != null; ) {
      close(connection);
    }
  }

  long dueUs() {
    return connecting.isEmpty() ? Long.MAX_VALUE : connecting.peekFirst().connectByUs;
  }

  /** Ends what does not connect in time, and drops what has been idle for too long. */
  void expire(long nowUs) {
    for (Exchange e; (e = connecting.peekFirst()) != null && e.connectByUs <= nowUs; ) {
      end(e, AttemptResult.Kind.CONNECTION_BROKEN, null);
    }
    if (nowUs - expiredUs > 1_000_000) {
      expiredUs = nowUs;
      for (Connection connection : List.copyOf(connections)) {
        connection.look(nowUs);
        boolean silent =
            connection.reader.flows()
                && !connection.paused()
                && connection.movedUs > 0
                && nowUs - connection.movedUs > idleUs;
        if (silent && connection.user instanceof Exchange e) {
          end(
              e,
              AttemptResult.Kind.CONNECTION_BROKEN,
              null); // it gives nothing more, and would hold its place for good
        }
      }
      for (Pool pool : pools.values()) {
        for (Connection connection;
            (connection = pool.free().peekFirst()) != null && !usable(connection); ) {
          pool.free().pollFirst();
          close(connection);
        }
      }
    }
  }
}
