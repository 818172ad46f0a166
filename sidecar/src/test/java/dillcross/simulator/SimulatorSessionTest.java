package dillcross.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SimulatorSessionTest {
  private static final String OPEN =
      "open_instance 3 9 balancers=1 categories.count=1 categories.0.name=read"
          + " categories.0.effect=idempotent categories.0.ttl_ms=900.0 discovery=automatic limits.max_pushes=3 limits.may_duplicate=true"
          + " rules.unheard_of=1 locality=x\n";
  private static final String LIST =
      "snapshot_rows 0 1\nrow k h:1 - up 1 0 x\nendpoints 3 1 0 Persisted\n";

  private static String run(String input) throws IOException {
    var out = new ByteArrayOutputStream();
    new SimulatorSession(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out)
        .run();
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String batch(String at, String events) {
    return "tick " + at + "\n" + events + "commit\n";
  }

  @Test
  void answersEachBatch() throws IOException {
    String reply =
        run(batch("1.0", "") + batch("5.25", OPEN + LIST + "knock 3 77 - 500.0 - - 0 read\n"));
    assertTrue(reply.startsWith("next\nforward 3 77 - h:1\nwake_at 3 "), reply);
    assertTrue(reply.endsWith("next\n"), reply);
  }

  /**
   * An endpoint list that reuses a number replaces the former list for later events only, also
   * within a batch.
   */
  @Test
  void replacesAListWhoseNumberIsReused() throws IOException {
    String reply =
        run(
            batch(
                "5.0",
                OPEN
                    + LIST
                    + "snapshot_rows 0 1\nrow k h:2 - up 1 0 x\nendpoints 3 2 0 Partial\n"
                    + "endpoints 3 3 0 Complete\nknock 3 5 - 500.0 - - 0 read\n"));
    assertTrue(reply.startsWith("forward 3 5 - h:2\n"), reply);
  }

  @Test
  void startsAReopenedInstanceWithoutState() throws IOException {
    String reply =
        run(
            batch("5.0", OPEN + LIST + "knock 3 5 - 500.0 - - 0 read\n")
                + batch(
                    "6.0",
                    "shutdown 3\n"
                        + OPEN
                        + "snapshot_rows 1 0\nendpoints 3 1 1 Persisted\n"
                        + "knock 3 6 - 500.0 - - 0 read\n"));
    assertTrue(reply.endsWith("next\nnot_now 3 6 0.000\nnext\n"), reply);
  }

  @ParameterizedTest
  @CsvSource({
    "hello 1, unknown message",
    "knock 3 x - 5 - - 0 read, not a whole number",
    "fired 9 w, no such instance",
    "knock 3 5 -, a field is missing",
    "response 3 5 77 h:1 1 5.0 0 -, unknown outcome",
    "response 3 5 0 h:1 1 5.0 0 active:x, not a number: x"
  })
  void namesMalformedInputByItsLine(String line, String reason) {
    var e =
        assertThrows(
            MalformedInputException.class, () -> run(batch("5.0", OPEN + LIST + line + "\n")));
    assertTrue(e.getMessage().startsWith("line 6: " + reason), e.getMessage());
  }

  @Test
  void reportsAnException() throws IOException {
    String reply = run(batch("5.0", OPEN + LIST + "knock 3 5 - 500.0 - - 0 unheard\n"));
    assertTrue(reply.startsWith("bug 3 "), reply);
    assertEquals(2, reply.lines().count());
  }
}
