package dillcross.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.LoadBalancer;
import dillcross.model.DeduplicationScope;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.TestSettings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class RequestCoordinatorTest {
  private static final long TIMEOUT_US = 500_000;
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new LoadBalancer(
              1,
              TestSettings.of(
                  "east",
                  0,
                  1,
                  List.of(
                      new RequestClass(
                          "buy",
                          Idempotency.IDEMPOTENT_WITH_KEY,
                          DeduplicationScope.CELL,
                          2_000_000,
                          400_000,
                          1,
                          1),
                      TestSettings.READ,
                      new RequestClass(
                          "once",
                          Idempotency.NON_IDEMPOTENT,
                          DeduplicationScope.ALL,
                          0,
                          400_000,
                          1,
                          1)),
                  new DiscoveryPolicy(true, 10_000_000, false, false),
                  1_000_000)));
  private long now = 1_000_000_000;
  private WriteProgress progressWhenAbandoned =
      WriteProgress.FULLY_WRITTEN; // of an attempt that the core gives up
  private boolean
      withoutReports; // the network reports a given-up attempt at once, unless this is set

  private static EndpointEntry listed(String id, Health health, String address) {
    return new EndpointEntry(new Endpoint(id, health, 0, 1, "east", 1), address);
  }

  private List<NetworkCommand> pull() {
    List<NetworkCommand> commands = new ArrayList<>();
    for (NetworkCommand command; (command = coordinator.next(now)) != null; ) {
      commands.add(command);
      if (command instanceof NetworkCommand.AbandonAttempt up && !withoutReports) {
        coordinator.onAttemptEnded(
            now,
            up.requestId(),
            up.attempt(),
            new AttemptResult(AttemptResult.Kind.ABANDONED, progressWhenAbandoned, null));
      }
    }
    return commands;
  }

  private List<NetworkCommand> pass(long us) {
    List<NetworkCommand> commands = pull();
    for (long end = now + us; coordinator.nextTimerUs() <= end; ) {
      now = Math.max(now, coordinator.nextTimerUs());
      commands.addAll(pull());
    }
    return commands;
  }

  private NetworkCommand.SendAttempt sendFirstAttempt(String requestClass) {
    coordinator.onRequest(
        now,
        new IncomingRequest("client", "content", null, requestClass, TIMEOUT_US, false, false));
    return pull().stream()
        .filter(o -> o instanceof NetworkCommand.SendAttempt)
        .map(o -> (NetworkCommand.SendAttempt) o)
        .findFirst()
        .orElseThrow();
  }

  private static <T extends NetworkCommand> List<T> only(
      Class<T> kind, List<NetworkCommand> commands) {
    return commands.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private static String answers(List<NetworkCommand> commands) {
    return String.join(
        " ",
        commands.stream()
            .filter(
                o ->
                    !(o instanceof NetworkCommand.SendAttempt
                        || o instanceof NetworkCommand.AbandonAttempt
                        || o instanceof NetworkCommand.WatchEndpoints
                        || o instanceof NetworkCommand.CloseConnections))
            .map(o -> o.getClass().getSimpleName())
            .toList());
  }

  /**
   * Each row of the protocol's outcomes: what never ran may be tried again by the client, what may
   * have run not.
   */
  @ParameterizedTest
  @CsvSource({
    "buy,SUCCEEDED,FULLY_WRITTEN,ForwardResponse",
    "buy,ERROR,FULLY_WRITTEN,FailRequest",
    "buy,OVERLOADED,FULLY_WRITTEN,RejectRequest",
    "buy,CONNECTION_BROKEN,NOT_CONNECTED,RejectRequest",
    "buy,NOT_SENT,NOT_CONNECTED,RejectRequest",
    "buy,CONNECTION_BROKEN,PARTIALLY_WRITTEN,RejectRequest",
    "buy,CONNECTION_BROKEN,FULLY_WRITTEN,FailRequest",
    "once,ERROR,FULLY_WRITTEN,FailRequest",
    "once,OVERLOADED,FULLY_WRITTEN,RejectRequest",
    "once,CONNECTION_BROKEN,PARTIALLY_WRITTEN,RejectRequest",
    "once,CONNECTION_BROKEN,FULLY_WRITTEN,FailRequest",
    "read,SUCCEEDED,FULLY_WRITTEN,ForwardResponse",
    "read,CLIENT_ERROR,FULLY_WRITTEN,ForwardClientError",
    "buy,CLIENT_ERROR,FULLY_WRITTEN,ForwardClientError",
    "read,ERROR,FULLY_WRITTEN,RejectRequest",
    "read,CONNECTION_BROKEN,FULLY_WRITTEN,RejectRequest"
  })
  void eachOutcomeGetsItsAnswer(
      String requestClass, AttemptResult.Kind kind, WriteProgress progress, String answer) {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    NetworkCommand.SendAttempt attempt = sendFirstAttempt(requestClass);
    coordinator.onAttemptEnded(
        now += 10_000,
        attempt.requestId(),
        attempt.attempt(),
        new AttemptResult(kind, progress, "body"));
    List<NetworkCommand> commands = pull();
    assertEquals(answer, answers(commands), commands::toString);
    only(NetworkCommand.ForwardResponse.class, commands)
        .forEach(a -> assertEquals(new NetworkCommand.ForwardResponse("client", "body"), a));
    assertEquals("", answers(pass(5_000_000)), "one final answer only");
    assertEquals(0, coordinator.openRequests());
  }

  @ParameterizedTest
  @CsvSource({
    "buy,FULLY_WRITTEN,FailRequest",
    "buy,PARTIALLY_WRITTEN,RejectRequest",
    "buy,NOT_CONNECTED,RejectRequest",
    "once,FULLY_WRITTEN,FailRequest",
    "once,PARTIALLY_WRITTEN,RejectRequest",
    "read,FULLY_WRITTEN,RejectRequest"
  })
  void attemptsAreAbandonedAndAnsweredAtTheDeadline(
      String requestClass, WriteProgress progress, String answer) {
    progressWhenAbandoned = progress;
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    long endUs = now + TIMEOUT_US;
    NetworkCommand.SendAttempt attempt = sendFirstAttempt(requestClass);
    assertEquals(endUs, attempt.deadlineUs());
    assertEquals(answer, answers(pass(TIMEOUT_US)));
    assertEquals(endUs, now, "at its TTL, not later");
  }

  /** A network that does not even report must not leave a client without an answer. */
  @Test
  void aRequestThatNothingAnswersFails() {
    withoutReports = true;
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    sendFirstAttempt("buy");
    assertEquals("FailRequest", answers(pass(TIMEOUT_US + 50_000)));
    assertEquals(0, coordinator.openRequests());
  }

  /**
   * An answer that has begun is passed on past the deadline, answered once, and how it ended is
   * told; FORGET is the client leaving.
   */
  @ParameterizedTest
  @CsvSource({
    "SUCCEEDED,StartStreaming FinishStreaming,true",
    "CONNECTION_BROKEN,StartStreaming FinishStreaming,false",
    "ABANDONED,StartStreaming,false"
  })
  void aStreamingAnswerHasNoDeadline(AttemptResult.Kind end, String answers, boolean complete) {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    NetworkCommand.SendAttempt attempt = sendFirstAttempt("read");
    assertTrue(
        coordinator.onResponseStarted(
            now += 10_000, attempt.requestId(), attempt.attempt(), "head"));
    assertFalse(
        coordinator.onResponseStarted(now, attempt.requestId(), attempt.attempt(), "head"), "once");
    List<NetworkCommand> commands = pass(20 * TIMEOUT_US);
    assertEquals(0, only(NetworkCommand.AbandonAttempt.class, commands).size());
    assertEquals(1, coordinator.openRequests());
    if (end == AttemptResult.Kind.ABANDONED) {
      coordinator.onClientDisconnected(now, attempt.requestId());
    } else {
      coordinator.onAttemptEnded(
          now,
          attempt.requestId(),
          attempt.attempt(),
          new AttemptResult(end, WriteProgress.FULLY_WRITTEN, "head"));
    }
    commands.addAll(pass(TIMEOUT_US));
    assertEquals(answers, answers(commands));
    only(NetworkCommand.FinishStreaming.class, commands)
        .forEach(p -> assertEquals(complete, p.complete()));
    assertEquals(0, coordinator.openRequests());
  }

  /**
   * While its content comes a request has no deadline; what nobody takes is given up all the same.
   */
  @Test
  void theDeadlineCountsFromTheLastByte() {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    long request =
        coordinator.onRequest(
            now, new IncomingRequest("client", "content", null, "buy", TIMEOUT_US, false, true));
    assertEquals("", answers(pass(10 * TIMEOUT_US)), "not while it comes");
    coordinator.onBodyReleased(now, request);
    coordinator.onBodyComplete(now, request);
    long from = now;
    assertEquals("FailRequest", answers(pass(TIMEOUT_US)));
    assertEquals(from + TIMEOUT_US, now);
    progressWhenAbandoned = WriteProgress.PARTIALLY_WRITTEN;
    long stalled =
        coordinator.onRequest(
            now, new IncomingRequest("client", "content", null, "buy", TIMEOUT_US, false, true));
    pull();
    coordinator.onBodyReleased(now, stalled);
    coordinator.onBodyStalled(stalled);
    assertEquals("RejectRequest", answers(pull()));
  }

  @Test
  void aClientThatLeftIsOwedNothing() {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    NetworkCommand.SendAttempt attempt = sendFirstAttempt("buy");
    coordinator.onClientDisconnected(now, attempt.requestId());
    List<NetworkCommand> commands = pull();
    assertEquals(
        1, only(NetworkCommand.AbandonAttempt.class, commands).size(), "its push is called back");
    assertEquals("", answers(commands) + answers(pass(TIMEOUT_US)));
    coordinator.onAttemptEnded(
        now,
        attempt.requestId(),
        attempt.attempt(),
        new AttemptResult(AttemptResult.Kind.SUCCEEDED, WriteProgress.FULLY_WRITTEN, "late"));
    assertEquals("", answers(pull()), "nor what comes late");
  }

  /** The id is who it is; the address is where it is now. */
  @Test
  void attemptsGoToTheAddressLastListed() {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    assertEquals("h:1", sendFirstAttempt("read").address());
    coordinator.onEndpointList(now, 2, false, List.of(listed("a", Health.UP, "h:2")), false);
    assertEquals("h:2", sendFirstAttempt("read").address());
  }

  /**
   * Nothing that is open to an endpoint outlives it: not to another at its address, not to its next
   * process.
   */
  @ParameterizedTest
  @CsvSource({
    "a,UP,h:1,0,false,''",
    "a,UP,h:1,0,true,''",
    "a,UP,h:2,0,false,a",
    "a,DRAINING,h:1,0,false,a",
    "a,REMOVED,h:1,0,false,a",
    "a,UP,h:1,5,false,a",
    "b,UP,h:1,0,false,''",
    "b,UP,h:1,0,true,a"
  })
  void connectionsAreClosedWhenAnEndpointLeavesMovesOrRestarts(
      String id,
      Health health,
      String address,
      long startedUs,
      boolean complete,
      String forgotten) {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    pull();
    coordinator.onEndpointList(
        now,
        2,
        complete,
        List.of(new EndpointEntry(new Endpoint(id, health, startedUs, 1, "east", 1), address)),
        false);
    assertEquals(
        forgotten,
        String.join(
            " ",
            only(NetworkCommand.CloseConnections.class, pull()).stream()
                .map(NetworkCommand.CloseConnections::endpoint)
                .toList()));
  }

  @Test
  void aWatchGoesOnAfterEachAnswer() {
    coordinator.onEndpointList(now, 7, true, List.of(listed("a", Health.UP, "h:1")), false);
    assertEquals(
        List.of(new NetworkCommand.WatchEndpoints(7)),
        only(NetworkCommand.WatchEndpoints.class, pass(4_000_000)),
        "the module asks once");
    coordinator.onEndpointList(now, 8, false, List.of(listed("b", Health.UP, "h:2")), true);
    long health = now;
    assertEquals(
        List.of(new NetworkCommand.WatchEndpoints(8)),
        only(NetworkCommand.WatchEndpoints.class, pass(200_000)),
        "and then it goes on");
    assertTrue(now - health <= 200_000);
    coordinator.onEndpointList(now, 3, false, List.of(), true);
    assertEquals(
        List.of(new NetworkCommand.WatchEndpoints(0)),
        only(NetworkCommand.WatchEndpoints.class, pass(200_000)),
        "numbers that began anew");
  }

  /**
   * An answer from before what is held, or of numbers that began anew, must not bring back what
   * drains.
   */
  @Test
  void anOlderAnswerUndoesNoDrain() {
    coordinator.onEndpointList(
        now, 1, true, List.of(listed("a", Health.UP, "h:1"), listed("b", Health.UP, "h:2")), false);
    pass(4_000_000);
    coordinator.onEndpointList(now, 9, false, List.of(listed("a", Health.DRAINING, "h:1")), true);
    pass(200_000);
    coordinator.onEndpointList(now, 8, false, List.of(listed("a", Health.UP, "h:1")), true);
    assertEquals(
        List.of(new NetworkCommand.WatchEndpoints(0)),
        only(NetworkCommand.WatchEndpoints.class, pass(200_000)),
        "all of it is asked for");
    for (int i = 0; i < 20; i++) {
      NetworkCommand.SendAttempt attempt = sendFirstAttempt("read");
      assertEquals("b", attempt.endpoint());
      coordinator.onAttemptEnded(
          now,
          attempt.requestId(),
          attempt.attempt(),
          new AttemptResult(AttemptResult.Kind.SUCCEEDED, WriteProgress.FULLY_WRITTEN, "answer"));
    }
  }

  @Test
  void aMovedListIsRequestedCompletelyAndAtOnce() {
    coordinator.onEndpointList(now, 7, true, List.of(listed("a", Health.UP, "h:1")), false);
    pass(4_000_000);
    coordinator.onDiscoveryMoved(now);
    assertEquals(
        List.of(new NetworkCommand.WatchEndpoints(0)),
        only(NetworkCommand.WatchEndpoints.class, pull()));
    coordinator.onEndpointList(now, 3, true, List.of(listed("a", Health.UP, "h:1")), true);
    assertEquals(
        List.of(new NetworkCommand.WatchEndpoints(3)),
        only(NetworkCommand.WatchEndpoints.class, pass(200_000)),
        "and its own numbers hold");
  }

  @Test
  void aListThatAnswersAtOnceAgainAndAgainDoesNotSpin() {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    pass(4_000_000);
    int asked = 0;
    for (long end = now + 1_000_000; now < end; asked++) {
      coordinator.onEndpointList(now, 1, false, List.of(), true);
      assertFalse(only(NetworkCommand.WatchEndpoints.class, pass(200_000)).isEmpty());
    }
    assertTrue(asked <= 11, () -> "asked too often");
  }

  /** An attempt may wait for its connection: what came meanwhile can forbid it. */
  @Test
  void attemptsThatWaitedForAConnectionAreCheckedAgain() {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    NetworkCommand.SendAttempt attempt = sendFirstAttempt("read");
    assertTrue(coordinator.maySend(now, attempt.requestId(), attempt.attempt()));
    coordinator.onEndpointList(now, 2, false, List.of(listed("a", Health.DRAINING, "h:1")), false);
    assertFalse(coordinator.maySend(now, attempt.requestId(), attempt.attempt()), "it drains");
    coordinator.onEndpointList(now, 3, false, List.of(listed("a", Health.UP, "h:1")), false);
    withoutReports = true;
    coordinator.onClientDisconnected(now, attempt.requestId());
    assertFalse(coordinator.maySend(now, attempt.requestId(), attempt.attempt()), "its op is over");
  }

  /** It was to go to that process at that place, and within the request's time. */
  @ParameterizedTest
  @CsvSource({"h:1,0,0,true", "h:2,0,0,false", "h:1,7,0,false", "h:1,0," + TIMEOUT_US + ",false"})
  void attemptsThatWaitedGoToTheSameProcessInTimeOnly(
      String address, long startedUs, long laterUs, boolean sendable) {
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    NetworkCommand.SendAttempt attempt = sendFirstAttempt("read");
    coordinator.onEndpointList(
        now,
        2,
        false,
        List.of(new EndpointEntry(new Endpoint("a", Health.UP, startedUs, 1, "east", 1), address)),
        false);
    assertEquals(
        sendable, coordinator.maySend(now + laterUs, attempt.requestId(), attempt.attempt()));
  }

  @ParameterizedTest
  @EnumSource(value = Health.class, names = "UP", mode = EnumSource.Mode.EXCLUDE)
  void drainingAndRemovedEndpointsGetNothingNew(Health health) {
    coordinator.onEndpointList(
        now, 1, true, List.of(listed("a", Health.UP, "h:1"), listed("b", Health.UP, "h:2")), false);
    coordinator.onEndpointList(now, 2, false, List.of(listed("a", health, "h:1")), false);
    for (int i = 0; i < 20; i++) {
      NetworkCommand.SendAttempt attempt = sendFirstAttempt("read");
      assertEquals("h:2", attempt.address());
      coordinator.onAttemptEnded(
          now += 20_000,
          attempt.requestId(),
          attempt.attempt(),
          new AttemptResult(AttemptResult.Kind.SUCCEEDED, WriteProgress.FULLY_WRITTEN, ""));
      pull();
    }
  }

  /**
   * Where only drains bind, the address of what the list drops is kept as long as the load balancer
   * may attempt there.
   */
  @ParameterizedTest
  @EnumSource(value = Health.class, names = "UP", mode = EnumSource.Mode.EXCLUDE)
  void endpointsThatAWrongListRemovesAreUsedOn(Health health) {
    coordinator.applySettings(
        now,
        TestSettings.of(
            "east",
            0,
            1,
            List.of(TestSettings.READ),
            new DiscoveryPolicy(true, 10_000_000, true, false),
            1_000_000));
    coordinator.onEndpointList(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
    coordinator.onEndpointList(now, 2, false, List.of(listed("a", health, "h:1")), false);
    coordinator.onEndpointList(now, 3, true, List.of(), false);
    coordinator.onRequest(
        now, new IncomingRequest("client", "content", null, "read", TIMEOUT_US, false, false));
    assertEquals(
        health == Health.REMOVED ? List.of("h:1") : List.of(),
        only(NetworkCommand.SendAttempt.class, pull()).stream()
            .map(NetworkCommand.SendAttempt::address)
            .toList());
  }

  /** With new settings less is in use: the connections of what is not are let go. */
  @Test
  void connectionsToUnusedEndpointsAreClosed() {
    List<EndpointEntry> all = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      all.add(listed("e" + i, Health.UP, "h:" + i));
    }
    coordinator.onEndpointList(now, 1, true, all.subList(0, 1), false);
    sendFirstAttempt("read");
    coordinator.applySettings(
        now,
        TestSettings.of(
            "east",
            3,
            100,
            List.of(TestSettings.READ),
            new DiscoveryPolicy(true, 10_000_000, false, true),
            1_000_000));
    coordinator.onEndpointList(now, 2, false, all.subList(1, 8), false);
    List<NetworkCommand> commands = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      coordinator.onRequest(
          now, new IncomingRequest("client", "op", null, "read", TIMEOUT_US, false, false));
      for (NetworkCommand command : pull()) {
        commands.add(command);
        if (command instanceof NetworkCommand.SendAttempt attempt) {
          coordinator.onAttemptEnded(
              now += 20_000,
              attempt.requestId(),
              attempt.attempt(),
              new AttemptResult(AttemptResult.Kind.SUCCEEDED, WriteProgress.FULLY_WRITTEN, ""));
        }
      }
      pass(200_000);
    }
    assertEquals(
        List.of("e0"),
        only(NetworkCommand.CloseConnections.class, commands).stream()
            .map(NetworkCommand.CloseConnections::endpoint)
            .distinct()
            .toList());
  }
}
