package dillcross.emulator.oracle;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Rule that a draining or removed endpoint gets no more attempts: neither from a sidecar process
 * that has read this from the endpoint list, nor from one that had enough time to read it.
 */
final class DrainRules {
  /**
   * Time in µs within which a sidecar must have read a change of the endpoint list, if the
   * discovery service was available throughout.
   */
  private static final long READ_WITHIN_US = 6_000_000;

  /**
   * State of an endpoint in the list as a sidecar process has read it.
   *
   * @param sinceUs when the process first read this state
   * @param startedMs when the endpoint started, in ms since 1970
   */
  private record KnownState(boolean isInService, long sinceUs, long startedMs) {}

  private final LongSupplier nowUs;
  private final ViolationLog log;
  private final Disturbances disturbances;
  private final double slackUs;
  private final Map<String, Map<String, KnownState>> knownByProcess = new HashMap<>();
  private final Map<String, Long> processStartUs = new HashMap<>();
  private final Map<String, Long> leavingSinceUs =
      new HashMap<>(); // by endpoint id; absent while the endpoint is in service

  DrainRules(
      LongSupplier nowUs, ViolationLog log, Disturbances disturbances, Scenario.Rules rules) {
    this.nowUs = nowUs;
    this.log = log;
    this.disturbances = disturbances;
    slackUs = rules.drainSlackMs() * TimeUnits.MICROS_PER_MILLI;
  }

  /** See {@link Oracle#listChanged}. */
  void onListChange(String endpoint, boolean isInService) {
    if (isInService) {
      leavingSinceUs.remove(endpoint);
    } else {
      leavingSinceUs.putIfAbsent(endpoint, nowUs.getAsLong());
    }
  }

  /** See {@link Oracle#processStarted}. */
  void onProcessStart(String process) {
    processStartUs.put(process, nowUs.getAsLong());
  }

  /** See {@link Oracle#entryRead}. */
  void onEntryRead(String process, String endpoint, boolean isInService, long startedMs) {
    Map<String, KnownState> known = knownByProcess.computeIfAbsent(process, p -> new HashMap<>());
    KnownState previous = known.get(endpoint);
    if (previous == null
        || previous.isInService != isInService
        || previous.startedMs != startedMs) {
      known.put(endpoint, new KnownState(isInService, nowUs.getAsLong(), startedMs));
    }
  }

  /** See {@link Oracle#fullListRead}. */
  void onFullListRead(String process, Set<String> endpoints) {
    Map<String, KnownState> known = knownByProcess.computeIfAbsent(process, p -> new HashMap<>());
    known.replaceAll(
        (endpoint, state) ->
            endpoints.contains(endpoint) || !state.isInService
                ? state
                : new KnownState(false, nowUs.getAsLong(), state.startedMs));
  }

  /** See {@link Oracle#knowsStart}. */
  boolean knowsStart(String process, String endpoint, long startedMs) {
    KnownState state = knownState(process, endpoint);
    return state != null && state.startedMs == startedMs;
  }

  /** Checks an attempt that the process sent. */
  void onAttempt(String process, ObservedRequest request, ObservedRequest.Attempt attempt) {
    String endpoint = attempt.endpoint();
    KnownState state = knownState(process, endpoint);
    if (state != null && !state.isInService && attempt.sentUs() > state.sinceUs + slackUs) {
      report(request, attempt, state.sinceUs, "it was told to drain");
    } else if (leavingSinceUs.containsKey(endpoint)
        && attempt.sentUs() > readByUs(process, endpoint) + slackUs) {
      report(request, attempt, readByUs(process, endpoint), "its drain counted as told");
    }
  }

  private void report(
      ObservedRequest request, ObservedRequest.Attempt attempt, long fromUs, String event) {
    long lateMs = (attempt.sentUs() - fromUs) / TimeUnits.MICROS_PER_MILLI;
    log.report(
        Rule.DRAIN_KEPT,
        request,
        "a push to " + attempt.endpoint() + " left " + lateMs + " ms after " + event);
  }

  private KnownState knownState(String process, String endpoint) {
    return knownByProcess.getOrDefault(process, Map.of()).get(endpoint);
  }

  /** Time in µs by which the process must have read that the endpoint leaves service. */
  private long readByUs(String process, String endpoint) {
    long fromUs = Math.max(leavingSinceUs.get(endpoint), processStartUs.getOrDefault(process, 0L));
    return disturbances.startOfUndisturbedList(fromUs, READ_WITHIN_US) + READ_WITHIN_US;
  }
}
