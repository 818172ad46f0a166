package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Mutation test of the oracle: replaces some code of the sidecar by faulty code, recompiles that
 * file, and runs a scenario with it. The oracle must detect each fault within 200 seeds.
 */
class PlantedTest {
  private static final Path SCENARIOS = Path.of("../scenarios");
  private static final long MAX_SEEDS = 200;
  @TempDir private Path folder;

  static Stream<Arguments> faults() {
    return Stream.of(
        fault(
            "two answers",
            "sidecar/RequestCoordinator.java",
            "isFinal && !request.isFinished() && !request.isStreaming()",
            "isFinal && !request.isStreaming()",
            "ONE_ANSWER",
            "copies.toml"),
        fault(
            "an answer after the deadline",
            "sidecar/OpenRequest.java",
            "deadlineUs = sentUs + timeoutUs;",
            "deadlineUs = sentUs + 2 * timeoutUs;",
            "IN_TIME ONE_ANSWER"),
        fault(
            "a retry into another deduplication scope",
            "balancer/DuplicateGuard.java",
            "case ZONE -> earlier.zone().equals(endpoint.zone());",
            "case ZONE -> true;",
            "NO_EFFECT_TWICE"),
        fault(
            "an attempt after the answer",
            "net/endpoint/AttemptExecutor.java",
            "if (coordinator.maySend(clock.getAsLong(), command.requestId(), command.attempt())) {",
            "if (command != null) {",
            "NOTHING_AFTER DRAIN_KEPT",
            "anew.toml"),
        fault(
            "an attempt to a draining endpoint",
            "balancer/EndpointDirectory.java",
            "state.updateListing(isUp || isRetained);",
            "state.updateListing(isUp || isRetained || state.isListed() && entry.health() == Endpoint.Health.DRAINING);",
            "DRAIN_KEPT"),
        fault(
            "a silent watch that is not noticed",
            "net/discovery/DiscoveryClient.java",
            "nowUs + WatchTimings.WATCH_US + WatchTimings.GRACE_US);",
            "nowUs + WatchTimings.WATCH_US + 20 * WatchTimings.GRACE_US);",
            "DRAIN_KEPT",
            "news.toml"),
        fault(
            "backoffs that grow while the list is unavailable",
            "balancer/DiscoverySchedule.java",
            "Math.min(backoffUs, maxDelayUs)",
            "(4_000_000 + 0 * maxDelayUs)",
            "DRAIN_KEPT",
            "news.toml"),
        fault(
            "a client that has disconnected, unnoticed",
            "net/connection/HttpConnectionCodec.java",
            "if (connection.input().hasEnded() || (connection.input().isFull() && !isBusy)) {",
            "if (connection.input().isFull() && !isBusy) {",
            "NOTHING_AFTER",
            "gone.toml"),
        fault(
            "an endpoint in slow start overrun",
            "balancer/SlowStart.java",
            "return endpoint.inFlightCount() < 1 + state.successes() && state.sentInWindow() + 1 <= budget + state.rounding();",
            "return state.sentInWindow() < budget + 1e9;",
            "COLD_KEPT",
            "cold.toml"),
        fault(
            "a leaked connection",
            "net/endpoint/EndpointConnectionPool.java",
            "connection.close();",
            "connection.isOpen();",
            "BACK_TO_REST WITHIN_LIMITS"),
        fault(
            "a lost wake-up",
            "net/connection/ConnectionInput.java",
            "isPaused = false; setReadInterest(true);",
            "setReadInterest(false);",
            "ONE_ANSWER BACK_TO_REST",
            "pauses.toml"),
        fault(
            "a broken attempt treated as one that never ran",
            "sidecar/AttemptResult.java",
            "case CONNECTION_BROKEN -> ifWritten(AttemptOutcome.RESET);",
            "case CONNECTION_BROKEN -> AttemptOutcome.CONNECT_FAILED;",
            "NO_EFFECT_TWICE"),
        fault(
            "an answer for another request",
            "net/endpoint/AttemptExecutor.java",
            "return (isUnused || isExchangeOver) && !connection.input().hasEnded();",
            "return (isUnused || isExchangeOver || kind == AttemptResult.Kind.ABANDONED) && !connection.input().hasEnded();",
            "TRUE_CONTENT"),
        fault(
            "one attempt above the maximum",
            "balancer/AttemptPolicy.java",
            "return request.isBodyReleased() ? 1 : request.retryPolicy.maxAttempts();",
            "return request.isBodyReleased() ? 1 : request.retryPolicy.maxAttempts() + 1;",
            "PUSH_LIMIT"),
        fault(
            "a rejection of a request that may have run",
            "balancer/DuplicateGuard.java",
            "return !request.mayHaveRun() ||",
            "return request != null ||",
            "NO_EFFECT_TWICE"),
        fault(
            "a request that is never over",
            "net/client/ClientExchanges.java",
            "openIds.remove(ended.clientId());",
            "openIds.contains(ended.clientId());",
            "BACK_TO_REST"),
        fault(
            "a body that loses a byte",
            "net/connection/BodyRelay.java",
            "out.moveFrom(source.in(), count);",
            "out.moveFrom(source.in(), count); out.skip(target.activity().requestCount() > 0 && out.size() > 20_000 ? 1 : 0);",
            "TRUE_CONTENT ONE_ANSWER"),
        fault(
            "an abandoned attempt whose bytes are still sent",
            "net/endpoint/AttemptExecutor.java",
            "connection.reset();",
            "connection.close();",
            "NO_EFFECT_TWICE NOTHING_AFTER",
            "heals.toml"),
        fault(
            "a request timeout that starts when the last byte is forwarded",
            "net/connection/HttpConnectionCodec.java",
            "if (parser.hasRestArrived(connection.in())) {",
            "if (parser.fault() < 0) {",
            "IN_TIME"),
        fault(
            "a retry that outlasts its deduplication window",
            "balancer/AttemptDispatcher.java",
            "deadlineUs == AttemptDeadline.NONE ? 0 : deadlineUs));",
            "0 * deadlineUs));",
            "NO_EFFECT_TWICE",
            "heals.toml"),
        fault(
            "a closed connection that reserves memory",
            "net/buffer/RingBuffer.java",
            "isStarved = isReleased || !budget",
            "isStarved = !budget",
            "BACK_TO_REST",
            "bodies.toml"),
        fault(
            "a rejection that is delayed",
            "balancer/RequestQueue.java",
            "return request.arrivalUs + (long) waitUs;",
            "return request.deadlineUs() - 20_000;",
            "NOT_HELD",
            "overload.toml"),
        fault(
            "a timer that expires late",
            "sidecar/RequestCoordinator.java",
            "return timers.nextDueUs();",
            "return timers.nextDueUs() == Long.MAX_VALUE ? Long.MAX_VALUE : timers.nextDueUs() + 150_000;",
            "IN_TIME"));
  }

