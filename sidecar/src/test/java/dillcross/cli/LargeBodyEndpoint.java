package dillcross.cli;

import static dillcross.cli.HttpMessages.contentLength;
import static dillcross.cli.HttpMessages.pathOf;
import static dillcross.cli.HttpMessages.readHead;
import static dillcross.cli.HttpMessages.response;
import static dillcross.cli.HttpMessages.send;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;

/**
 * An endpoint that answers {@code /read/N} with N bytes, as fast as they are taken, and reads
 * request bodies slowly.
 */
final class LargeBodyEndpoint extends LoopbackServer {
  private static final int BLOCK_BYTES = 64_000;

  private final long slowMs;

  /**
   * Creates an endpoint.
   *
   * @param slowMs for how long it reads each request body at 64 kB a second
   */
  LargeBodyEndpoint(long slowMs) {
    this.slowMs = slowMs;
  }

  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
      requests.add(head);
      OptionalInt length = contentLength(head);
      if (length.isPresent()) {
        SlowReading.read(in, length.getAsInt(), slowMs);
        send(socket, response(200, "", ""));
      } else {
        String path = pathOf(head);
        sendBody(socket, Integer.parseInt(path.substring(path.lastIndexOf('/') + 1)));
      }
    }
  }

  private static void sendBody(Socket socket, int bytes) throws Exception {
    OutputStream out = socket.getOutputStream();
    String head = "HTTP/1.1 200 x\r\nContent-Length: " + bytes + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    byte[] block = new byte[BLOCK_BYTES];
    for (int sent = 0; sent < bytes; sent += BLOCK_BYTES) {
      out.write(block, 0, Math.min(BLOCK_BYTES, bytes - sent));
    }
  }
}
