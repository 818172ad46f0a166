package dillcross.cli;

import static dillcross.cli.HttpMessages.readMessage;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An endpoint that sends the first bytes of a long answer at once, and the rest at 64 kB/s. */
final class TricklingEndpoint extends LoopbackServer {
  /** The length of each answer's body. */
  static final int BODY_BYTES = 300_000;

  private static final int FIRST_BYTES = 70_000; // more than is buffered before it is forwarded
  private static final int PIECE_BYTES = 6_400;
  private static final long PIECE_INTERVAL_MS = 100;

  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    OutputStream out = socket.getOutputStream();
    byte[] answer =
        HttpMessages.response(200, "", "x".repeat(BODY_BYTES))
            .getBytes(StandardCharsets.ISO_8859_1);
    for (String request = readMessage(in); !request.isEmpty(); request = readMessage(in)) {
      requests.add(request);
      out.write(answer, 0, FIRST_BYTES);
      for (int sent = FIRST_BYTES; sent < answer.length; sent += PIECE_BYTES) {
        Thread.sleep(PIECE_INTERVAL_MS);
        out.write(answer, sent, Math.min(PIECE_BYTES, answer.length - sent));
      }
    }
  }
}
