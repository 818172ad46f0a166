package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.random.RandomStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Clients that send an invalid request, part of one, or nothing, and close after a while. */
final class InvalidClients {
  private static final long MAX_OPEN_US = 8_000_000;
  private static final int OVERLONG_PATH_BYTES = 9000;
  private static final List<String> INPUTS =
      List.of(
          "\u0001\u0002\u0003 noise\r\n\r\n",
          "GET /",
          "",
          "GET /none/such HTTP/1.1\r\nHost: a\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
          "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
          "GET /" + "y".repeat(OVERLONG_PATH_BYTES) + " HTTP/1.1\r\n",
          "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nhalf");

  private final SimulationContext context;
  private final SidecarProcess sidecar;

  InvalidClients(SimulationContext context, SidecarProcess sidecar) {
    this.context = context;
    this.sidecar = sidecar;
  }

  /** Starts {@code count} clients, each at a time drawn within {@code withinUs} from now. */
  void start(int count, long withinUs, RandomStream random) {
    for (int i = 0; i < count; i++) {
      byte[] input = random.oneOf(INPUTS).getBytes(StandardCharsets.ISO_8859_1);
      context.after(
          random.between(0, withinUs),
          () -> context.network().connect(sidecar.app(), sidecar.address(), new Connection(input)));
    }
  }

  private final class Connection implements SocketEndpoint.Owner {
    private final byte[] input;

    Connection(byte[] input) {
      this.input = input;
    }

    @Override
    public void onConnected(SocketEndpoint end) {
      end.send(input, null);
      context.after(MAX_OPEN_US, end::close);
    }

    @Override
    public void onReadable(SocketEndpoint end) {
      end.readAll();
      if (end.isInputOver()) {
        end.close();
      }
    }
  }
}
