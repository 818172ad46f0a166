package dillcross.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on loopback with a thread for each connection; records what it received. */
abstract class LoopbackServer implements AutoCloseable {
  private static final int BACKLOG = 200;

  /** The messages that this server received, oldest first. */
  final List<String> requests = Collections.synchronizedList(new ArrayList<>());

  /** The number of connections that this server has accepted. */
  final AtomicInteger acceptedConnections = new AtomicInteger();

  private final ServerSocket server;

  /** Binds a free port; connections are accepted only after {@link #start}. */
  LoopbackServer() {
    try {
      server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Bounds what the kernel takes of what peers send and this server has not read yet. */
  final void limitReceiveBuffer(int bytes) {
    try {
      server.setReceiveBufferSize(bytes); // inherited by accepted connections
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts to accept connections, on a daemon thread that ends when this server is closed. */
  void start() {
    BackgroundTask.start(
        () -> {
          while (true) {
            Socket socket = server.accept();
            acceptedConnections.incrementAndGet();
            BackgroundTask.start(() -> serveAndClose(socket));
          }
        });
  }

  private void serveAndClose(Socket socket) throws Exception {
    try (socket) {
      serve(socket);
    }
  }

  /** Answers the messages of one connection, which is closed once this method returns. */
  abstract void serve(Socket socket) throws Exception;

  /** The numeric address and port of this server. */
  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** The paths of the requests received, oldest first. */
  List<String> requestPaths() {
    return requests.stream().map(HttpMessages::pathOf).toList();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
