package dillcross.net;

import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A network whose peers are played by the test: each connect adds a channel, which the test drives.
 */
public final class FakeNetwork implements Network {
  public final List<FakeChannel> channels = new ArrayList<>();

  /** A channel to an address; the test plays the peer. */
  public static final class FakeChannel implements TransportChannel {
    private final StringBuilder received = new StringBuilder(); // has arrived and is not read yet
    private final StringBuilder written = new StringBuilder(); // was sent and is not taken yet
    public final String address;
    public Network.ConnectCallback callback; // a test may set it to null once it was called
    private Network.ConnectionHandler handler;
    private boolean isOpen = true;

    FakeChannel(String address) {
      this.address = address;
    }

    /** Makes the connect succeed. */
    public void connect() {
      callback.onConnected();
    }

    /** Makes the text arrive from the peer. */
    public void receive(String text) {
      received.append(text);
      handler.onReadable();
    }

    /** Makes the connection fail. */
    public void fail() {
      close();
    }

    /** Returns what was written since the last call; empty if nothing was. */
    public String takeRequest() {
      String request = written.toString();
      written.setLength(0);
      return request;
    }

    /** The number of requests that were written since {@link #takeRequest} was last called. */
    public int requests() {
      return written.toString().split("HTTP/1.1\r\n", -1).length - 1;
    }

    @Override
    public int read(ByteBuffer into) {
      int count = Math.min(into.remaining(), received.length());
      into.put(received.substring(0, count).getBytes(StandardCharsets.ISO_8859_1));
      received.delete(0, count);
      return count;
    }

    @Override
    public void write(ByteBuffer bytes, WriteCallback callback) {
      written.append(StandardCharsets.ISO_8859_1.decode(bytes));
      callback.onWritten();
    }

    @Override
    public void setReadInterest(boolean interested) {
      // receive() always calls the handler
    }

    @Override
    public void scheduleRead() {
      // receive() always calls the handler
    }

    @Override
    public void shutdownOutput() {
      // no test needs the end of the output
    }

    @Override
    public void resetOnClose() {
      // no bytes are in transit that a reset could discard
    }

    @Override
    public boolean isOpen() {
      return isOpen;
    }

    @Override
    public void close() {
      if (isOpen) {
        isOpen = false;
        handler.onClosed();
      }
    }
  }

  @Override
  public void connect(InetSocketAddress address, ConnectCallback callback) {
    FakeChannel channel = new FakeChannel(address.getHostString() + ":" + address.getPort());
    channels.add(channel);
    channel.callback = callback;
    channel.handler = callback.onOpening(channel);
  }

  @Override
  public void start(EventLoopTask task) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void wakeUp() {
    throw new UnsupportedOperationException();
  }

  @Override
  public ListeningSocket bind(InetSocketAddress address, ConnectionAcceptor acceptor) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ListeningSocket bindInherited(ConnectionAcceptor acceptor) {
    throw new UnsupportedOperationException();
  }

  @Override
  public boolean hasInheritedSocket() {
    return false;
  }

  @Override
  public DatagramTransport bindDatagrams(
      InetSocketAddress address, int maxBytes, DatagramHandler handler) throws IOException {
    throw new IOException("datagrams are not supported");
  }
}
