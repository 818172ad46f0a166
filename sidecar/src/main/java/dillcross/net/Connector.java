package dillcross.net;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Opens connections for a part. Each has its connection before it is up, so that it can be given
 * up.
 */
final class Connector {
  private final Network network;
  private final Part part;
  private final Budget budget;
  private final int whole; // bytes of an answer that is handed over whole
  private final long most; // bytes of any

  Connector(Network network, Part part, int whole, long most, Budget budget) {
    this.network = network;
    this.part = part;
    this.whole = whole;
    this.most = most;
    this.budget = budget;
  }

  /**
   * {@code done} hears once, with the connection where it is up and with null where it can't be
   * had.
   */
  Connection open(String address, Consumer<Connection> done) {
    InetSocketAddress to = Address.parse(address);
    if (to == null) {
      done.accept(null);
      return null;
    }
    Connection[] opening = new Connection[1];
    network.connect(
        to,
        new Network.Asker() {
          @Override
          public Network.Ear opening(Wire wire) {
            opening[0] = new Connection(wire, part, false, whole, most, budget);
            return opening[0];
          }

          @Override
          public void up() {
            opening[0].connected = true;
            done.accept(opening[0]);
          }

          @Override
          public void failed() {
            done.accept(null);
          }
        });
    return opening[0];
  }
}
