package dillcross.emulator.network;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.VirtualClock;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Delays, partitions, segments and the checksum of the emulated network. */
class VirtualNetworkTest {
  private static final long SAME_ZONE_US = 100;
  private static final long OTHER_ZONE_US = 1_000;
  private static final long END_US = 10_000_000;
  private static final String ADDRESS = "127.0.0.1:9000";

  private final VirtualClock clock = new VirtualClock(0);
  private final VirtualNetwork network =
      new VirtualNetwork(clock, RandomStream.of(1), SAME_ZONE_US, OTHER_ZONE_US, 0);
  private final VirtualMachine server = new VirtualMachine("server", "a");
  private final List<String> events = new ArrayList<>();

  private final class Recorder implements SocketEndpoint.Owner {
    private final String name;

    Recorder(String name) {
      this.name = name;
    }

    @Override
    public void onConnected(SocketEndpoint end) {
      events.add(clock.now() + " " + name + " connected");
    }

    @Override
    public void onConnectFailed(SocketEndpoint end) {
      events.add(clock.now() + " " + name + " refused");
    }

    @Override
    public void onReadable(SocketEndpoint end) {
      int count = end.readAll().length;
      events.add(clock.now() + " " + name + " " + state(end, count));
    }

    private String state(SocketEndpoint end, int count) {
      if (end.wasReset()) {
        return "reset";
      }
      return end.isInputOver() ? "end" : count + " bytes";
    }
  }

  private SocketEndpoint connect(String zone) {
    return network.connect(new VirtualMachine("client", zone), ADDRESS, new Recorder("client"));
  }

  private void listen() {
    network.listen(
        ADDRESS,
        new VirtualNetwork.Acceptor() {
          @Override
          public VirtualMachine host() {
            return server;
          }

          @Override
          public void onConnection(SocketEndpoint end) {
            end.setOwner(new Recorder("server"));
          }
        });
  }

  private void run() {
    boolean hasEvents = true;
    while (hasEvents) {
      hasEvents = clock.step(END_US);
    }
  }

  @Test
  void delaysByZone() {
    listen();
    connect("a");
    connect("b");
    run();
    assertEquals(List.of("200 client connected", "2000 client connected"), events);
  }

  @Test
  void refusesWhereNothingListens() {
    connect("a");
    run();
    assertEquals(List.of("200 client refused"), events);
  }

  @Test
  void holdsDataBackDuringPartitionAndDeliversItInOrderAfterwards() {
    listen();
    SocketEndpoint client = connect("b");
    clock.at(2_000, () -> network.partition("b", "a", true));
    clock.at(3_000, () -> client.send(new byte[5], null));
    clock.at(4_000, client::close);
    clock.at(50_000, () -> network.partition("a", "b", false));
    run();
    assertEquals(
        List.of("2000 client connected", "51000 server 5 bytes", "51000 server end"), events);
  }

  @Test
  void dropsHeldBackDataOfSocketClosedWithReset() {
    listen();
    SocketEndpoint client = connect("b");
    clock.at(2_000, () -> network.partition("b", "a", true));
    clock.at(3_000, () -> client.send(new byte[5], null));
    clock.at(4_000, client::reset);
    clock.at(50_000, () -> network.partition("a", "b", false));
    run();
    assertEquals(List.of("2000 client connected", "51000 server reset"), events);
  }

  @Test
  void endsOverlappingPartitionsWithTheLast() {
    listen();
    network.partition("a", "b", true);
    network.partition("a", "b", true);
    connect("b");
    clock.at(5_000, () -> network.partition("a", "b", false));
    clock.at(9_000, () -> network.partition("a", "b", false));
    run();
    assertEquals(List.of("11000 client connected"), events);
  }

  @Test
  void deliversDataInSegmentsAndReportsWhenTheLastWasRead() {
    listen();
    SocketEndpoint client = connect("a");
    clock.at(200, () -> network.setMaxSegmentBytes(4));
    clock.at(300, () -> client.send(new byte[10], () -> events.add(clock.now() + " read")));
    run();
    assertEquals(
        List.of(
            "200 client connected",
            "400 server 4 bytes",
            "400 server 4 bytes",
            "400 read",
            "400 server 2 bytes"),
        events);
  }

  @Test
  void machineThatIsOffNeitherAnswersNorRefuses() {
    listen();
    network.turnOff(server);
    connect("a");
    run();
    assertEquals(List.of(), events);
  }

  @Test
  void resetsConnectionsOfKilledProcess() {
    listen();
    connect("a");
    clock.at(1_000, () -> network.resetConnections(server));
    run();
    assertEquals(List.of("200 client connected", "1100 client reset"), events);
    assertEquals(0, server.connectionCount());
  }

  @Test
  void checksumDependsOnBytesTimeAndDirection() {
    SocketEndpoint near = new SocketEndpoint(network, server, 5, true);
    SocketEndpoint far = new SocketEndpoint(network, server, 5, false);
    long reference = checksum(1, near, 7);
    assertEquals(reference, checksum(1, near, 7));
    assertNotEquals(reference, checksum(2, near, 7));
    assertNotEquals(reference, checksum(1, far, 7));
    assertNotEquals(reference, checksum(1, near, 8));
  }

  private static long checksum(long nowUs, SocketEndpoint from, int value) {
    TrafficChecksum checksum = new TrafficChecksum();
    checksum.add(nowUs, from, new byte[] {(byte) value});
    return checksum.value();
  }

  @Test
  void limitsUnreadDataToTheWindow() {
    listen();
    SocketEndpoint client = connect("a");
    run();
    byte[] bytes = new byte[300 << 10];
    ByteBuffer output = ByteBuffer.wrap(bytes);
    assertTrue(client.send(output));
    assertEquals(bytes.length - (256 << 10), output.remaining());
    assertArrayEquals(new byte[0], client.readAll());
  }
}
