package dillcross.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

/** A coordinator, and a network that by default reports abandoned attempts at once. */
final class CoordinatorFixture {
  static final long TIMEOUT_US = 500_000;
  static final String CLIENT = "client";
  static final String CONTENT = "content";

  private static final RequestClass KEYED =
      new RequestClass(
          "buy",
          Idempotency.IDEMPOTENT_WITH_KEY,
          DeduplicationScope.CELL,
          2_000_000,
          400_000,
          1,
          1);
  private static final RequestClass NON_IDEMPOTENT =
      new RequestClass(
          "once", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 400_000, 1, 1);

  final RequestCoordinator coordinator =
      new RequestCoordinator(
          new LoadBalancer(
              1,
              TestSettings.of(
                  "east",
                  0,
                  1,
                  List.of(KEYED, TestSettings.READ, NON_IDEMPOTENT),
                  new DiscoveryPolicy(true, 10_000_000, false, false),
                  1_000_000)));
  private long nowUs = 1_000_000_000;
  private WriteProgress progressWhenAbandoned = WriteProgress.FULLY_WRITTEN;
  private boolean reportsAbandonedAttempts = true;

  long nowUs() {
    return nowUs;
  }

  void advance(long us) {
    nowUs += us;
  }

  /** Has abandoned attempts reported as written so far. */
  void abandonAt(WriteProgress progress) {
    progressWhenAbandoned = progress;
  }

  /** Abandoned attempts are no longer reported. */
  void withholdReports() {
    reportsAbandonedAttempts = false;
  }

  static EndpointEntry entry(String id, Health health, String address) {
    return entry(id, health, address, 0);
  }

  static EndpointEntry entry(String id, Health health, String address, long startedUs) {
    return new EndpointEntry(new Endpoint(id, health, startedUs, 1, "east", 1), address);
  }

  /** Lists one endpoint, {@code a} at {@code h:1}. */
  void listOneEndpoint() {
    listAll(1, entry("a", Health.UP, "h:1"));
  }

  /** Reports a complete list that no watch brought. */
  void listAll(long version, EndpointEntry... entries) {
    coordinator.onEndpointList(nowUs, version, true, List.of(entries), false);
  }

  /** Reports endpoint-list changes that no watch brought. */
  void listChanges(long version, EndpointEntry... entries) {
    coordinator.onEndpointList(nowUs, version, false, List.of(entries), false);
  }

  /** Reports an update that a watch brought. */
  void onWatchUpdate(long version, boolean complete, EndpointEntry... entries) {
    coordinator.onEndpointList(nowUs, version, complete, List.of(entries), true);
  }

  /** Carries out all commands that are there now. */
  List<NetworkCommand> pull() {
    List<NetworkCommand> commands = new ArrayList<>();
    NetworkCommand command = coordinator.next(nowUs);
    while (command != null) {
      commands.add(command);
      if (command instanceof NetworkCommand.AbandonAttempt abandon && reportsAbandonedAttempts) {
        coordinator.onAttemptEnded(
            nowUs,
            abandon.requestId(),
            abandon.attempt(),
            new AttemptResult(AttemptResult.Kind.ABANDONED, progressWhenAbandoned, null));
      }
      command = coordinator.next(nowUs);
    }
    return commands;
  }

  /** Carries out all commands of the next {@code us}; the clock then stands at the last timer. */
  List<NetworkCommand> pass(long us) {
    long endUs = nowUs + us;
    List<NetworkCommand> commands = pull();
    while (coordinator.nextTimerUs() <= endUs) {
      nowUs = Math.max(nowUs, coordinator.nextTimerUs());
      commands.addAll(pull());
    }
    return commands;
  }

  /** A request has arrived completely; returns its id. */
  long onRequest(String requestClass) {
    return onRequest(requestClass, false);
  }

  long onRequest(String requestClass, boolean isBodyIncomplete) {
    return coordinator.onRequest(
        nowUs,
        new IncomingRequest(
            CLIENT, CONTENT, null, requestClass, TIMEOUT_US, false, isBodyIncomplete));
  }

  /** A request has arrived; returns its first attempt. */
  NetworkCommand.SendAttempt sendFirstAttempt(String requestClass) {
    onRequest(requestClass);
    return only(NetworkCommand.SendAttempt.class, pull()).get(0);
  }

  boolean startResponse(NetworkCommand.SendAttempt attempt, Object head) {
    return coordinator.onResponseStarted(nowUs, attempt.requestId(), attempt.attempt(), head);
  }

  void end(
      NetworkCommand.SendAttempt attempt,
      AttemptResult.Kind kind,
      WriteProgress progress,
      Object content) {
    coordinator.onAttemptEnded(
        nowUs, attempt.requestId(), attempt.attempt(), new AttemptResult(kind, progress, content));
  }

  void succeed(NetworkCommand.SendAttempt attempt) {
    end(attempt, AttemptResult.Kind.SUCCEEDED, WriteProgress.FULLY_WRITTEN, "response");
  }

  boolean maySend(NetworkCommand.SendAttempt attempt) {
    return coordinator.maySend(nowUs, attempt.requestId(), attempt.attempt());
  }

  static <T extends NetworkCommand> List<T> only(Class<T> kind, List<NetworkCommand> commands) {
    return commands.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  /** The commands that answer clients, as their names with spaces between them. */
  static String answers(List<NetworkCommand> commands) {
    return String.join(
        " ",
        commands.stream()
            .filter(command -> !isInternal(command))
            .map(command -> command.getClass().getSimpleName())
            .toList());
  }

  private static boolean isInternal(NetworkCommand command) {
    return command instanceof NetworkCommand.SendAttempt
        || command instanceof NetworkCommand.AbandonAttempt
        || command instanceof NetworkCommand.WatchEndpoints
        || command instanceof NetworkCommand.CloseConnections;
  }

  void assertOneWatch(long version, List<NetworkCommand> commands, String message) {
    assertEquals(
        List.of(new NetworkCommand.WatchEndpoints(version)),
        only(NetworkCommand.WatchEndpoints.class, commands),
        message);
  }

  static List<String> closedConnections(List<NetworkCommand> commands) {
    return only(NetworkCommand.CloseConnections.class, commands).stream()
        .map(NetworkCommand.CloseConnections::endpoint)
        .toList();
  }
}
