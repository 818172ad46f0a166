package dillcross.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.LoadBalancer;
import dillcross.model.BalancerSettings;
import dillcross.model.DeduplicationScope;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import dillcross.model.ServiceObjective;
import dillcross.model.SlowStartPolicy;
import dillcross.sidecar.EndpointEntry;
import dillcross.sidecar.IncomingRequest;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Connections to endpoints between two lines: a clock and a wire that the test moves, so that each
 * crossing is exact.
 */
class EndpointsTest {
  private static final String OK = "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok";

  private final Lines network = new Lines();
  private final List<Lines.Line> lines = network.lines;
  private long now = 1_000_000;
  private long last; // op
  private final RequestCoordinator core =
      new RequestCoordinator(
          new LoadBalancer(
              1,
              new BalancerSettings(
                  "east",
                  0,
                  1,
                  List.of(
                      category("read", Idempotency.IDEMPOTENT),
                      category("once", Idempotency.NON_IDEMPOTENT)),
                  List.of(),
                  new SlowStartPolicy(0.3, 1_000_000, 3, 1_000_000),
                  new RetryPolicy(3, true, true),
                  false,
                  new DiscoveryPolicy(false, 10_000_000, false, false),
                  0,
                  0,
                  new ServiceObjective(0, 0))));
  private final Endpoints endpoints =
      new Endpoints(network, core, () -> now, 100, 1 << 20, new Budget(1 << 20), this::latest);
  private final List<NetworkCommand> answers = new ArrayList<>();
  private final List<Object> looked =
      new ArrayList<>(); // whose ends were looked for before a request went out
  private Runnable meanwhile = () -> {}; // what came since the turn gathered

  EndpointsTest() {
    endpoints.limits(1_000_000, 10_000_000);
    tell("a");
  }

  private void tell(String... ids) {
    core.onEndpointList(
        now,
        1,
        false,
        java.util.Arrays.stream(ids)
            .map(
                id ->
                    new EndpointEntry(
                        new Endpoint(id, Endpoint.Health.UP, 0, 1, "east", 1), "127.0.0.1:1"))
            .toList(),
        false);
  }

  private void latest(Object client) {
    looked.add(client);
    meanwhile.run();
  }

  private static RequestClass category(String name, Idempotency effect) {
    return new RequestClass(name, effect, DeduplicationScope.ALL, 0, 20_000_000, 1, 1);
  }

  private void arrive(String category) {
    last =
        core.onRequest(
            now,
            new IncomingRequest(
                "client",
                Message.request("GET", "/" + category, Map.of("host", "a"), Message.NOTHING),
                null,
                category,
                5_000_000,
                false,
                false));
    turn();
  }

  private void turn() {
    do {
      for (NetworkCommand order; (order = core.next(now)) != null; ) {
        if (order instanceof NetworkCommand.SendAttempt push) {
          endpoints.push(push);
        } else if (order instanceof NetworkCommand.AbandonAttempt giveUp) {
          endpoints.giveUp(giveUp);
        } else {
          answers.add(order);
        }
      }
    } while (endpoints.sendUp());
  }

  private void pass(long us) {
    now += us;
    turn();
  }

  /**
   * A second answer may come milliseconds behind the first: until then nothing goes out on that
   * connection that it could answer.
   */
  @Test
  void aConnectionThatHasJustAnsweredIsNotUsed() {
    arrive("read");
    lines.get(0).up();
    turn();
    lines.get(0).brings(OK);
    turn();
    pass(4_000);
    arrive("read");
    assertEquals(2, lines.size(), "no request goes where a late answer may still come");
    lines.get(0).brings(OK);
    assertFalse(lines.get(0).isOpen(), "it was nobody's");
    lines.get(1).up();
    turn();
    lines.get(1).brings(OK);
    turn();
    pass(10_000);
    arrive("read");
    assertEquals(2, lines.size(), "one that has rested is used again");
    assertEquals(2, lines.get(1).requests());
  }

  /** What is gathered in a turn counts for all of it, also what comes after the connection did. */
  @Test
  void nothingIsSentBeforeAllOfTheTurnIsRead() {
    arrive("read");
    lines.get(0).up();
    core.onEndpointList(
        now,
        2,
        false,
        List.of(
            new EndpointEntry(
                new Endpoint("a", Endpoint.Health.DRAINING, 0, 1, "east", 1), "127.0.0.1:1")),
        false);
    turn();
    assertEquals(0, lines.get(0).requests());
  }

  /**
   * A turn of a starved process takes long: what came meanwhile counts before the first byte, on a
   * free connection as on a new one.
   */
  @ParameterizedTest
  @EnumSource(Meanwhile.class)
  void nothingIsSentBeforeWhatCameMeanwhileIsRead(Meanwhile what) {
    arrive("read");
    lines.get(0).up();
    turn();
    lines.get(0).brings(OK);
    pass(10_000);
    assertEquals(1, lines.get(0).requests());
    meanwhile =
        () -> {
          if (what == Meanwhile.DRAINS) {
            core.onEndpointList(
                now,
                2,
                false,
                List.of(
                    new EndpointEntry(
                        new Endpoint("a", Endpoint.Health.DRAINING, 0, 1, "east", 1),
                        "127.0.0.1:1")),
                false);
          } else {
            core.onClientDisconnected(now, last);
          }
          meanwhile = () -> {};
        };
    arrive("read");
    assertEquals(List.of("client", "client"), looked);
    assertEquals(1, lines.get(0).requests(), "on the connection that was free");
    assertEquals(0, endpoints.exchanges());
  }

  private enum Meanwhile {
    DRAINS,
    LEAVES
  }

  /**
   * It breaks, or speaks, before its request was handed over: that never ran, so an at-most-once op
   * goes elsewhere.
   */
  @ParameterizedTest
  @EnumSource(Early.class)
  void whatWasNotHandedOverNeverRan(Early early) {
    tell("b");
    arrive("once");
    lines.get(0).up();
    if (early == Early.BREAKS) {
      lines.get(0).breaks();
    } else {
      lines.get(0).brings(OK);
    }
    turn();
    assertEquals(0, lines.get(0).requests());
    assertTrue(
        answers.stream()
            .noneMatch(
                o ->
                    o instanceof NetworkCommand.ForwardResponse
                        || o instanceof NetworkCommand.FailRequest),
        "" + answers);
    assertEquals(2, lines.size(), "another endpoint is asked");
  }

  private enum Early {
    BREAKS,
    SPEAKS
  }

  /**
   * A turn that broke after the core counted a push as out: its end is reported all the same, once
   * that is asked for.
   */
  @Test
  void aPushThatNeverCameHereIsOverWhenItIsGivenUp() {
    core.onRequest(
        now,
        new IncomingRequest(
            "client",
            Message.request("GET", "/read", Map.of("host", "a"), Message.NOTHING),
            null,
            "read",
            5_000_000,
            false,
            false));
    while (!(core.next(now) instanceof NetworkCommand.SendAttempt)) {
      // and that order is lost
    }
    pass(5_000_000);
    pass(50_000);
    assertEquals(0, core.trackedRequests(), "nothing is kept of it");
    assertEquals(1, answers.size(), "" + answers);
  }
}
