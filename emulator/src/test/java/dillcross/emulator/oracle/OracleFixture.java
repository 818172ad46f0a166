package dillcross.emulator.oracle;

import dillcross.emulator.scenario.Scenario;
import java.util.List;

/** The rules of an oracle with a clock that tests advance, and requests with round time limits. */
final class OracleFixture {
  static final int SIDECAR = 0;
  static final String PROCESS = "s0#1";
  static final EndpointLocation FIRST = new EndpointLocation("e0", "a", 0);
  static final EndpointLocation OTHER_ZONE = new EndpointLocation("e1", "b", 1);
  static final double WINDOW_MS = 2_000;
  static final double TARGET_MS = 100;
  static final double TIMEOUT_MS = 500;

  private static final Scenario.Rules RULES = new Scenario.Rules(15, 50, 1);
  private static final int MAX_ATTEMPTS = 2;

  private long nowUs = 1_000_000;
  private final ViolationLog log = new ViolationLog(() -> nowUs, 0);
  final Disturbances disturbances = new Disturbances(() -> nowUs, RULES);
  final AnswerRules answerRules = new AnswerRules(() -> nowUs, log, disturbances);
  final AttemptRules attemptRules = new AttemptRules(log, disturbances, MAX_ATTEMPTS);
  final DrainRules drainRules = new DrainRules(() -> nowUs, log, disturbances, RULES);
  final DuplicateRules duplicateRules = new DuplicateRules(log);

  long nowUs() {
    return nowUs;
  }

  void advanceMs(long millis) {
    nowUs += millis * 1_000;
  }

  /** A request that its client has sent at the current time of the clock. */
  ObservedRequest sentRequest(String effect) {
    Scenario.RequestClass requestClass =
        new Scenario.RequestClass(
            "class", effect, "zone", WINDOW_MS, TARGET_MS, TIMEOUT_MS, 1, 1, 1, 0, 0, 10);
    ObservedRequest request = new ObservedRequest("s0-1", "k1", requestClass, SIDECAR, 0, nowUs);
    request.markSent(nowUs);
    return request;
  }

  /** An attempt of the request, sent and received at the current time of the clock. */
  ObservedRequest.Attempt attempt(ObservedRequest request, EndpointLocation location) {
    ObservedRequest.Attempt attempt = new ObservedRequest.Attempt(location, nowUs);
    request.addAttempt(attempt);
    return attempt;
  }

  /** The names of the rules that were broken, in order. */
  List<String> brokenRules() {
    return log.violations().stream().map(violation -> violation.rule().name()).toList();
  }
}
