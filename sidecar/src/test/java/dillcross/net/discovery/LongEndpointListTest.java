package dillcross.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillcross.balancer.LoadBalancer;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.TestSettings;
import dillcross.net.FakeNetwork;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Covers the memory that the endpoint list takes: a budget of its own. */
class LongEndpointListTest {
  private static final int LIST_BYTES = 1_000_000; // 1 MiB is accepted
  private static final int PIECE_BYTES = 50_000;

  private final FakeNetwork network = new FakeNetwork();
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new LoadBalancer(
              1,
              TestSettings.of(
                  "",
                  0,
                  1,
                  List.of(TestSettings.READ),
                  new DiscoveryPolicy(true, 5_000_000, false, false),
                  0)));
  private long now = 1_000_000;
  private final DiscoveryClient discovery =
      new DiscoveryClient(network, coordinator, () -> now, "127.0.0.1:1");

  /** Guards against: no drain is seen any more, because clients have used up the memory. */
  @Test
  void readsLongestListBesideCallsThatAreNotAnswered() {
    discovery.configure(1_000_000);
    coordinator.onDiscoveryMoved(now);
    String list = "{\"version\":2,\"full\":true,\"servers\":[]" + " ".repeat(LIST_BYTES) + "}";
    String response = "HTTP/1.1 200 x\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    for (int call = 0; call < 2; call++) {
      runCommands();
      FakeNetwork.FakeChannel channel = network.channels.get(call);
      channel.connect();
      receiveInPieces(channel, response.substring(0, response.length() - 1));
      now += 10_000_000; // the call times out, and stays open beside the next one
      discovery.expire(now);
      now += 10_000_000; // the backoff ends
    }

    network.channels.get(1).receive("}");

    assertEquals(2, coordinator.endpointListVersion());
  }

  private void runCommands() {
    for (NetworkCommand command; (command = coordinator.next(now)) != null; ) {
      if (command instanceof NetworkCommand.WatchEndpoints watch) {
        discovery.watch(watch);
      }
    }
  }

  private static void receiveInPieces(FakeNetwork.FakeChannel channel, String text) {
    for (int start = 0; start < text.length(); start += PIECE_BYTES) {
      channel.receive(text.substring(start, Math.min(text.length(), start + PIECE_BYTES)));
    }
  }
}
