package dillcross.net;

import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Watches of the list on a connection that is kept, and what becomes of the calls. It owns the one
 * deadline for news: whatever became of earlier calls, what discovery has counts as told {@link
 * #TOLD_US} after it had it and could be reached. Each wait here is a part of that, and so are the
 * pauses after a failure, which the module draws.
 *
 * <p>A watch that falls silent is noticed after {@code WATCH + GRACE}, and a call after that is
 * followed by the next after {@code BESIDE}, each with a pause before it: so from the silence, and
 * from a return that a call was just too early for, two further calls begin in time. A call that
 * has to wait may only be slow (discovery works through a fleet's calls in turn, and who gives up
 * goes to the end of the queue): so it is left open beside the next, and what answers first counts.
 * Harms where discovery is overloaded for longer than that: it then has two calls of each sidecar.
 *
 * <p>When the list moves, the watch at the address before goes on until the new one has answered: a
 * fleet that moves at once has to wait there. Harms where what was left tells what is wrong: that
 * is believed for as long.
 */
final class Discovery implements Part {
  static final long TOLD_US = 6_000_000; // by the protocol
  private static final long PAUSE_US =
      TOLD_US / 30; // times 1.5 at the most, after a call that nothing answered
  // After one that was turned away: a fleet that comes again at once keeps it overloaded, and none
  // is served (64 of 93 processes
  // for nine seconds). So these pauses grow; with the longest of them there is time for two more
  // calls still.
  private static final long BUSY_PAUSE_US = TOLD_US * 5 / 18;
  private static final long WATCH_US =
      TOLD_US / 4; // that a watch waits for news; silence is not noticed sooner
  private static final long GRACE_US = TOLD_US / 10; // beyond that, until the next call begins
  // From the begin of a call after a failure to that of the next: as long as leaves a third one
  // time. A call that waits in the queue of
  // an overloaded list must not be doubled: that served 5 calls a second in place of 10 to 17 (a
  // day of 107 processes).
  private static final long BESIDE_US = TOLD_US * 31 / 60;
  private static final long AGAIN_US =
      250_000; // such a call waits for hardly any news: what was missed is due

  private static final Logger LOG = Logger.getLogger(Discovery.class.getName());

  /** One call that is out. */
  private final class Call {
    final NetworkCommand.WatchEndpoints order;
    Connection connection; // null until it is opened
    long nextUs; // by then it has its answer, or another begins beside it

    Call(NetworkCommand.WatchEndpoints order, long nextUs) {
      this.order = order;
      this.nextUs = nextUs;
    }
  }

  private final RequestCoordinator core;
  private final LongSupplier clock;
  private final Connector connector;
  private String address;
  private long connectUs;
  private Connection kept; // that brought the last answer, until it carries the next call
  private Call newest; // null while none is out that is in time
  private Call older; // had its time, and may be answered still
  private Call former; // at the address before, until the new one answers
  private boolean failing;
  private boolean behind =
      true; // no call has been answered since the start, since one failed, or since the list moved

  Discovery(
      Network network, RequestCoordinator core, LongSupplier clock, String address, Budget budget) {
    this.core = core;
    this.clock = clock;
    this.address = address;
    connector = new Connector(network, this, Reader.MOST_LIST, Reader.MOST_LIST, budget);
  }

  /** The limit of connecting, from now on. */
  void limits(long toConnectUs) {
    connectUs = Math.min(toConnectUs, BESIDE_US / 2);
  }

  void watch(NetworkCommand.WatchEndpoints order) {
    if (newest != null) {
      return; // the call that is out brings it
    }
    Connection on = kept;
    kept = null;
    Call call = new Call(order, clock.getAsLong() + connectUs);
    newest = call;
    if (on != null && on.isOpen() && !on.ended && !on.stirs() && on.in.size() == 0 && !on.ended) {
      call.connection = on;
      send(call);
    } else {
      close(on); // what came on it unasked, or behind an answer, must not be read as the next
      Connection opening = connector.open(address, up -> connected(call, up));
      call.connection = call.connection == null ? opening : call.connection;
    }
  }

  private static void close(Connection connection) {
    if (connection != null) {
      connection.close();
    }
  }

  /**
   * A connection that comes up, or fails, after its call was given up is no word on the calls that
   * are out now.
   */
  private void connected(Call call, Connection up) {
    if (call != newest && call != older) {
      close(up);
    } else if (up == null) {
      fail(call, false);
    } else {
      call.connection = up;
      send(call);
    }
  }

  /**
   * From now on the list is at another address; a watch of the old one goes on till that has
   * answered, all else of it ends.
   */
  void move(String to) {
    Call watch =
        !behind && newest != null && newest.connection != null && newest.connection.connected
            ? newest
            : former;
    newest = watch == newest ? null : newest;
    former = null;
    end(null);
    former = watch;
    address = to;
    behind = true;
  }

  /** Ends the calls that are out, and every connection but that one. */
  private void end(Connection but) {
    Call[] calls = {newest, older, former};
    Connection was = kept;
    newest = null;
    older = null;
    former = null;
    kept = but;
    for (Call call : calls) {
      close(call == null || call.connection == but ? null : call.connection);
    }
    close(was == but ? null : was);
  }

  private void send(Call call) {
    long nowUs = clock.getAsLong();
    call.nextUs =
        behind ? Math.max(nowUs, call.nextUs - connectUs + BESIDE_US) : nowUs + WATCH_US + GRACE_US;
    ask(call, behind ? AGAIN_US : WATCH_US);
  }

  private void ask(Call call, long forUs) {
    String target = "/v1/servers?since=" + call.order.version() + "&timeout_ms=" + forUs / 1000;
    call.connection.write(Message.request("GET", target, Map.of("host", address), Message.NOTHING));
  }

  /** It brings nothing more; {@code busy} where discovery is there and turned it away. */
  private void fail(Call call, boolean busy) {
    Connection connection = call.connection;
    call.connection = null;
    if (call == former) {
      former = null;
    } else if (call == older) {
      older = null; // it had its time: another was asked for
    } else if (call == newest) {
      newest = null;
      failed(busy);
    }
    close(connection);
  }

  /** Has the list asked for again, after a pause. */
  private void failed(boolean busy) {
    behind = true;
    if (!failing) {
      failing = true;
      LOG.warning("the list can't be had; the last one holds");
    }
    core.onEndpointListFailure(clock.getAsLong(), busy ? BUSY_PAUSE_US : PAUSE_US);
  }

  private Call on(Connection connection) {
    for (Call call : out()) {
      if (call != null && call.connection == connection) {
        return call;
      }
    }
    return null;
  }

  private Call[] out() {
    return new Call[] {newest, older, former};
  }

  @Override
  public void message(Connection from, Message message, int fault) {
    Call call = on(from);
    Roster roster =
        call != null && message != null && message.status() == 200
            ? Roster.parse(message.body())
            : null;
    if (roster == null) {
      if (fault == Reader.TOO_LARGE) {
        LOG.warning(
            "the list is larger than "
                + Reader.MOST_LIST
                + " bytes, and is not taken; the last one holds");
      }
      if (call != null) {
        fail(call, message != null);
      }
      from.close();
    } else if (call == former) {
      former = new Call(new NetworkCommand.WatchEndpoints(roster.version()), Long.MAX_VALUE);
      former.connection = from;
      ask(former, WATCH_US);
      core.onFormerEndpointList(clock.getAsLong(), roster.whole(), roster.entries());
    } else {
      end(message.keepsAlive() ? from : null);
      behind = false;
      if (failing) {
        failing = false;
        LOG.info("the list is back");
      }
      core.onEndpointList(
          clock.getAsLong(), roster.version(), roster.whole(), roster.entries(), true);
    }
  }

  @Override
  public void closed(Connection closed) {
    Call call = on(closed);
    kept = kept == closed ? null : kept;
    if (call != null) {
      fail(call, false);
    }
    closed.free();
  }

  /** Takes in what has come meanwhile: what is about to be sent must not be sent by older news. */
  void look() {
    for (Call call : out()) {
      if (call != null
          && call.connection != null
          && call.connection.connected
          && call.connection.isOpen()) {
        call.connection.readable();
      }
    }
  }

  long dueUs() {
    return newest == null ? Long.MAX_VALUE : newest.nextUs;
  }

  /** A call that hangs has failed; but its answer is taken as long as none after it hangs too. */
  void expire(long nowUs) {
    if (newest != null && nowUs >= newest.nextUs) {
      Connection oldest = older == null ? null : older.connection;
      older = newest;
      newest = null;
      close(oldest);
      failed(false);
    }
  }
}
