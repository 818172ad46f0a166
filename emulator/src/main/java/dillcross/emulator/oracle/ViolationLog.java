package dillcross.emulator.oracle;

import dillcross.emulator.oracle.Violation.Rule;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.LongSupplier;

/** Counts violations and stores the first ones, since a broken run can have thousands. */
final class ViolationLog {
  private static final int MAX_STORED = 50;

  private final LongSupplier nowUs;
  private final long startUs;
  private final List<Violation> violations = new ArrayList<>();
  private long count;

  /** Violations carry the time in µs since {@code startUs}. */
  ViolationLog(LongSupplier nowUs, long startUs) {
    this.nowUs = nowUs;
    this.startUs = startUs;
  }

  /** Reports a violation; {@code request} is null if it concerns none. */
  void report(Rule rule, ObservedRequest request, String message) {
    if (count < MAX_STORED) {
      String requestId = request == null ? null : request.id();
      violations.add(new Violation(nowUs.getAsLong() - startUs, rule, requestId, message));
    }
    count++;
  }

  List<Violation> violations() {
    return Collections.unmodifiableList(violations);
  }

  long count() {
    return count;
  }
}
