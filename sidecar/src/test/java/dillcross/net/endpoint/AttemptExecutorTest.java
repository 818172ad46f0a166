package dillcross.net.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.LoadBalancer;
import dillcross.model.DeduplicationScope;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.TestSettings;
import dillcross.net.FakeNetwork;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.connection.InboundRequest;
import dillcross.net.http.HttpRequest;
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
 * Connections to endpoints between two channels: a clock and a wire that the test moves, so that
 * each crossing is exact.
 */
class AttemptExecutorTest {
  private static final String OK = "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok";

  private final FakeNetwork network = new FakeNetwork();
  private final List<FakeNetwork.FakeChannel> channels = network.channels;
  private long now = 1_000_000;
  private long lastRequest; // request
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new LoadBalancer(
              1,
              TestSettings.of(
                  "east",
                  0,
                  1,
                  List.of(
                      requestClass("read", Idempotency.IDEMPOTENT),
                      requestClass("once", Idempotency.NON_IDEMPOTENT)),
                  new DiscoveryPolicy(false, 10_000_000, false, false),
                  0)));
  private final AttemptExecutor executor =
      new AttemptExecutor(
          network,
          coordinator,
          () -> now,
          new EndpointConnectionPool(() -> now, 100),
          1 << 20,
          new MemoryBudget(1 << 20),
          this::readPending);
  private final List<NetworkCommand> answers = new ArrayList<>();
  private final List<Object> checkedClients =
      new ArrayList<>(); // whose ends were looked for before a request went out
  private Runnable meanwhile = () -> {}; // what arrives after the events were gathered

  AttemptExecutorTest() {
    executor.configure(1_000_000, 10_000_000);
    listEndpoints("a");
  }

  private void listEndpoints(String... ids) {
    coordinator.onEndpointList(
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

  private void readPending(Object client) {
    checkedClients.add(client);
    meanwhile.run();
  }

  private static RequestClass requestClass(String name, Idempotency idempotency) {
    return new RequestClass(name, idempotency, DeduplicationScope.ALL, 0, 20_000_000, 1, 1);
  }

  private static InboundRequest request(String requestClass) {
    return new InboundRequest(HttpRequest.get("/" + requestClass, Map.of("host", "a")), null);
  }

  private void arrive(String requestClass) {
    lastRequest =
        coordinator.onRequest(
            now,
            new IncomingRequest(
                "client", request(requestClass), null, requestClass, 5_000_000, false, false));
    iterate();
  }

  private void iterate() {
    do {
      for (NetworkCommand command; (command = coordinator.next(now)) != null; ) {
        if (command instanceof NetworkCommand.SendAttempt attempt) {
          executor.start(attempt);
        } else if (command instanceof NetworkCommand.AbandonAttempt abandon) {
          executor.abandon(abandon);
        } else {
          answers.add(command);
        }
      }
    } while (executor.sendConnected());
  }

  private void pass(long us) {
    now += us;
    iterate();
  }

  /**
   * A second, unsolicited response may come milliseconds after the first: no request is sent on the
   * connection before it would have come.
   */
  @Test
  void aConnectionIsQuarantinedAfterAResponse() {
    arrive("read");
    channels.get(0).connect();
    iterate();
    channels.get(0).receive(OK);
    iterate();
    pass(4_000);
    arrive("read");
    assertEquals(2, channels.size(), "no request goes where a late answer may still come");
    channels.get(0).receive(OK);
    assertFalse(channels.get(0).isOpen(), "its response belongs to no request");
    channels.get(1).connect();
    iterate();
    channels.get(1).receive(OK);
    iterate();
    pass(10_000);
    arrive("read");
    assertEquals(2, channels.size(), "one that has rested is used again");
    assertEquals(2, channels.get(1).requests());
  }

  /** All events of an iteration count before anything is sent, also those after the connect. */
  @Test
  void nothingIsSentBeforeAllEventsAreHandled() {
    arrive("read");
    channels.get(0).connect();
    coordinator.onEndpointList(
        now,
        2,
        false,
        List.of(
            new EndpointEntry(
                new Endpoint("a", Endpoint.Health.DRAINING, 0, 1, "east", 1), "127.0.0.1:1")),
        false);
    iterate();
    assertEquals(0, channels.get(0).requests());
  }

  /**
   * An iteration of a starved process takes long: what arrived meanwhile counts before the first
   * byte, on an idle connection as on a new one.
   */
  @ParameterizedTest
  @EnumSource(Meanwhile.class)
  void nothingIsSentBeforeWhatArrivedMeanwhileIsRead(Meanwhile what) {
    arrive("read");
    channels.get(0).connect();
    iterate();
    channels.get(0).receive(OK);
    pass(10_000);
    assertEquals(1, channels.get(0).requests());
    meanwhile =
        () -> {
          if (what == Meanwhile.DRAINS) {
            coordinator.onEndpointList(
                now,
                2,
                false,
                List.of(
                    new EndpointEntry(
                        new Endpoint("a", Endpoint.Health.DRAINING, 0, 1, "east", 1),
                        "127.0.0.1:1")),
                false);
          } else {
            coordinator.onClientDisconnected(now, lastRequest);
          }
          meanwhile = () -> {};
        };
    arrive("read");
    assertEquals(List.of("client", "client"), checkedClients);
    assertEquals(1, channels.get(0).requests(), "on the connection that was free");
    assertEquals(0, executor.inFlight());
  }

  private enum Meanwhile {
    DRAINS,
    DISCONNECTS
  }

  /**
   * The connection breaks, or brings a response, before the request was sent: the request never
   * ran, so even a non-idempotent one is retried.
   */
  @ParameterizedTest
  @EnumSource(Early.class)
  void anAttemptThatWasNotHandedOverNeverRan(Early early) {
    listEndpoints("b");
    arrive("once");
    channels.get(0).connect();
    if (early == Early.BREAKS) {
      channels.get(0).fail();
    } else {
      channels.get(0).receive(OK);
    }
    iterate();
    assertEquals(0, channels.get(0).requests());
    assertTrue(
        answers.stream()
            .noneMatch(
                o ->
                    o instanceof NetworkCommand.ForwardResponse
                        || o instanceof NetworkCommand.FailRequest),
        "" + answers);
    assertEquals(2, channels.size(), "another endpoint is asked");
  }

  private enum Early {
    BREAKS,
    SPEAKS
  }

  /**
   * An iteration that failed after the coordinator started an attempt: its end is reported once it
   * is abandoned.
   */
  @Test
  void anUnknownAttemptEndsWhenItIsAbandoned() {
    coordinator.onRequest(
        now, new IncomingRequest("client", request("read"), null, "read", 5_000_000, false, false));
    while (!(coordinator.next(now) instanceof NetworkCommand.SendAttempt)) {
      // and that command is lost
    }
    pass(5_000_000);
    pass(50_000);
    assertEquals(0, coordinator.trackedRequests(), "nothing is kept of it");
    assertEquals(1, answers.size(), "" + answers);
  }
}
