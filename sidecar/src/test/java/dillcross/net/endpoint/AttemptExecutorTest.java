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
import dillcross.net.buffer.MemoryHold;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.connection.InboundRequest;
import dillcross.net.events.RequestEvents;
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
 * Covers what an attempt does when other events happen at the same time. The test controls the
 * clock and the network, so that the order of events is exact.
 */
class AttemptExecutorTest {
  private static final String OK = "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok";

  private static final int BUDGET_BYTES = 1 << 20;

  private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
  private final FakeNetwork network = new FakeNetwork();
  private final List<FakeNetwork.FakeChannel> channels = network.channels;
  private long now = 1_000_000;
  private long lastRequestId;
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
          budget,
          this::checkClient,
          new RequestEvents(() -> now));
  // The commands of the coordinator that are not for the executor.
  private final List<NetworkCommand> otherCommands = new ArrayList<>();
  private boolean isClientConnected = true;
  // The clients whose input was read before an attempt was sent, in order.
  private final List<Object> checkedClients = new ArrayList<>();
  // An event that arrives while the iteration runs: it is found when pending input is read.
  private Runnable pendingEvent = () -> {};

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
                        new Endpoint(id, Endpoint.Health.UP, 0, 1, "east", 1), addressOf(id)))
            .toList(),
        false);
  }

  /** The address of the endpoint "a", "b", and so on; that of "a" has port 1. */
  private static String addressOf(String id) {
    return "127.0.0.1:" + (id.charAt(0) - 'a' + 1);
  }

  private boolean checkClient(Object client) {
    checkedClients.add(client);
    pendingEvent.run();
    return isClientConnected;
  }

  private static RequestClass requestClass(String name, Idempotency idempotency) {
    return new RequestClass(name, idempotency, DeduplicationScope.ALL, 0, 20_000_000, 1, 1);
  }

  private static InboundRequest request(String requestClass) {
    return new InboundRequest(HttpRequest.get("/" + requestClass, Map.of("host", "a")));
  }

  private void receiveRequest(String requestClass) {
    lastRequestId =
        coordinator.onRequest(
            now,
            new IncomingRequest(
                "client", request(requestClass), null, requestClass, 5_000_000, false, false));
    runIteration();
  }

  private void runIteration() {
    do {
      for (NetworkCommand command; (command = coordinator.next(now)) != null; ) {
        if (command instanceof NetworkCommand.SendAttempt attempt) {
          executor.start(attempt);
        } else if (command instanceof NetworkCommand.AbandonAttempt abandon) {
          executor.abandon(abandon);
        } else {
          otherCommands.add(command);
        }
      }
    } while (executor.sendConnected());
  }

  private void advanceClock(long us) {
    now += us;
    runIteration();
  }

  /**
   * An endpoint may send a second, unsolicited response some milliseconds after the first. No
   * request is sent on the connection in that time, because the second response would be taken for
   * its response.
   */
  @Test
  void doesNotReuseAConnectionRightAfterAResponse() {
    receiveRequest("read");
    channels.get(0).connect();
    runIteration();
    channels.get(0).receive(OK);
    runIteration();
    advanceClock(4_000);
    receiveRequest("read");
    assertEquals(
        2,
        channels.size(),
        "a new connection, because a late response may still arrive on the first");
    channels.get(0).receive(OK);
    assertFalse(channels.get(0).isOpen(), "closed by a response that belongs to no request");
    channels.get(1).connect();
    runIteration();
    channels.get(1).receive(OK);
    runIteration();
    advanceClock(10_000);
    receiveRequest("read");
    assertEquals(2, channels.size(), "the second connection is reused after its quarantine");
    assertEquals(2, channels.get(1).requests());
  }

  /**
   * The endpoint starts to drain in the iteration in which the connection to it is established, and
   * the update is handled after the connect: the attempt is not sent.
   */
  @Test
  void handlesAllEventsBeforeItSends() {
    receiveRequest("read");
    channels.get(0).connect();
    coordinator.onEndpointList(
        now,
        2,
        false,
        List.of(
            new EndpointEntry(
                new Endpoint("a", Endpoint.Health.DRAINING, 0, 1, "east", 1), "127.0.0.1:1")),
        false);
    runIteration();
    assertEquals(0, channels.get(0).requests());
  }

  /**
   * An iteration takes long in a process that gets little CPU time. Events that arrive during it
   * apply before the first byte is sent, also on an idle connection, which needs no connect.
   */
  @ParameterizedTest
  @EnumSource(PendingEvent.class)
  void readsPendingInputBeforeItSends(PendingEvent event) {
    receiveRequest("read");
    channels.get(0).connect();
    runIteration();
    channels.get(0).receive(OK);
    advanceClock(10_000);
    assertEquals(1, channels.get(0).requests());
    pendingEvent =
        () -> {
          if (event == PendingEvent.ENDPOINT_DRAINS) {
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
            coordinator.onClientDisconnected(now, lastRequestId);
          }
          pendingEvent = () -> {};
        };
    receiveRequest("read");
    assertEquals(List.of("client", "client"), checkedClients);
    assertEquals(1, channels.get(0).requests(), "no second request on the idle connection");
    assertEquals(0, executor.inFlight());
  }

  private enum PendingEvent {
    ENDPOINT_DRAINS,
    CLIENT_DISCONNECTS
  }

  /**
   * The connection breaks, or a response arrives on it, before the request was sent. The request
   * did not run, so even a non-idempotent one is retried.
   */
  @ParameterizedTest
  @EnumSource(EarlyEvent.class)
  void retriesAnAttemptThatWasNotSent(EarlyEvent event) {
    listEndpoints("b");
    receiveRequest("once");
    channels.get(0).connect();
    if (event == EarlyEvent.CONNECTION_BREAKS) {
      channels.get(0).fail();
    } else {
      channels.get(0).receive(OK);
    }
    runIteration();
    assertEquals(0, channels.get(0).requests());
    assertTrue(
        otherCommands.stream()
            .noneMatch(
                o ->
                    o instanceof NetworkCommand.ForwardResponse
                        || o instanceof NetworkCommand.FailRequest),
        "" + otherCommands);
    assertEquals(2, channels.size(), "the retry goes to another endpoint");
  }

  private enum EarlyEvent {
    CONNECTION_BREAKS,
    RESPONSE_ARRIVES
  }

  /**
   * An iteration fails after the coordinator has started an attempt and before the executor has
   * learned of it. The coordinator abandons the attempt later, and the executor reports its end;
   * the coordinator would otherwise keep the request forever.
   */
  @Test
  void reportsTheEndOfAnUnknownAttemptThatIsAbandoned() {
    coordinator.onRequest(
        now, new IncomingRequest("client", request("read"), null, "read", 5_000_000, false, false));
    while (!(coordinator.next(now) instanceof NetworkCommand.SendAttempt)) {
      // the command that starts the attempt is not carried out
    }
    advanceClock(5_000_000);
    advanceClock(50_000);
    assertEquals(0, coordinator.trackedRequests(), "the request is not tracked any more");
    assertEquals(1, otherCommands.size(), "" + otherCommands);
  }

  /**
   * Guards against: this sidecar's lack of memory counts as a failure of the endpoint. The request
   * is rejected before it is forwarded, and the connection is kept.
   */
  @Test
  void rejectsRequestThatThereIsNoMemoryToForward() {
    RingBuffer taken = new RingBuffer(BUDGET_BYTES, budget, MemoryUse.RESPONSE_OUTPUT);
    taken.add(new byte[BUDGET_BYTES]);
    HttpRequest large =
        HttpRequest.of(HttpRequest.POST, "/read", Map.of("host", "a"), new byte[60_000]);
    coordinator.onRequest(
        now,
        new IncomingRequest(
            "client", new InboundRequest(large), null, "read", 5_000_000, false, false));
    runIteration();
    channels.get(0).connect();
    runIteration();

    assertEquals(0, channels.get(0).requests());
    assertTrue(otherCommands.get(0) instanceof NetworkCommand.RejectRequest, "" + otherCommands);
    taken.release();
    advanceClock(10_000); // until the connection may be reused
    receiveRequest("read");
    assertEquals(1, channels.get(0).requests(), "the endpoint and its connection are still used");
  }

  /** Guards against: requests of clients that have gone fill the heap, while attempts go on. */
  @Test
  void countsMemoryOfRequestUntilItsLastAttemptHasEnded() {
    MemoryHold hold = new MemoryHold(budget);
    hold.add(5000);
    InboundRequest inbound = new InboundRequest(request("read").request(), null, hold);
    coordinator.onRequest(
        now, new IncomingRequest("client", inbound, null, "read", 5_000_000, false, false));
    runIteration();
    channels.get(0).connect();
    runIteration();

    inbound.release(); // the client needs it no more
    assertEquals(5000, budget.taken());

    channels.get(0).receive(OK);
    runIteration();
    assertEquals(0, budget.taken());
  }

  /** Guards against: a request is sent, or tried again, though its client may have left. */
  @Test
  void doesNotSendWhileItIsNotKnownWhetherTheClientIsConnected() {
    listEndpoints("a", "b");
    isClientConnected = false;
    receiveRequest("read");
    runIteration();
    channels.get(0).connect();
    runIteration();

    assertEquals(0, channels.get(0).requests());
    assertEquals(1, channels.size(), "no other endpoint is tried");
    assertTrue(
        otherCommands.stream().anyMatch(NetworkCommand.RejectRequest.class::isInstance),
        otherCommands.toString());
  }
}
