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
 * Faults planted in the sidecar's own text: a line of core, network code or module is changed, that
 * file compiled anew, and the day played with it. The oracle has to find each within 200 seeds.
 */
class PlantedTest {
  private static final Path SCENARIOS = Path.of("../scenarios");
  private static final long MOST = 200;
  @TempDir private Path folder;

  static Stream<Arguments> faults() {
    return Stream.of(
        fault(
            "two answers",
            "sidecar/RequestCoordinator.java",
            "isFinal && !request.isOver && request.streaming == null",
            "isFinal && request.streaming == null",
            "ONE_ANSWER",
            "copies.toml"),
        fault(
            "an answer after the TTL",
            "sidecar/OpenRequest.java",
            "deadlineUs = nowUs + timeoutUs;",
            "deadlineUs = nowUs + 2 * timeoutUs;",
            "IN_TIME ONE_ANSWER"),
        fault(
            "a repeat into another group",
            "balancer/DuplicateGuard.java",
            "case ZONE -> earlier.endpoint.zone().equals(endpoint.endpoint.zone());",
            "case ZONE -> true;",
            "NO_EFFECT_TWICE"),
        fault(
            "a push after the answer",
            "net/Endpoints.java",
            "if (core.maySend(clock.getAsLong(), push.requestId(), push.attempt())) {",
            "if (waited != null) {",
            "NOTHING_AFTER DRAIN_KEPT",
            "anew.toml"),
        fault(
            "a push to a drained endpoint",
            "balancer/EndpointDirectory.java",
            "state.isListed = isUp || isKept;",
            "state.isListed = isUp || isKept || state.isListed && entry.health() == Endpoint.Health.DRAINING;",
            "DRAIN_KEPT"),
        fault(
            "a watch that falls silent unnoticed",
            "net/Discovery.java",
            "GRACE_US = TOLD_US / 10;",
            "GRACE_US = TOLD_US * 2;",
            "DRAIN_KEPT",
            "news.toml"),
        fault(
            "pauses that grow while the list is out",
            "balancer/DiscoverySchedule.java",
            "Math.min(backoffUs, maxDelayUs)",
            "(4_000_000 + 0 * maxDelayUs)",
            "DRAIN_KEPT",
            "news.toml"),
        fault(
            "a client that has gone, unnoticed",
            "sidecar/RequestCoordinator.java",
            "if (request != null && !request.isOver) {\n      balancer.onClientDisconnected(nowUs, id);",
            "if (request != null && request.isOver) {\n      balancer.onClientDisconnected(nowUs, id);",
            "NOTHING_AFTER",
            "gone.toml"),
        fault(
            "a cold endpoint overrun",
            "balancer/SlowStart.java",
            "return endpoint.inFlightCount() < 1 + state.successes && state.sentInWindow + 1 <= budget + state.rounding;",
            "return state.sentInWindow < budget + 1e9;",
            "COLD_KEPT",
            "cold.toml"),
        fault(
            "a leaked connection",
            "net/Endpoints.java",
            "connections.remove(connection); // one that never came up is not reported as closed\n        connection.close();",
            "connections.remove(connection);",
            "BACK_TO_REST WITHIN_LIMITS"),
        fault(
            "a lost wake-up",
            "net/Connection.java",
            "paused = false;\n            try {\n                wire.tells(true);",
            "try {\n                wire.tells(false);",
            "ONE_ANSWER BACK_TO_REST",
            "pauses.toml"),
        fault(
            "a broken push taken for one that never ran",
            "sidecar/AttemptResult.java",
            "case CONNECTION_BROKEN -> ifWritten(AttemptOutcome.RESET);",
            "case CONNECTION_BROKEN -> AttemptOutcome.CONNECT_FAILED;",
            "NO_EFFECT_TWICE"),
        fault(
            "an answer for another op",
            "net/Endpoints.java",
            "if (known && (unused || whole) && !connection.ended) {",
            "if (known && (unused || whole || kind == AttemptResult.Kind.ABANDONED) && !connection.ended) {",
            "TRUE_CONTENT"),
        fault(
            "a push too many",
            "balancer/Request.java",
            "return isBodyReleased ? 1 : retryPolicy.maxAttempts();",
            "return isBodyReleased ? 1 : retryPolicy.maxAttempts() + 1;",
            "PUSH_LIMIT"),
        fault(
            "a nack for what may have run",
            "balancer/DuplicateGuard.java",
            "return !request.mayHaveRun() ||",
            "return request != null ||",
            "NO_EFFECT_TWICE"),
        fault(
            "a request that is never over",
            "net/Listener.java",
            "        caller.connection().user = null;\n        open.remove(caller.request().field(Names.ID));",
            "        caller.connection().user = null;",
            "BACK_TO_REST"),
        fault(
            "a body that loses a byte",
            "net/Stream.java",
            "to.out.pull(from.in, count);",
            "to.out.pull(from.in, count);\n            to.out.skip(to.asked > 0 && to.out.size() > 20_000 ? 1 : 0);",
            "TRUE_CONTENT ONE_ANSWER"),
        fault(
            "a push given up whose bytes are still sent",
            "net/Endpoints.java",
            "connection.cut(); // or",
            "connection.close(); // or",
            "NO_EFFECT_TWICE NOTHING_AFTER",
            "heals.toml"),
        fault(
            "a time that begins when an endpoint takes the last byte",
            "net/Http.java",
            "if (server && connection.reader.restCame(connection.in)) {",
            "if (server && connection.reader.fault() < 0) {",
            "IN_TIME"),
        fault(
            "a repeat that outlasts its group's memory",
            "balancer/AttemptDispatcher.java",
            "deadlineUs == Long.MAX_VALUE ? 0 : deadlineUs));",
            "0 * deadlineUs));",
            "NO_EFFECT_TWICE",
            "heals.toml"),
        fault(
            "room that a closed connection takes",
            "net/Ring.java",
            "starved = over || !budget",
            "starved = !budget",
            "BACK_TO_REST",
            "bodies.toml"),
        fault(
            "what is given up is held",
            "balancer/RequestScheduler.java",
            "long untilUs = request.arrivalUs + (long) Math.max(QUEUE_SHARE * objectiveUs, 0.8 * spareUs);",
            "long untilUs = request.deadlineUs - 20_000;",
            "NOT_HELD",
            "overload.toml"),
        fault(
            "a timer that is forgotten",
            "sidecar/RequestCoordinator.java",
            "return timers.nextDueUs();",
            "return timers.nextDueUs() == Long.MAX_VALUE ? Long.MAX_VALUE : timers.nextDueUs() + 150_000;",
            "IN_TIME"));
  }

  private static Arguments fault(String name, String file, String is, String was, String rules) {
    return fault(name, file, is, was, rules, "mixed.toml");
  }

  private static Arguments fault(
      String name, String file, String text, String instead, String rules, String scenario) {
    return Arguments.of(name, file, text, instead, rules, scenario);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void isFound(String name, String file, String text, String instead, String rules, String scenario)
      throws Exception {
    String found;
    try (URLClassLoader own = Changed.loader(folder, file, text, instead)) {
      @SuppressWarnings("unchecked")
      BiFunction<Path, Long, String> hunt =
          (BiFunction<Path, Long, String>)
              own.loadClass(Hunt.class.getName()).getDeclaredConstructor().newInstance();
      found = hunt.apply(SCENARIOS.resolve(scenario), MOST);
    }
    assertNotNull(found, "none of " + MOST + " seeds of " + scenario + " breaks a rule");
    System.out.println(
        "planted: " + name + " | " + file + " | " + scenario + " | found by seed " + found);
    assertTrue(List.of(rules.split(" ")).contains(found.split(" ")[1]), found);
  }
}
