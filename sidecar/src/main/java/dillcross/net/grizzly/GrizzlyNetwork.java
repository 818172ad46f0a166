package dillcross.net.grizzly;

import dillcross.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** Sockets of this machine, on one selector thread. */
public final class GrizzlyNetwork implements Network {
  private static final int BACKLOG = 1024;
  private static final Logger LOG = Logger.getLogger(GrizzlyNetwork.class.getName());
  private TCPNIOTransport transport;
  private Loop loop;

  @Override
  public void start(Turns turns) throws IOException {
    loop = new Loop(turns);
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
  public void wake() {
    loop.wake();
  }

  @Override
  public boolean inherits() throws IOException {
    return System.inheritedChannel() instanceof ServerSocketChannel;
  }

  @Override
  public Entrance bind(InetSocketAddress at, Taker taker) throws IOException {
    int[] taken = new int[1];
    TCPNIOBindingHandler binder =
        TCPNIOBindingHandler.builder(transport)
            .processor(
                EarFilter.chain(
                    wire -> {
                      taken[0]++;
                      return taker.accepted(wire);
                    }))
            .build();
    return new ServerSocket(
        at == null ? binder.bindToInherited() : binder.bind(at, BACKLOG), taken);
  }

  @Override
  public Datagrams datagrams(InetSocketAddress at, int most, Hearer hearer) throws IOException {
    GrizzlyDatagrams socket = new GrizzlyDatagrams(at, most, hearer);
    loop.waitsFor(socket);
    return socket;
  }

  private static final class ServerSocket implements Entrance {
    private final TCPNIOServerConnection server;
    private final int[] taken; // how many connections
    private boolean accepting = true;

    ServerSocket(TCPNIOServerConnection server, int[] taken) {
      this.server = server;
      this.taken = taken;
    }

    @Override
    public String address() {
      InetSocketAddress own = (InetSocketAddress) server.getLocalAddress();
      return own.getAddress().getHostAddress() + ":" + own.getPort();
    }

    @Override
    public boolean isOpen() {
      return server.isOpen();
    }

    @Override
    public void accepts(boolean now) throws IOException {
      accepting = now;
      if (now) {
        server.enableIOEvent(IOEvent.SERVER_ACCEPT);
      } else {
        server.disableIOEvent(IOEvent.SERVER_ACCEPT);
      }
    }

    @Override
    public void close() {
      try {
        for (int before = -1;
            accepting && before != taken[0]; ) { // an accept takes one at the most
          before = taken[0];
          server.onAccept();
        }
      } catch (IOException full) {
        LOG.warning("connections that wait can't be taken before the end: " + full);
      }
      server.closeSilently();
    }
  }

  @Override
  public void connect(InetSocketAddress to, Asker asker) {
    new Connector(transport, asker).connectTo(to);
  }

  /** One call to connect: its asker hears of the connection before it is up. */
  private static final class Connector extends TCPNIOConnectorHandler {
    private final Asker asker;

    Connector(TCPNIOTransport transport, Asker asker) {
      super(transport);
      this.asker = asker;
      setProcessor(EarFilter.chain(null));
    }

    @Override
    @SuppressWarnings("rawtypes")
    protected void preConfigure(Connection connection) {
      EarFilter.EAR.set(connection, asker.opening(new GrizzlyWire((NIOConnection) connection)));
    }

    @SuppressWarnings("rawtypes")
    void connectTo(InetSocketAddress to) {
      connect(
          to,
          new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
              asker.up();
            }

            @Override
            public void failed(Throwable broken) {
              asker.failed();
            }
          });
    }
  }
}
