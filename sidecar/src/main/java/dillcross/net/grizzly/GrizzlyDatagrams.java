package dillcross.net.grizzly;

import dillcross.common.NumericAddress;
import dillcross.net.transport.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.logging.Logger;

/** A datagram socket that is registered with the selector of {@link SelectorLoop}. */
final class GrizzlyDatagrams implements Network.DatagramTransport {
  private static final Logger LOG = Logger.getLogger(GrizzlyDatagrams.class.getName());
  // The most datagrams that are read at once, because requests wait meanwhile.
  private static final int MAX_PER_READ = 128;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 18;

  private final DatagramChannel channel;
  private final ByteBuffer buffer;
  private final Network.DatagramHandler handler;

  GrizzlyDatagrams(InetSocketAddress address, int maxBytes, Network.DatagramHandler handler)
      throws IOException {
    this.handler = handler;
    buffer = ByteBuffer.allocate(maxBytes);
    channel = DatagramChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      channel.configureBlocking(false);
      channel.bind(address);
    } catch (IOException e) {
      channel.close();
      throw new IOException(
          "can't open the datagram socket at " + address + ": " + e.getMessage(), e);
    }
  }

  void register(Selector selector) throws IOException {
    channel.register(selector, SelectionKey.OP_READ, this);
  }

  void onReadable() {
    try {
      for (int i = 0; i < MAX_PER_READ; i++) {
        buffer.clear();
        InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
        if (sender == null) {
          return;
        }
        handler.onDatagram(sender, buffer.flip());
      }
    } catch (IOException e) {
      LOG.fine(
          () -> "datagram not received: " + e); // such as an ICMP error for a datagram sent earlier
    }
  }

  @Override
  public String address() {
    return NumericAddress.format((InetSocketAddress) channel.socket().getLocalSocketAddress());
  }

  @Override
  public void send(InetSocketAddress receiver, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), receiver);
    } catch (IOException e) {
      LOG.fine(() -> "datagram not sent: " + e); // the same as a loss on the way
    }
  }
}
