package dillcross.cli;

import static dillcross.cli.HttpMessages.pathOf;
import static dillcross.cli.HttpMessages.readMessage;
import static dillcross.cli.HttpMessages.response;
import static dillcross.cli.HttpMessages.send;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An endpoint whose accept queue is full until a test drains it, so that an attempt waits for its
 * connection to be established.
 */
final class LateEndpoint implements AutoCloseable {
  private static final int FILLING_CONNECTIONS = 2; // a backlog of 1 holds two connections
  private static final int READ_TIMEOUT_MS = 20_000;

  /** The paths of the requests received, oldest first. */
  final List<String> requestPaths = Collections.synchronizedList(new ArrayList<>());

  private final ServerSocket server;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** Binds a free port and fills the accept queue. */
  LateEndpoint() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    for (int i = 0; i < FILLING_CONNECTIONS; i++) {
      sockets.add(new Socket(server.getInetAddress(), server.getLocalPort()));
    }
  }

  /** The numeric address and port of this endpoint. */
  String address() {
    return "127.0.0.1:" + port();
  }

  /** The port on which this endpoint listens. */
  int port() {
    return server.getLocalPort();
  }

  /** Accepts the connections that fill the queue, so that the sidecar's can be established. */
  void drainQueue() throws IOException {
    for (int i = 0; i < FILLING_CONNECTIONS; i++) {
      server.accept().close();
    }
  }

  /** Drains the queue, and accepts the connection that waited for it. */
  Socket acceptWaiting() throws IOException {
    drainQueue();
    return accept();
  }

  /** Drains the queue, and answers all requests from now on. */
  void drainQueueAndServe() throws IOException {
    drainQueue();
    serve();
  }

  /** Accepts connections from now on, and answers their requests. */
  void serve() {
    BackgroundTask.start(
        () -> {
          while (true) {
            serve(accept());
          }
        });
  }

  /** Answers the requests of one connection. */
  void serve(Socket socket) {
    BackgroundTask.start(
        () -> {
          InputStream in = socket.getInputStream();
          for (String request = readMessage(in); !request.isEmpty(); request = readMessage(in)) {
            requestPaths.add(pathOf(request));
            send(socket, response(200, "", TestEndpoint.BODY));
          }
        });
  }

  private Socket accept() throws IOException {
    Socket socket = server.accept();
    socket.setSoTimeout(READ_TIMEOUT_MS);
    sockets.add(socket);
    return socket;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
