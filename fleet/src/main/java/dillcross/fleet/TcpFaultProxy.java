package dillcross.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy that injects faults between clients and one target. A cut neither closes connections
 * nor loses bytes: they are held back, as by retransmission on a broken network, until the cut ends
 * or one side closes the connection.
 */
final class TcpFaultProxy implements AutoCloseable {
  private static final int CHUNK = 4096;
  private static final long POLL_INTERVAL_MS = 5;

  private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  final AtomicLong connections = new AtomicLong();
  private volatile boolean cutToTarget; // bytes from client to target are held back
  private volatile boolean cutToClient; // bytes from target to client are held back
  // While true, the close of one side is not passed on: the other keeps a half-open connection.
  private volatile boolean holdBackClose;
  private volatile long delayMs; // delay before each chunk is forwarded; 0 for none
  private volatile int bytesPerS; // limit for each direction of each connection; 0 for none
  private volatile boolean closed;

  /** Listens on a free loopback port at once; {@code to} is the {@code host:port} of the target. */
  TcpFaultProxy(String to) throws IOException {
    int colon = to.lastIndexOf(':');
    target =
        new InetSocketAddress(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1)));
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Sets which directions are cut. The proxy still accepts new connections during a cut, because
   * the SYN-ACK of a real network may already be on its way.
   *
   * @param toTarget true to hold back bytes from client to target
   * @param toClient true to hold back bytes from target to client
   */
  void cut(boolean toTarget, boolean toClient) {
    cutToTarget = toTarget;
    cutToClient = toClient;
  }

  /** Delays each chunk (up to 4096 bytes), in both directions, by {@code ms} milliseconds. */
  void delay(long ms) {
    delayMs = ms;
  }

  /** Limits each direction of each connection to this many bytes per second; 0 for no limit. */
  void limitRate(int maxBytesPerS) {
    bytesPerS = maxBytesPerS;
  }

  /** While {@code enabled} is true, does not pass on the close of one side to the other. */
  void halfOpen(boolean enabled) {
    holdBackClose = enabled;
  }

  /** Closes all open connections with a TCP reset (RST). */
  void reset() throws IOException {
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "tcp-fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket client = listener.accept();
        connections.incrementAndGet();
        start(() -> connect(client));
      } catch (IOException listenerClosed) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    Socket server = new Socket();
    try {
      open.add(client);
      open.add(server);
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      server.connect(target, 2000);
      start(() -> pump(client, server, true));
      pump(server, client, false);
    } catch (IOException unreachable) {
      close(client);
      close(server);
    }
  }

  /**
   * Copies bytes in one direction, applying the faults, until either side closes; then closes both.
   */
  private void pump(Socket from, Socket to, boolean toTarget) {
    byte[] chunk = new byte[CHUNK];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count; (count = in.read(chunk)) >= 0; ) {
        sleep(delayMs);
        while ((toTarget ? cutToTarget : cutToClient) && !closed) {
          sleep(POLL_INTERVAL_MS);
        }
        int max = bytesPerS;
        out.write(chunk, 0, count);
        sleep(max == 0 ? 0 : 1000L * count / max);
      }
    } catch (IOException connectionLost) {
      // Handled like end of stream: both sockets are closed below.
    }
    while (holdBackClose && !closed) {
      sleep(POLL_INTERVAL_MS);
    }
    close(from);
    close(to);
  }

  private static void sleep(long ms) {
    if (ms > 0) {
      try {
        Thread.sleep(ms);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void close(Socket socket) {
    open.remove(socket);
    try {
      socket.close();
    } catch (IOException closedAlready) {
      // no further cleanup is possible
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    open.forEach(this::close);
  }
}
