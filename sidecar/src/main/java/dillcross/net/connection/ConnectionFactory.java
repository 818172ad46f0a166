package dillcross.net.connection;

import dillcross.common.NumericAddress;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Opens connections on which responses arrive, for one message handler. A connection exists before
 * its connect succeeds, so that the caller can give it up.
 */
public final class ConnectionFactory {
  private final Network network;
  private final MessageHandler handler;
  private final MemoryBudget budget;
  private final LongSupplier clock;
  private final int maxBufferedBody;
  private final long maxBody;

  /**
   * Creates a factory.
   *
   * @param maxBufferedBody the size of the largest response body that is passed to the handler
   *     completely, in bytes; a larger one is streamed
   * @param maxBody the size of the largest response body that is allowed, in bytes
   * @param clock gives microseconds
   */
  public ConnectionFactory(
      Network network,
      MessageHandler handler,
      int maxBufferedBody,
      long maxBody,
      MemoryBudget budget,
      LongSupplier clock) {
    this.network = network;
    this.handler = handler;
    this.maxBufferedBody = maxBufferedBody;
    this.maxBody = maxBody;
    this.budget = budget;
    this.clock = clock;
  }

  /**
   * Opens a connection.
   *
   * @param address a numeric IP address and a port
   * @param callback called once, with the connection when its connect has succeeded, or empty if
   *     that failed
   * @return the connection that is opening; empty if that has failed already
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

  /** One connect in progress. */
  private final class Opening implements Network.ConnectCallback {
    private final Consumer<Optional<Connection>> callback;
    private Connection connection;

    Opening(Consumer<Optional<Connection>> callback) {
      this.callback = callback;
    }

    @Override
    public Network.ConnectionHandler onOpening(TransportChannel channel) {
      connection = new Connection(channel, handler, false, maxBufferedBody, maxBody, budget, clock);
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
