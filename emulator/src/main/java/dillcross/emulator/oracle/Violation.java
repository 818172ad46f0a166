package dillcross.emulator.oracle;

/** A rule that was broken: when, which, by what, and of which request where it was one. */
public record Violation(long atUs, Rule rule, String request, String what) {
  /** What is checked. */
  public enum Rule {
    ONE_ANSWER("one final answer"),
    IN_TIME("an answer within the TTL"),
    NOTHING_AFTER("nothing sent after the answer"),
    NO_EFFECT_TWICE("no effect twice"),
    PUSH_LIMIT("no more pushes than allowed"),
    DRAIN_KEPT("nothing to an endpoint that drains"),
    COLD_KEPT("no cold endpoint pushed over"),
    TRUE_CONTENT("content as it was sent"),
    NOT_HELD("what is given up is answered at once"),
    WITHIN_LIMITS("descriptors within their limit"),
    BACK_TO_REST("nothing left when all is over"),
    TURNS_END("no turning without end"),
    NO_FAULT("no turn that fails");

    public final String words;

    Rule(String words) {
      this.words = words;
    }
  }

  @Override
  public String toString() {
    return String.format(
        java.util.Locale.ROOT,
        "%10.3f ms  %s%s: %s",
        atUs / 1000.0,
        rule.words,
        request == null ? "" : " [" + request + "]",
        what);
  }
}
