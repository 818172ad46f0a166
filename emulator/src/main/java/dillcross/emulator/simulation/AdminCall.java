package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import java.util.function.IntConsumer;

/** One POST to a sidecar's admin endpoint. */
final class AdminCall implements SocketEndpoint.Owner {
  private final String path;
  private final IntConsumer onResult;
  private final HttpStreamReader incoming = new HttpStreamReader();

  /** {@code onResult} is given the response's status, or 0 without a complete response. */
  AdminCall(String path, IntConsumer onResult) {
    this.path = path;
    this.onResult = onResult;
  }

  @Override
  public void onConnected(SocketEndpoint end) {
    String requestLine = "POST " + path + " HTTP/1.1";
    end.send(HttpStreamReader.message(requestLine, new byte[0], false, "Host", "admin"), null);
  }

  @Override
  public void onConnectFailed(SocketEndpoint end) {
    onResult.accept(0);
  }

  @Override
  public void onReadable(SocketEndpoint end) {
    byte[] bytes = end.readAll();
    if (bytes.length > 0) {
      incoming.add(bytes, end.firstSentUs());
    }
    if (end.isInputOver()) {
      end.close();
      onResult.accept(incoming.isComplete() ? Integer.parseInt(incoming.startLineWord(1)) : 0);
    }
  }
}
