package dillcross.net;

import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A network whose peers are played by the test: each connect adds a channel, which the test drives.
 */
public final class FakeNetwork implements Network {
  public final List<FakeChannel> channels = new ArrayList<>();
  private EventLoopTask task;
  private final Map<String, ConnectionAcceptor> acceptors = new HashMap<>();

  /** A channel to an address; the test plays the peer. */
  public static final class FakeChannel implements TransportChannel {
    private static final int SPACE_DIVISOR = 3; // the share of its buffer that a kernel frees first

    private final StringBuilder received = new StringBuilder(); // has arrived and is not read yet
    private final StringBuilder written = new StringBuilder(); // was sent and is not taken yet
    public final String address;
    public Network.ConnectCallback callback; // a test may set it to null once it was called
    private Network.ConnectionHandler handler;
    private boolean isOpen = true;
    private boolean isEnded; // the peer has ended its output
    private int sendBufferBytes = Integer.MAX_VALUE;
    private int unreadBytes; // that the kernel holds for the peer
    private ByteBuffer unfinished; // the bytes of the unfinished write; null if there is none
    private WriteCallback writeCallback;
    private boolean isRetryScheduled;
    private boolean isReadScheduled;
    private boolean hasReadInterest = true;

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
      if (hasReadInterest && isOpen) {
        handler.onReadable();
      }
    }

    /** Makes the peer end its output. */
    public void endOutput() {
      isEnded = true;
      handler.onReadable();
    }

    /** Makes the connection fail. */
    public void fail() {
      close();
    }

    /** Bounds what the kernel holds for the peer, which from now on takes only what it reads. */
    public void limitSendBuffer(int bytes) {
      sendBufferBytes = bytes;
    }

    /** Makes the peer read up to {@code bytes}; the kernel then may report space. */
    public void readByPeer(int bytes) {
      unreadBytes = Math.max(0, unreadBytes - bytes);
      if (sendBufferBytes - unreadBytes >= sendBufferBytes / SPACE_DIVISOR) {
        continueWrite();
      }
    }

    private void runScheduled() {
      if (isRetryScheduled) {
        isRetryScheduled = false;
        continueWrite();
      }
      int unread = Integer.MAX_VALUE;
      while (isOpen && (isReadScheduled || (hasReadInterest && received.length() < unread))) {
        isReadScheduled = false;
        unread = received.length();
        handler.onReadable();
      }
    }

    private void continueWrite() {
      if (unfinished == null || !isOpen) {
        return;
      }
      int count = Math.min(unfinished.remaining(), sendBufferBytes - unreadBytes);
      byte[] taken = new byte[count];
      unfinished.get(taken);
      unreadBytes += sendBufferBytes == Integer.MAX_VALUE ? 0 : count;
      written.append(new String(taken, StandardCharsets.ISO_8859_1));
      if (!unfinished.hasRemaining()) {
        unfinished = null;
        writeCallback.onWritten();
      }
    }

    /** Returns what was written since the last call; empty if nothing was. */
    public String takeWritten() {
      String taken = written.toString();
      written.setLength(0);
      return taken;
    }

    /** The number of requests that were written since {@link #takeWritten} was last called. */
    public int requests() {
      return written.toString().split("HTTP/1.1\r\n", -1).length - 1;
    }

    @Override
    public int read(ByteBuffer into) {
      int count = Math.min(into.remaining(), received.length());
      into.put(received.substring(0, count).getBytes(StandardCharsets.ISO_8859_1));
      received.delete(0, count);
      return count == 0 && isEnded && into.hasRemaining() ? -1 : count;
    }

    @Override
    public void write(ByteBuffer bytes, WriteCallback callback) {
      unfinished = bytes;
      writeCallback = callback;
      continueWrite();
    }

    @Override
    public int bytesTaken() {
      return unfinished == null ? 0 : unfinished.position();
    }

    @Override
    public void retryWrite() {
      isRetryScheduled = true;
    }

    @Override
    public void setReadInterest(boolean interested) {
      hasReadInterest = interested;
    }

    @Override
    public void scheduleRead() {
      isReadScheduled = true;
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

  /** Runs one iteration of the event loop that {@link #start} was given. */
  public void iterate() {
    task.beforeEvents();
    List.copyOf(channels).forEach(FakeChannel::runScheduled);
    task.afterEvents();
  }

  /** Opens a connection to the socket that was bound to the address. */
  public FakeChannel accept(String address) {
    FakeChannel channel = new FakeChannel("from a peer");
    channels.add(channel);
    channel.handler = acceptors.get(address).onAccepted(channel);
    return channel;
  }

  /** The newest channel to the address. */
  public FakeChannel newest(String address) {
    return channels.stream()
        .filter(channel -> channel.address.equals(address))
        .reduce((older, newer) -> newer)
        .orElseThrow();
  }

  @Override
  public void start(EventLoopTask newTask) {
    task = newTask;
  }

  @Override
  public void wakeUp() {
    // the test runs each iteration itself
  }

  @Override
  public ListeningSocket bind(InetSocketAddress address, ConnectionAcceptor newAcceptor) {
    FakeListeningSocket socket =
        new FakeListeningSocket(address.getHostString() + ":" + address.getPort());
    acceptors.put(socket.address(), newAcceptor);
    return socket;
  }

  /** A listening socket on which the test lets connections arrive. */
  private record FakeListeningSocket(String address) implements ListeningSocket {
    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void setAccepting(boolean accepting) {
      // the test accepts what it opens
    }

    @Override
    public void close() {
      // no connections wait in a backlog
    }
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