  private static Arguments fault(
      String name, String file, String original, String replacement, String rules) {
    return fault(name, file, original, replacement, rules, "mixed.toml");
  }

  /**
   * A fault and the scenario to run; {@code rules} names the rules that the fault may break,
   * separated by spaces.
   */
  private static Arguments fault(
      String name,
      String file,
      String original,
      String replacement,
      String rules,
      String scenario) {
    return Arguments.of(name, file, original, replacement, rules, scenario);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void oracleDetectsFault(
      String name, String file, String original, String replacement, String rules, String scenario)
      throws Exception {
    String found;
    try (URLClassLoader loader = PlantedFault.loader(folder, file, original, replacement)) {
      @SuppressWarnings("unchecked")
      BiFunction<Path, Long, String> search =
          (BiFunction<Path, Long, String>)
              loader.loadClass(FaultSearch.class.getName()).getDeclaredConstructor().newInstance();
      found = search.apply(SCENARIOS.resolve(scenario), MAX_SEEDS);
    }
    assertNotNull(found, "no rule broken with seeds 1 to " + MAX_SEEDS + " of " + scenario);
    System.out.println(
        "planted: " + name + " | " + file + " | " + scenario + " | found by seed " + found);
    assertTrue(List.of(rules.split(" ")).contains(found.split(" ")[1]), found);
  }
}
