package dillcross.emulator.oracle;

import dillcross.emulator.time.TimeUnits;
import java.util.Locale;

/**
 * A broken rule.
 *
 * @param atUs time since the start of the run, in µs
 * @param request id of the request concerned; null if there is none
 * @param details text for the report
 */
public record Violation(long atUs, Rule rule, String request, String details) {
  /**
   * The rules that are checked. Their names and descriptions are part of printed and stored
   * results.
   */
  public enum Rule {
    /** Each request gets exactly one answer. */
    ONE_ANSWER("one final answer"),
    /** An answer is sent within the request's timeout. */
    IN_TIME("an answer within the TTL"),
    /** No attempt is sent after the answer, the deadline or the client's close. */
    NOTHING_AFTER("nothing sent after the answer"),
    /** Work with side effects is not executed twice. */
    NO_EFFECT_TWICE("no effect twice"),
    /** A request has at most the configured number of attempts. */
    PUSH_LIMIT("no more pushes than allowed"),
    /** No attempt goes to an endpoint known to drain. */
    DRAIN_KEPT("nothing to an endpoint that drains"),
    /** An endpoint in slow start gets no more work than its reduced capacity permits. */
    COLD_KEPT("no cold endpoint pushed over"),
    /** Requests and answers arrive unchanged. */
    TRUE_CONTENT("content as it was sent"),
    /** A request that is given up is answered without delay. */
    NOT_HELD("what is given up is answered at once"),
    /** A sidecar stays within its descriptor limit. */
    WITHIN_LIMITS("descriptors within their limit"),
    /** A sidecar releases everything once all requests are over. */
    BACK_TO_REST("nothing left when all is over"),
    /** The event loop does not spin. */
    TURNS_END("no turning without end"),
    /** No event loop iteration throws. */
    NO_FAULT("no turn that fails");

    /** The rule as printed in reports. */
    public final String description;

    Rule(String description) {
      this.description = description;
    }
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%10.3f ms  %s%s: %s",
        (double) atUs / TimeUnits.MICROS_PER_MILLI,
        rule.description,
        request == null ? "" : " [" + request + "]",
        details);
  }
}
