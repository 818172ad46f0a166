package dillcross.emulator.oracle;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.HashMap;
import java.util.Map;

/**
 * Rules that work with side effects is executed once: at-most-once work is sent again only if the
 * first attempt cannot run, and deduplicated work only to endpoints that still recognise the
 * repeat.
 */
final class DuplicateRules {
  private static final String IDEMPOTENT = "idempotent";
  private static final String AT_MOST_ONCE = "at_most_once";

  private final ViolationLog log;
  private final Map<String, String> executedAt =
      new HashMap<>(); // id of the executing endpoint by the key of the work

  DuplicateRules(ViolationLog log) {
    this.log = log;
  }

  /** See {@link Oracle#attemptAccepted}. */
  void onAccepted(ObservedRequest request, ObservedRequest.Attempt attempt) {
    attempt.accept();
    if (request.requestClass().effect().equals(IDEMPOTENT)) {
      return;
    }
    for (ObservedRequest.Attempt earlier : request.attempts()) {
      if (earlier != attempt && earlier.mayRun()) {
        checkRepeat(request, earlier, attempt);
      }
    }
  }

  private void checkRepeat(
      ObservedRequest request, ObservedRequest.Attempt earlier, ObservedRequest.Attempt attempt) {
    Scenario.RequestClass requestClass = request.requestClass();
    String first = "pushed to " + earlier.endpoint() + ", which may run it, and to ";
    if (requestClass.effect().equals(AT_MOST_ONCE)) {
      log.report(Rule.NO_EFFECT_TWICE, request, first + attempt.endpoint());
    } else if (!earlier
        .location()
        .sharesDeduplicationScope(attempt.location(), requestClass.scope())) {
      String message = first + attempt.endpoint() + " of another group";
      log.report(Rule.NO_EFFECT_TWICE, request, message);
    } else if (attempt.sentUs() - earlier.sentUs()
        > requestClass.windowMs() * TimeUnits.MICROS_PER_MILLI) {
      String message = "pushed again to " + attempt.endpoint() + " when its group had forgotten it";
      log.report(Rule.NO_EFFECT_TWICE, request, message);
    }
  }

  /** See {@link Oracle#requestExecuted}. */
  void onExecuted(ObservedRequest request, String endpoint) {
    if (request.requestClass().effect().equals(IDEMPOTENT)) {
      return;
    }
    String earlier = executedAt.putIfAbsent(request.key(), endpoint);
    if (earlier != null && !request.isOrphaned()) {
      String message = "carried out at " + earlier + " and again at " + endpoint;
      log.report(Rule.NO_EFFECT_TWICE, request, message);
    }
  }
}
