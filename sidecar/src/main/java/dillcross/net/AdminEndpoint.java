package dillcross.net;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * The admin endpoint, at an address of its own: one call a connection. It has room of its own too,
 * so a crowd of clients can't shut it, and callers that finish no call give way to the next.
 */
final class AdminEndpoint implements Part, Network.Taker {
  static final int MOST = 8; // connections, descriptors set aside for them
  private static final long CALL_US = 5_000_000; // that one may stay
  private static final Logger LOG = Logger.getLogger(AdminEndpoint.class.getName());

  private final Life life;
  private final LongSupplier clock;
  private Members members; // null where this sidecar knows of no others
  private final Budget budget = new Budget(MOST * 64L << 10);
  private final Set<Connection> connections = new LinkedHashSet<>(); // the oldest first

  AdminEndpoint(Life life, LongSupplier clock) {
    this.life = life;
    this.clock = clock;
  }

  void shows(Members own) {
    members = own;
  }

  @Override
  public Network.Ear accepted(Wire wire) {
    Connection connection = new Connection(wire, this, true, Reader.WHOLE, Reader.WHOLE, budget);
    connection.connected = true;
    connection.idleUs = clock.getAsLong();
    connections.add(connection);
    if (connections.size() > MOST) {
      connections.iterator().next().close();
    }
    return connection;
  }

  @Override
  public void closed(Connection connection) {
    connections.remove(connection);
    connection.free();
  }

  @Override
  public void message(Connection connection, Message call, int fault) {
    Message answer = call != null ? answer(call) : Message.answer(fault, "malformed call");
    answer.fields().put("connection", "close");
    connection.closing = true;
    connection.write(answer); // also where the end of the call has come with it: it was made
  }

  private Message answer(Message call) {
    String path = call.target();
    String method =
        switch (path) {
          case Names.READY_PATH -> "GET";
          case Names.MEMBERS_PATH -> members == null ? null : "GET";
          case Names.DRAIN_PATH, Names.RESUME_PATH -> "POST";
          default -> null;
        };
    if (method == null) {
      return Message.answer(404, "unknown call");
    }
    if (!call.first().equals(method)) {
      return Message.notAllowed(method);
    }
    if (path.equals(Names.READY_PATH)) {
      return life.able() ? Message.answer(200, "ready") : Message.answer(503, "not ready");
    }
    if (path.equals(Names.MEMBERS_PATH)) {
      return Message.answer(
          200, new LinkedHashMap<>(Map.of("content-type", "application/json")), members.view());
    }
    boolean drain = path.equals(Names.DRAIN_PATH);
    if (drain) {
      life.drain(clock.getAsLong());
    } else {
      life.resume();
    }
    LOG.info(drain ? "drain: clients are to go elsewhere" : "resume: the drain is over");
    return Message.answer(200, drain ? "draining" : "resumed");
  }

  /** Closes who has stayed for too long. */
  void expire(long nowUs) {
    for (Connection connection;
        !connections.isEmpty()
            && nowUs - (connection = connections.iterator().next()).idleUs > CALL_US; ) {
      connections.remove(connection);
      connection.close();
    }
  }
}
