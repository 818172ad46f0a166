package dillcross.cli;

import static dillcross.cli.HttpMessages.readHead;

import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;

/** An endpoint that reads request bodies at 64 kB a second, or stops reading, and never answers. */
final class PacedRequestEndpoint extends LoopbackServer {
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  private final int stopsAfterBytes;

  PacedRequestEndpoint(int stopsAfterBytes) {
    this.stopsAfterBytes = stopsAfterBytes;
    limitReceiveBuffer(RECEIVE_BUFFER_BYTES);
  }

  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    requests.add(readHead(in));
    SlowReading.read(in, stopsAfterBytes, Long.MAX_VALUE);
    new CountDownLatch(1).await();
  }
}
