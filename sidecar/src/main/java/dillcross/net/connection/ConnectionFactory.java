package dillcross.net.connection;

import dillcross.common.NumericAddress;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

/** Opens connections for a message handler. Each exists before it is up, so it can be given up. */
public final class ConnectionFactory {
  private final Network network;
  private final MessageHandler handler;
  private final MemoryBudget budget;
  private final int maxBufferedBody;
  private final long maxBody;

  /** A factory of connections with these limits, in bytes, of response bodies. */
  public ConnectionFactory(
      Network network,
      MessageHandler handler,
      int maxBufferedBody,
      long maxBody,
      MemoryBudget budget) {
    this.network = network;
    this.handler = handler;
    this.maxBufferedBody = maxBufferedBody;
    this.maxBody = maxBody;
    this.budget = budget;
  }

  /**
   * Opens a connection.
   *
   * @param callback called once, with the connection when it is up, or empty where it failed
   * @return the connection that is opening; empty where it has failed already
   */
  public Optional<Connection> open(String address, Consumer<Optional<Connection>> callback) {
    Optional<InetSocketAddress> target = NumericAddress.parse(address);
    if (target.isEmpty()) {
      callback.accept(Optional.empty());
      return Optional.empty();
    }
    Opening opening = new Opening(callback);
    network.connect(target.get(), opening);
    return Optional.ofNullable(opening.connection);
  }

  /** One connection on its way up. */
  private final class Opening implements Network.ConnectCallback {
    private final Consumer<Optional<Connection>> callback;
    private Connection connection;

    Opening(Consumer<Optional<Connection>> callback) {
      this.callback = callback;
    }

    @Override
    public Network.ConnectionHandler onOpening(TransportChannel channel) {
      connection = new Connection(channel, handler, false, maxBufferedBody, maxBody, budget);
      return connection;
    }

    @Override
    public void onConnected() {
      connection.markConnected();
      callback.accept(Optional.of(connection));
    }

    @Override
    public void onConnectFailed() {
      callback.accept(Optional.empty());
    }
  }
}
