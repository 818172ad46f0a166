package dillcross.net.grizzly;

import dillcross.net.transport.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** The network on real sockets, with one selector thread. */
public final class GrizzlyNetwork implements Network {
  private static final int BACKLOG = 1024;
  // Of accepted connections. A fixed size bounds what a client can have sent that was not read.
  private static final int RECEIVE_BUFFER_BYTES = 192 << 10;
  private static final Logger LOG = Logger.getLogger(GrizzlyNetwork.class.getName());

  private TCPNIOTransport transport;
  private SelectorLoop loop;

  @Override
  public void start(EventLoopTask task) throws IOException {
    loop = new SelectorLoop(task);
    TCPNIOTransportBuilder builder = TCPNIOTransportBuilder.newInstance();
    builder
        .setName("dillcross")
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setSelectorRunnersCount(1)
        .setMemoryManager(new HeapMemoryManager())
        .setSelectorHandler(loop);
    builder.setTcpNoDelay(true).setReuseAddress(true).setKeepAlive(false);
    transport = builder.build();
    transport.start();
  }

  @Override
  public void wakeUp() {
    loop.wakeUp();
  }

  @Override
  public boolean hasInheritedSocket() throws IOException {
    return System.inheritedChannel() instanceof ServerSocketChannel;
  }

  @Override
  public ListeningSocket bind(InetSocketAddress address, ConnectionAcceptor acceptor)
      throws IOException {
    AcceptCounter counter = new AcceptCounter(acceptor);
    return open(binder(counter).bind(address, BACKLOG), counter);
  }

  @Override
  public ListeningSocket bindInherited(ConnectionAcceptor acceptor) throws IOException {
    AcceptCounter counter = new AcceptCounter(acceptor);
    return open(binder(counter).bindToInherited(), counter);
  }

  private ListeningSocket open(TCPNIOServerConnection server, AcceptCounter counter) {
    ServerSocketChannel channel = (ServerSocketChannel) server.getChannel();
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
    } catch (IOException e) {
      LOG.warning("receive buffers of clients' connections keep their size: " + e);
    }
    GrizzlyListeningSocket socket = new GrizzlyListeningSocket(server, counter);
    loop.addListeningSocket(socket);
    return socket;
  }

  private TCPNIOBindingHandler binder(ConnectionAcceptor acceptor) {
    return TCPNIOBindingHandler.builder(transport)
        .processor(ConnectionFilter.accepting(acceptor))
        .build();
  }

  @Override
  public DatagramTransport bindDatagrams(
      InetSocketAddress address, int maxBytes, DatagramHandler handler) throws IOException {
    GrizzlyDatagrams socket = new GrizzlyDatagrams(address, maxBytes, handler);
    loop.register(socket);
    return socket;
  }

  @Override
  public void connect(InetSocketAddress address, ConnectCallback callback) {
    new OutgoingConnector(transport, callback).connectTo(address);
  }

  /** Opens one connection. The callback receives the channel before it is connected. */
  private static final class OutgoingConnector extends TCPNIOConnectorHandler {
    private final ConnectCallback callback;

    OutgoingConnector(TCPNIOTransport transport, ConnectCallback callback) {
      super(transport);
      this.callback = callback;
      setProcessor(ConnectionFilter.connecting());
    }

    @Override
    @SuppressWarnings("rawtypes")
    protected void preConfigure(Connection connection) {
      NIOConnection opening = (NIOConnection) connection;
      ConnectionFilter.setHandler(opening, callback.onOpening(new GrizzlyChannel(opening)));
    }

    @SuppressWarnings("rawtypes")
    void connectTo(InetSocketAddress address) {
      connect(
          address,
          new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
              callback.onConnected();
            }

            @Override
            public void failed(Throwable failure) {
              callback.onConnectFailed();
            }
          });
    }
  }
}
