package dillcross.net;

import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A network whose other side is the test: each connection is a channel that it moves. */
public final class FakeNetwork implements Network {
  public final List<FakeChannel> channels = new ArrayList<>();

  /** A channel whose other side is the test. */
  public static final class FakeChannel implements TransportChannel {
    private final StringBuilder received = new StringBuilder();
    private final StringBuilder written = new StringBuilder();
    public final String address;
    public Network.ConnectCallback callback;
    private Network.ConnectionHandler handler;
    private boolean isOpen = true;

    FakeChannel(String address) {
      this.address = address;
    }

    public void connect() {
      callback.onConnected();
    }

    public void receive(String text) {
      received.append(text);
      handler.onReadable();
    }

    public void fail() {
      close();
    }

    /** The request that has arrived, if one has; it is taken. */
    public String takeRequest() {
      String request = written.toString();
      written.setLength(0);
      return request;
    }

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
      // the test reports all
    }

    @Override
    public void scheduleRead() {
      // the test reports all
    }

    @Override
    public void shutdownOutput() {
      // no test needs it
    }

    @Override
    public void resetOnClose() {
      // nothing is in transit
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
    throw new IOException("none here");
  }
}
