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

/**
 * A coordinator, a clock, and a network on which attempts end only when the test reports it, except
 * that by default the end of an abandoned attempt is reported at once.
 */
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

  /** Sets how far attempts that are abandoned from now on are reported to have been written. */
  void reportAbandonedAs(WriteProgress progress) {
    progressWhenAbandoned = progress;
  }

  /** From now on the network does not report the end of abandoned attempts. */
  void stopReportingAbandonedAttempts() {
    reportsAbandonedAttempts = false;
  }

  static EndpointEntry entry(String id, Health health, String address) {
    return entry(id, health, address, 0);
  }

  static EndpointEntry entry(String id, Health health, String address, long startedUs) {
    return new EndpointEntry(new Endpoint(id, health, startedUs, 1, "east", 1), address);
  }

  /** Reports a complete endpoint list of one endpoint, {@code a} at {@code h:1}. */
  void listOneEndpoint() {
    listAll(1, entry("a", Health.UP, "h:1"));
  }

  /** Reports a complete endpoint list that does not answer a watch. */
  void listAll(long version, EndpointEntry... entries) {
    coordinator.onEndpointList(nowUs, version, true, List.of(entries), false);
  }

  /** Reports changes of the endpoint list that do not answer a watch. */
  void listChanges(long version, EndpointEntry... entries) {
    coordinator.onEndpointList(nowUs, version, false, List.of(entries), false);
  }

  /** Reports an update of the endpoint list that answers a watch. */
  void onWatchUpdate(long version, boolean complete, EndpointEntry... entries) {
    coordinator.onEndpointList(nowUs, version, complete, List.of(entries), true);
  }

  /** Takes and returns all commands at the present time; reports abandoned attempts as ended. */
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

  /**
   * Advances the clock from timer to timer for at most {@code us} microseconds, and returns all
   * commands of that time. The clock then shows when the last timer was due, not the end of it.
   */
  List<NetworkCommand> runFor(long us) {
    long endUs = nowUs + us;
    List<NetworkCommand> commands = pull();
    while (coordinator.nextTimerUs() <= endUs) {
      nowUs = Math.max(nowUs, coordinator.nextTimerUs());
      commands.addAll(pull());
    }
    return commands;
  }

  /** Reports a request whose body is complete; returns its id. */
  long onRequest(String requestClass) {
    return onRequest(requestClass, false);
  }

  long onRequest(String requestClass, boolean isBodyIncomplete) {
    return coordinator.onRequest(
        nowUs,
        new IncomingRequest(
            CLIENT, CONTENT, null, requestClass, TIMEOUT_US, false, isBodyIncomplete));
  }

  /** Reports a request; returns the command that sends its first attempt. */
  NetworkCommand.SendAttempt sendFirstAttempt(String requestClass) {
    onRequest(requestClass);
    return only(NetworkCommand.SendAttempt.class, pull()).get(0);
  }

  /** Reports the first bytes of a response; returns whether it is streamed to the client. */
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

  /** The names of the commands that answer clients, separated by spaces. */
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
