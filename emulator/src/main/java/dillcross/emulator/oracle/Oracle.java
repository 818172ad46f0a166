package dillcross.emulator.oracle;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Checks the rules of one run from outside the sidecars: from what clients sent and received, what
 * endpoints received and when it was sent, and what each process read from the endpoint list. It
 * never reads the sidecars' own state. Each group of rules is a class of its own; this one receives
 * all observations. All times are virtual and in µs unless named otherwise; one thread.
 */
public final class Oracle {
  private final ViolationLog log;
  private final Disturbances disturbances;
  private final AnswerRules answerRules;
  private final AttemptRules attemptRules;
  private final DrainRules drainRules;
  private final DuplicateRules duplicateRules;
  private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();

  /**
   * Creates the oracle of one run.
   *
   * @param startUs start of the run, from which the times of violations count
   */
  public Oracle(LongSupplier nowUs, long startUs, Scenario scenario) {
    int maxAttempts = Integer.parseInt(scenario.sidecarSettings().get("limits.max_pushes"));
    log = new ViolationLog(nowUs, startUs);
    disturbances = new Disturbances(nowUs, scenario.rules());
    answerRules = new AnswerRules(nowUs, log, disturbances);
    attemptRules = new AttemptRules(log, disturbances, maxAttempts);
    drainRules = new DrainRules(nowUs, log, disturbances, scenario.rules());
    duplicateRules = new DuplicateRules(log);
  }

  /** The first violations, in the order in which they were found. */
  public List<Violation> violations() {
    return log.violations();
  }

  /** Number of all violations, including those that were not kept. */
  public long violationCount() {
    return log.count();
  }

  /** All requests by id, in the order in which they were created. */
  public Map<String, ObservedRequest> requests() {
    return Collections.unmodifiableMap(requests);
  }

  /** The request with that id; null if there is none, or {@code id} is null. */
  public ObservedRequest request(String id) {
    return id == null ? null : requests.get(id);
  }

  /** Reports a violation found outside the oracle; {@code request} is null if it concerns none. */
  public void report(Rule rule, ObservedRequest request, String message) {
    log.report(rule, request, message);
  }

  // ---- Clients

  /** A client has created a request. */
  public void requestCreated(ObservedRequest request) {
    requests.put(request.id(), request);
  }

  /**
   * A client has received an answer.
   *
   * @param sentUs when the sidecar sent the first byte of the answer
   * @param isComplete false if the connection ended within the answer
   * @param isContentIntact whether the body is one that an endpoint made for this request
   */
  public void answerReceived(
      ObservedRequest request,
      int status,
      long sentUs,
      boolean isComplete,
      boolean isContentIntact) {
    answerRules.onAnswer(request, status, sentUs, isComplete, isContentIntact);
  }

  /** A client has received bytes while it awaited no answer. */
  public void unexpectedBytesReceived(ObservedRequest lastRequest, int byteCount) {
    answerRules.onUnexpectedBytes(lastRequest, byteCount);
  }

  /** The sidecar has closed a client's connection without an answer, while its process runs on. */
  public void connectionDropped(ObservedRequest request) {
    answerRules.onConnectionDropped(request);
  }

  /** A client has waited until its timeout; no violation if the request is over or excused. */
  public void timedOut(ObservedRequest request) {
    answerRules.onTimeout(request);
  }

  // ---- Faults

  /**
   * A sidecar process is suspended between the two times; its deadlines are extended by as much.
   */
  public void processStalled(int sidecar, long fromUs, long untilUs) {
    disturbances.addStall(sidecar, fromUs, untilUs);
  }

  /** Connects may fail or hang between the two times, so that endpoints miss some attempts. */
  public void attemptsHidden(long fromUs, long untilUs) {
    disturbances.addHiddenAttempts(fromUs, untilUs);
  }

  /** The endpoint list is unavailable or outdated for some sidecar between the two times. */
  public void listDisturbed(long fromUs, long untilUs) {
    disturbances.addListOutage(fromUs, untilUs);
  }

  // ---- Endpoint list

  /** The endpoint list has changed: the endpoint is in service, or drains or is removed. */
  public void listChanged(String endpoint, boolean isInService) {
    drainRules.onListChange(endpoint, isInService);
  }

  /** A sidecar process has started. */
  public void processStarted(String process) {
    drainRules.onProcessStart(process);
  }

  /** A sidecar process has read the endpoint's entry. */
  public void entryRead(String process, String endpoint, boolean isInService, long startedMs) {
    drainRules.onEntryRead(process, endpoint, isInService, startedMs);
  }

  /** A sidecar process has read a full list, in which all other endpoints are absent. */
  public void fullListRead(String process, Set<String> endpoints) {
    drainRules.onFullListRead(process, endpoints);
  }

  /** Whether the process has read that the endpoint started at that time, in ms since 1970. */
  public boolean knowsStart(String process, String endpoint, long startedMs) {
    return drainRules.knowsStart(process, endpoint, startedMs);
  }

  // ---- Endpoints

  /**
   * The head of an attempt has arrived at an endpoint.
   *
   * @param process name of the sidecar process that sent it
   * @param sentUs when the process sent the first byte of the attempt
   */
  public ObservedRequest.Attempt attemptReceived(
      ObservedRequest request, String process, EndpointLocation location, long sentUs) {
    ObservedRequest.Attempt attempt = new ObservedRequest.Attempt(location, sentUs);
    request.addAttempt(attempt);
    attemptRules.onAttempt(request, attempt);
    drainRules.onAttempt(process, request, attempt);
    return attempt;
  }

  /** An endpoint has accepted a complete attempt, which may run from now on. */
  public void attemptAccepted(ObservedRequest request, ObservedRequest.Attempt attempt) {
    duplicateRules.onAccepted(request, attempt);
  }

  /** An endpoint executes the request, which it has not recognised as a repeat. */
  public void requestExecuted(ObservedRequest request, String endpoint) {
    duplicateRules.onExecuted(request, endpoint);
  }
}
