package dillcross.net.grizzly;

import dillcross.net.Address;
import dillcross.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.logging.Logger;

/** A datagram socket on the one selector. */
final class GrizzlyDatagrams implements Network.Datagrams {
  private static final Logger LOG = Logger.getLogger(GrizzlyDatagrams.class.getName());
  private static final int A_TURN =
      128; // that are read in one go: the ops' connections wait meanwhile
  private final DatagramChannel channel;
  private final ByteBuffer space;
  private final Network.Hearer hearer;

  GrizzlyDatagrams(InetSocketAddress at, int most, Network.Hearer hearer) throws IOException {
    this.hearer = hearer;
    space = ByteBuffer.allocate(most);
    channel = DatagramChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 18);
      channel.configureBlocking(false);
      channel.bind(at);
    } catch (IOException e) {
      channel.close();
      throw new IOException("datagrams at " + at + ": " + e.getMessage(), e);
    }
  }

  void register(Selector selector) throws IOException {
    channel.register(selector, SelectionKey.OP_READ, this);
  }

  void readable() {
    try {
      for (int i = 0; i < A_TURN; i++) {
        space.clear();
        InetSocketAddress from = (InetSocketAddress) channel.receive(space);
        if (from == null) {
          return;
        }
        hearer.heard(from, space.flip());
      }
    } catch (IOException e) {
      LOG.fine(
          () ->
              "datagram not read: " + e); // as the system says of one that we sent and nobody took
    }
  }

  @Override
  public String address() {
    return Address.text((InetSocketAddress) channel.socket().getLocalSocketAddress());
  }

  @Override
  public void send(InetSocketAddress to, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), to);
    } catch (IOException e) {
      LOG.fine(() -> "datagram not sent: " + e); // as lost as any other
    }
  }
}
