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
 * One TCP link through the fault plane: who asks connects here, and what passes goes on to the one
 * asked. A cut closes nothing and loses nothing: bytes wait, as a cut network's do, until it heals
 * or somebody gives up.
 */
final class TcpFaultProxy implements AutoCloseable {
  private static final int CHUNK = 4096;
  private static final long LOOK_MS = 5;

  private final ServerSocket entrance = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  final AtomicLong connections = new AtomicLong();
  private volatile boolean cutForth; // what the asker sends waits
  private volatile boolean cutBack; // ... what is answered
  private volatile boolean
      deaf; // an end of either side is not passed on: the other keeps a half-open connection
  private volatile long delayMs;
  private volatile int bytesPerS; // 0 for as fast as it goes
  private volatile boolean over;

  TcpFaultProxy(String to) throws IOException {
    int colon = to.lastIndexOf(':');
    target =
        new InetSocketAddress(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1)));
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + entrance.getLocalPort();
  }

  /**
   * Cuts either direction or both, or heals them. New connections are still taken by the plane, as
   * a SYN's answer may be on its way.
   */
  void cut(boolean forth, boolean back) {
    cutForth = forth;
    cutBack = back;
  }

  /** Each chunk is late by so much. */
  void delay(long ms) {
    delayMs = ms;
  }

  /** Whoever reads takes no more than that a second. */
  void slow(int bytesASecond) {
    bytesPerS = bytesASecond;
  }

  /** An end of one side is kept from the other while it lasts. */
  void halfOpen(boolean now) {
    deaf = now;
  }

  /** Ends all that is open, by a reset. */
  void reset() throws IOException {
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!over) {
      try {
        Socket client = entrance.accept();
        connections.incrementAndGet();
        start(() -> join(client));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void join(Socket client) {
    Socket server = new Socket();
    try {
      open.add(client);
      open.add(server);
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      server.connect(target, 2000);
      start(() -> pump(client, server, true));
      pump(server, client, false);
    } catch (IOException nobodyThere) {
      close(client);
      close(server);
    }
  }

  private void pump(Socket from, Socket to, boolean forth) {
    byte[] chunk = new byte[CHUNK];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count; (count = in.read(chunk)) >= 0; ) {
        rest(delayMs);
        while ((forth ? cutForth : cutBack) && !over) {
          rest(LOOK_MS);
        }
        int max = bytesPerS;
        out.write(chunk, 0, count);
        rest(max == 0 ? 0 : 1000L * count / max);
      }
    } catch (IOException broken) {
      // as at its end: the other side hears of it below
    }
    while (deaf && !over) {
      rest(LOOK_MS);
    }
    close(from);
    close(to);
  }

  private static void rest(long ms) {
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
      // nothing is left to close
    }
  }

  @Override
  public void close() throws IOException {
    over = true;
    entrance.close();
    open.forEach(this::close);
  }
}
