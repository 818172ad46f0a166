import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in for an endpoint: reads whole requests, one at a time on a connection. */
final class Endpoint {
  /** What is done with a request whose last byte has come. */
  interface Work {
    void run(Endpoint endpoint, Http.Message request, Socket socket, BufferedInputStream in)
        throws Exception;
  }

  final String id;
  private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
  private final Work work;

  Endpoint(String id, Work work) throws IOException {
    this.id = id;
    this.work = work;
    Tasks.start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  private void accept() throws Exception {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      Tasks.start(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        work.run(this, request, socket, in);
      }
    }
  }

  /** Breaks a connection under a request that has begun. */
  static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
