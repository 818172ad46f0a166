package dillcross.cli;

import static dillcross.cli.HttpMessages.pathOf;
import static dillcross.cli.HttpMessages.readMessage;
import static dillcross.cli.HttpMessages.response;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An endpoint whose answers to {@code /long} do not fit into the buffers of sockets. */
final class LongAnswerEndpoint extends LoopbackServer {
  private static final int LONG_BYTES = 16 << 20;
  private static final int SHORT_BYTES = 7_000; // more than a buffer of the sidecar holds at first

  private final byte[] longAnswer = encoded(LONG_BYTES); // one for all connections
  private final byte[] shortAnswer = encoded(SHORT_BYTES);

  private static byte[] encoded(int length) {
    return response(200, "", "x".repeat(length)).getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    for (String request = readMessage(in); !request.isEmpty(); request = readMessage(in)) {
      requests.add(request);
      boolean isLong = pathOf(request).endsWith("/long");
      socket.getOutputStream().write(isLong ? longAnswer : shortAnswer);
    }
  }
}
