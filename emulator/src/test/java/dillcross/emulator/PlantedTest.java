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
 * Faults planted in the sidecar's own text: a line of core, network code or module is changed, that file compiled anew, and
 * the day played with it. The oracle has to find each within 200 seeds.
 */
class PlantedTest {
    private static final Path SCENARIOS = Path.of("../scenarios");
    private static final long MOST = 200;
    @TempDir
    private Path folder;

    static Stream<Arguments> faults() {
        return Stream.of(
            fault("two answers", "sidecar/Core.java", "passedOn && !op.over && op.begun == null", "passedOn && op.begun == null", "ONE_ANSWER", "copies.toml"),
            fault("an answer after the TTL", "sidecar/Core.java", "comes ? Long.MAX_VALUE : nowUs + ttlUs;", "comes ? Long.MAX_VALUE : nowUs + 2 * ttlUs;", "IN_TIME ONE_ANSWER"),
            fault("a repeat into another group", "Logic.java", "p.to.is.zone().equals(s.is.zone())", "true", "NO_EFFECT_TWICE"),
            fault("a push after the answer", "net/Endpoints.java", "if (core.sendable(clock.getAsLong(), push.op(), push.push())) {", "if (waited != null) {", "NOTHING_AFTER DRAIN_KEPT", "anew.toml"),
            fault("a push to a drained endpoint", "Logic.java", "            s.listed = up || stays;", "            s.listed = up || stays || s.listed && e.health() == Endpoint.Health.DRAINING;", "DRAIN_KEPT"),
            fault("a watch that falls silent unnoticed", "net/Discovery.java", "GRACE_US = TOLD_US / 10;", "GRACE_US = TOLD_US * 2;", "DRAIN_KEPT", "news.toml"),
            fault("pauses that grow while the list is out", "Logic.java", "Math.min(wait, mostUs)", "(4_000_000 + 0 * mostUs)", "DRAIN_KEPT", "news.toml"),
            fault("a client that has gone, unnoticed", "sidecar/Core.java", "if (op != null && !op.over) {\n            logic.left(nowUs, id);", "if (op != null && op.over) {\n            logic.left(nowUs, id);", "NOTHING_AFTER", "gone.toml"),
            fault("a cold endpoint overrun", "Logic.java", "return s.flying < 1 + s.coldAnswers && s.sent + 1 <= budget + s.lot;", "return s.sent < budget + 1e9;", "COLD_KEPT", "cold.toml"),
            fault("a leaked connection", "net/Endpoints.java", "connections.remove(connection); // one that never came up is not reported as closed\n        connection.close();",
                "connections.remove(connection);", "BACK_TO_REST WITHIN_LIMITS"),
            fault("a lost wake-up", "net/Connection.java", "paused = false;\n            try {\n                wire.tells(true);", "try {\n                wire.tells(false);", "ONE_ANSWER BACK_TO_REST", "pauses.toml"),
            fault("a broken push taken for one that never ran", "sidecar/Ending.java", "case BROKEN -> reach == Reach.WHOLE_WRITTEN ? Outcome.RESET : Outcome.CONNECT_FAILED;",
                "case BROKEN -> Outcome.CONNECT_FAILED;", "NO_EFFECT_TWICE"),
            fault("an answer for another op", "net/Endpoints.java", "if (known && (unused || whole) && !connection.ended) {", "if (known && (unused || whole || kind == Ending.Kind.GIVEN_UP) && !connection.ended) {",
                "TRUE_CONTENT"),
            fault("a push too many", "Logic.java", "(op.spent ? 1 : op.rule.most())", "(op.spent ? 1 : op.rule.most() + 1)", "PUSH_LIMIT"),
            fault("a nack for what may have run", "Logic.java", "boolean mayNack = !op.risky() ||", "boolean mayNack = op != null ||", "NO_EFFECT_TWICE"),
            fault("a request that is never over", "net/Listener.java", "        caller.connection().user = null;\n        open.remove(caller.request().field(Names.ID));",
                "        caller.connection().user = null;", "BACK_TO_REST"),
            fault("a body that loses a byte", "net/Stream.java", "to.out.pull(from.in, count);", "to.out.pull(from.in, count);\n            to.out.skip(to.asked > 0 && to.out.size() > 20_000 ? 1 : 0);",
                "TRUE_CONTENT ONE_ANSWER"),
            fault("a push given up whose bytes are still sent", "net/Endpoints.java", "connection.cut(); // or", "connection.close(); // or", "NO_EFFECT_TWICE NOTHING_AFTER", "heals.toml"),
            fault("a time that begins when an endpoint takes the last byte", "net/Http.java", "if (server && connection.reader.restCame(connection.in)) {", "if (server && connection.reader.fault() < 0) {",
                "IN_TIME"),
            fault("a repeat that outlasts its group's memory", "Logic.java", "s.is.id(), byUs == Long.MAX_VALUE ? 0 : byUs));", "s.is.id(), 0 * byUs));",
                "NO_EFFECT_TWICE", "heals.toml"),
            fault("room that a closed connection takes", "net/Ring.java", "starved = over || !budget", "starved = !budget", "BACK_TO_REST", "bodies.toml"),
            fault("what is given up is held", "Logic.java", "long until = op.bornUs + (long) Math.max(WAIT_SHARE * op.is.targetUs(), 0.8 * spareUs);",
                "long until = op.endUs - 20_000;", "NOT_HELD", "overload.toml"),
            fault("a timer that is forgotten", "sidecar/Core.java", "return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueUs;",
                "return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueUs + 150_000;", "IN_TIME"));
    }

    private static Arguments fault(String name, String file, String is, String was, String rules) {
        return fault(name, file, is, was, rules, "mixed.toml");
    }

    private static Arguments fault(String name, String file, String text, String instead, String rules, String scenario) {
        return Arguments.of(name, file, text, instead, rules, scenario);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String name, String file, String text, String instead, String rules, String scenario) throws Exception {
        String found;
        try (URLClassLoader own = Changed.loader(folder, file, text, instead)) {
            @SuppressWarnings("unchecked")
            BiFunction<Path, Long, String> hunt = (BiFunction<Path, Long, String>) own.loadClass(Hunt.class.getName()).getDeclaredConstructor().newInstance();
            found = hunt.apply(SCENARIOS.resolve(scenario), MOST);
        }
        assertNotNull(found, "none of " + MOST + " seeds of " + scenario + " breaks a rule");
        System.out.println("planted: " + name + " | " + file + " | " + scenario + " | found by seed " + found);
        assertTrue(List.of(rules.split(" ")).contains(found.split(" ")[1]), found);
    }
}
