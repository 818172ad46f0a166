import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The network to one endpoint: every byte takes {@code delayMs}. While the endpoint is cut off, open
 * connections stay open and silent and new ones never come up; what was sent meanwhile arrives when
 * it is back, unless its sender has reset the connection before.
 */
final class Proxy {
  private static final int BACKLOG = 1;

  private final ServerSocketChannel server = ServerSocketChannel.open();
  private final int target;
  private final double delayMs;
  private final List<Link> links = new ArrayList<>();
  private final List<SocketChannel> fillers = new ArrayList<>();
  private volatile boolean isCut;

  Proxy(int targetPort, double delayMs) throws IOException {
    this.target = targetPort;
    this.delayMs = delayMs;
    server.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
    server.configureBlocking(false);
    Tasks.start(this::accept);
  }

  int port() throws IOException {
    return ((InetSocketAddress) server.getLocalAddress()).getPort();
  }

  String address() throws IOException {
    return "127.0.0.1:" + port();
  }

  /** Cuts the endpoint off. Connections of its own fill the queue, so that no other comes up. */
  void cut() throws Exception {
    synchronized (links) {
      isCut = true;
    }
    for (int i = 0; i < BACKLOG + 3; i++) {
      SocketChannel filler = SocketChannel.open();
      filler.configureBlocking(false);
      filler.connect(new InetSocketAddress("127.0.0.1", port()));
      fillers.add(filler);
    }
  }

  /** The endpoint is back. */
  void heal() throws IOException {
    for (SocketChannel filler : fillers) {
      filler.close();
    }
    fillers.clear();
    synchronized (links) {
      isCut = false;
      links.notifyAll();
    }
  }

  private void accept() throws Exception {
    while (true) {
      SocketChannel channel = null;
      synchronized (links) {
        if (!isCut) {
          channel = server.accept();
        }
      }
      if (channel == null) {
        Tasks.sleep(0.5);
      } else {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        Socket inner = new Socket(InetAddress.getByName("127.0.0.1"), target);
        inner.setTcpNoDelay(true);
        channel.configureBlocking(true);
        new Link(channel.socket(), inner).start();
      }
    }
  }

  private record Piece(byte[] bytes, long dueNs) {}

  /** One connection through the proxy. */
  private final class Link {
    private final Socket outer;
    private final Socket inner;

    Link(Socket outer, Socket inner) {
      this.outer = outer;
      this.inner = inner;
    }

    void start() {
      Way there = new Way(outer, inner);
      Way back = new Way(inner, outer);
      for (Way way : new Way[] {there, back}) {
        Tasks.start(way::read);
        Tasks.start(way::write);
      }
    }
  }

  /** One direction of a connection. */
  private final class Way {
    private final Socket from;
    private final Socket to;
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private boolean hasEnded;
    private boolean wasReset;

    Way(Socket from, Socket to) {
      this.from = from;
      this.to = to;
    }

    void read() throws Exception {
      byte[] buffer = new byte[16 << 10];
      try {
        for (int n = from.getInputStream().read(buffer);
            n >= 0;
            n = from.getInputStream().read(buffer)) {
          add(new Piece(java.util.Arrays.copyOf(buffer, n), System.nanoTime() + delayNs()));
        }
      } catch (IOException reset) {
        synchronized (pieces) {
          wasReset = true;
          if (isCut) {
            pieces.clear(); // the sender's system sends nothing of it again
          }
        }
      }
      synchronized (pieces) {
        hasEnded = true;
        pieces.notifyAll();
      }
    }

    private long delayNs() {
      return (long) (delayMs * 1e6);
    }

    private void add(Piece piece) {
      synchronized (pieces) {
        pieces.add(piece);
        pieces.notifyAll();
      }
    }

    void write() throws Exception {
      try {
        while (true) {
          Piece next;
          synchronized (pieces) {
            while (pieces.isEmpty() && !hasEnded) {
              pieces.wait();
            }
            next = pieces.peek();
          }
          if (next != null) {
            Tasks.sleep((next.dueNs() - System.nanoTime()) / 1e6);
          }
          awaitHealed();
          synchronized (pieces) {
            next = pieces.poll(); // gone if its sender has reset the connection meanwhile
          }
          if (next != null) {
            to.getOutputStream().write(next.bytes());
          } else if (hasEnded) {
            break;
          }
        }
      } finally {
        Tasks.sleep(delayMs);
        end();
      }
    }

    private void awaitHealed() throws InterruptedException {
      synchronized (links) {
        while (isCut) {
          links.wait();
        }
      }
    }

    private void end() {
      try {
        if (wasReset) {
          Endpoint.reset(to);
        } else {
          to.shutdownOutput();
        }
      } catch (IOException gone) {
        // closed already
      }
    }
  }
}
