package dillcross.balancer;

import dillcross.model.AttemptOutcome;
import dillcross.model.BalancerSettings;
import dillcross.model.Decision;
import dillcross.model.Endpoint;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Takes every decision of one sidecar: the facade of this package. Inputs ({@code on...}, {@link
 * #applySettings}) carry the time in whole microseconds of one clock that never goes back, and only
 * update the state. After an input, call {@link #next} until it returns null and carry out each
 * {@link Decision}. Not thread-safe.
 *
 * <p>The path of a request: {@link RequestDeadline} and {@link RequestRanking} at its arrival,
 * {@link RequestScheduler} for each next step. Attempts go through {@link AttemptRouter}, {@link
 * EndpointPicker} and {@link AttemptDispatcher}; {@link RequestQueue} decides which requests wait,
 * and {@link FinalAnswer} answers those that are given up. {@link OutlierEjection} ejects endpoints
 * after consecutive failures, until one request on probation succeeds. Six mechanisms protect the
 * endpoints and the latency of requests:
 *
 * <ol>
 *   <li>{@link SlowStart}: a new or readmitted endpoint gets few attempts at first.
 *   <li>{@link SilenceMonitor}: an overdue attempt counts as a failure before its deadline.
 *   <li>{@link RetryBudget}: retries and hedges are paid for by first attempts.
 *   <li>{@link AdmissionControl}: a concurrency limit, by Little's law.
 *   <li>{@link OutlierEjection}: a smoothed failure fraction ejects as consecutive failures do.
 *   <li>{@link RequestRanking}: waiting requests are ordered by priority weight, class and tenant.
 * </ol>
 */
public final class LoadBalancer {
  // Traffic is measured over a time span in which at least this many requests arrive on average.
  private static final double MIN_REQUESTS_IN_SPAN = 10;

  private static final double DEFAULT_OBJECTIVE_US = 1e6; // if there is no request class

  private final Map<String, ClassState> classes = new HashMap<>();
  private final ArrayDeque<Decision> decisions = new ArrayDeque<>();
  private final RequestTable requests = new RequestTable();
  private final EndpointSets endpoints = new EndpointSets();
  private final CheckQueue checks = new CheckQueue();
  private final TrafficMeter traffic = new TrafficMeter();
  private final RequestDeadline requestDeadlines = new RequestDeadline();
  private final RequestRanking ranking = new RequestRanking();
  private final RemovalGrace removal = new RemovalGrace();
  private final DemandTracker demand;
  private final DiscoverySchedule discovery;
  private final SlowStart slowStart;
  private final EndpointDirectory directory;
  private final EndpointSubset subset;
  private final IdleConnections idleConnections;
  private final InFlightTracker inFlight;
  private final AdmissionControl admission;
  private final AttemptPolicy attemptPolicy;
  private final AttemptDispatcher dispatcher;
  private final EndpointPicker picker;
  private final AttemptCanceller canceller;
  private final FinalAnswer finalAnswer;
  private final RequestQueue queue;
  private final RequestScheduler scheduler;
  private final OutcomeRecorder outcomes;
  private RetryPolicy retryPolicy;
  private long meanObjectiveUs; // mean latency objective of the configured classes
  private long now; // time of the latest input, in microseconds
  private long nextSequence;
  private long timerUs = Long.MAX_VALUE; // when the next scheduled timer is due; MAX_VALUE if none

  /**
   * Creates a load balancer without endpoints. The same seed and the same calls give the same
   * decisions.
   */
  public LoadBalancer(long seed, BalancerSettings settings) {
    Random random = new Random(seed);
    demand = new DemandTracker(classes.values());
    discovery = new DiscoverySchedule(random);
    slowStart = new SlowStart(random, traffic, endpoints);
    directory = new EndpointDirectory(slowStart, removal);
    subset = new EndpointSubset(directory, endpoints);
    idleConnections = new IdleConnections(directory, endpoints, decisions);
    inFlight = new InFlightTracker(traffic, directory);
    SlowdownEstimator slowdown = new SlowdownEstimator(traffic, classes.values());
    admission = new AdmissionControl(traffic, inFlight, slowdown, endpoints);
    OutlierEjection ejection = new OutlierEjection(random, slowStart, subset);
    DuplicateGuard duplicates = new DuplicateGuard(directory);
    attemptPolicy = new AttemptPolicy(duplicates, new RetryBudget());
    SilenceMonitor silence =
        new SilenceMonitor(checks, inFlight, ejection, attemptPolicy, this::hedge);
    AttemptDeadline attemptDeadlines = new AttemptDeadline(duplicates, silence);
    dispatcher =
        new AttemptDispatcher(
            slowStart, attemptPolicy, attemptDeadlines, inFlight, silence, demand, decisions);
    picker = new EndpointPicker(random, directory, endpoints, admission, dispatcher);
    AttemptRouter router = new AttemptRouter(endpoints, ejection, picker, dispatcher);
    canceller = new AttemptCanceller(requests, decisions);
    finalAnswer = new FinalAnswer(random, duplicates, requests, decisions);
    queue = new RequestQueue(requests, endpoints, admission, inFlight, checks, finalAnswer);
    scheduler =
        new RequestScheduler(requests, attemptPolicy, admission, router, queue, finalAnswer);
    outcomes = new OutcomeRecorder(ejection, admission, slowdown, traffic, picker);
    applySettings(0, settings);
  }

  // Inputs

  /**
   * Replaces all settings. Endpoints, open requests, and measurements of classes and tenants that
   * remain are kept.
   */
  public void applySettings(long nowUs, BalancerSettings settings) {
    now = nowUs;
    retryPolicy = settings.retry();
    configureClasses(settings.requestClasses());
    demand.configure(settings.tenants());
    ranking.configure(settings.weightPerWork());
    boolean hasEndpoints = !directory.all().isEmpty();
    discovery.configure(now, settings.discovery(), settings.instanceCount(), hasEndpoints);
    removal.configure(settings.discovery());
    slowStart.configure(settings);
    directory.configure(settings);
    subset.configure(settings);
    admission.configure(settings);
    requestDeadlines.configure(settings.objective());
    attemptPolicy.configure(settings.objective());
    picker.configure(settings);
    finalAnswer.configure(settings.maxRetryAfterUs());
  }

  private void configureClasses(List<RequestClass> configured) {
    meanObjectiveUs =
        (long)
            configured.stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .average()
                .orElse(DEFAULT_OBJECTIVE_US);
    traffic.widenSpan((double) meanObjectiveUs);
    for (RequestClass requestClass : configured) {
      ClassState state =
          classes.computeIfAbsent(requestClass.name(), name -> new ClassState(requestClass));
      state.configure(requestClass);
    }
  }

  /**
   * Applies an update of the endpoint list.
   *
   * @param complete whether {@code entries} are all endpoints; otherwise they are those that
   *     changed
   */
  public void onEndpointList(long nowUs, boolean complete, List<Endpoint> entries) {
    now = nowUs;
    discovery.onList(now);
    if (directory.apply(now, complete, entries)) {
      subset.invalidate();
    }
  }

  /**
   * Schedules another call for the endpoint list after a call failed or its subscription broke.
   *
   * @param maxDelayUs the longest delay before that call, in microseconds, before jitter by a
   *     factor of 0.5 to 1.5
   */
  public void onEndpointListFailure(long nowUs, long maxDelayUs) {
    now = nowUs;
    discovery.onFailure(now, maxDelayUs);
  }

  /**
   * Whether attempts may be sent to the endpoint; the caller keeps its address while this is true.
   */
  public boolean isListed(String endpointId) {
    return directory.isListed(endpointId);
  }

  /**
   * Accepts a request that has arrived.
   *
   * @param id the request's number, not used before
   * @param tenant the request's tenant; null, or a name that the settings do not contain, if it has
   *     no quota
   * @param className the request's class; the settings have to contain it
   * @param timeoutUs how long the client waits for an answer, in microseconds
   * @param isRepeat whether the client says that it has tried the request before
   */
  public void onRequest(
      long nowUs, long id, String tenant, String className, long timeoutUs, boolean isRepeat) {
    now = nowUs;
    Request request = newRequest(id, classes.get(className), timeoutUs);
    if (demand.decayIfDue(now, meanObjectiveUs)) {
      double spanUs = demand.timeForRequestsUs(MIN_REQUESTS_IN_SPAN);
      traffic.setSpan(Math.max((double) meanObjectiveUs, spanUs));
      subset.resize(demand.requestsPerSecond());
    }
    double need = demand.recordArrival(request, tenant);
    ranking.rank(request, need, timeoutUs, isRepeat);
    requests.add(request);
  }

  private Request newRequest(long id, ClassState classState, long timeoutUs) {
    RequestClass requestClass = classState.requestClass();
    boolean isEarly = requestDeadlines.isEarly(requestClass);
    long deadlineUs = now + requestDeadlines.timeoutUs(requestClass, timeoutUs);
    return new Request(id, classState, retryPolicy, now, deadlineUs, isEarly, nextSequence++);
  }

  /**
   * Updates how far a request's body has arrived, if the body did not come with the request.
   *
   * @param complete whether the whole body has arrived
   * @param replayable whether the whole body could be sent again
   */
  public void onRequestBody(long nowUs, long id, boolean complete, boolean replayable) {
    now = nowUs;
    Request request = requests.find(id);
    if (request == null) {
      return;
    }
    request.updateBody(complete, replayable, now);
    if (complete) {
      request.attempts().stream()
          .filter(Attempt::isInFlight)
          .forEach(attempt -> dispatcher.countAsLoad(attempt, now));
    }
  }

  /**
   * Sets until when a request may be answered whose client may have sent all of its body.
   *
   * @param deadlineUs in microseconds; {@code Long.MAX_VALUE} while the client can't have sent all
   */
  public void onBodyDeadline(long nowUs, long id, long deadlineUs) {
    now = nowUs;
    Request request = requests.find(id);
    if (request != null) {
      request.updateBodyDeadline(deadlineUs);
    }
  }

  /** Ends a request that waits; one with attempts in flight gets no others. */
  public void onNoFurtherAttempts(long nowUs, long id) {
    now = nowUs;
    Request request = requests.find(id);
    if (request != null) {
      request.forbidAttempts();
      requests.removeWaiting(request);
      requests.placeAgain(request);
    }
  }

  /** Records that the response of an attempt has begun to stream to the client. */
  public void onResponseStarted(long nowUs, long id, int attemptNumber) {
    now = nowUs;
    Request request = requests.find(id);
    if (request != null && attemptNumber < request.attempts().size()) {
      Attempt attempt = request.attempts().get(attemptNumber);
      request.startStreaming(attempt);
      inFlight.release(attempt, now); // the client, not the endpoint, now sets the pace
      outcomes.recordSuccess(attempt, Math.max(1, now - attempt.sentUs()), now);
      requests.cancelOthers(request);
    }
  }

  /**
   * Records that an attempt has ended.
   *
   * @param attemptNumber the attempt's number within the request, from 0
   * @param elapsedUs the time since the attempt was sent, in microseconds
   * @param requestOver whether the client has its final answer
   */
  public void onAttemptEnded(
      long nowUs,
      long id,
      int attemptNumber,
      AttemptOutcome outcome,
      long elapsedUs,
      boolean requestOver) {
    now = nowUs;
    Request request = requests.find(id);
    boolean isKnown = request != null && attemptNumber < request.attempts().size();
    if (!isKnown || !request.attempts().get(attemptNumber).isInFlight()) {
      return;
    }
    Attempt attempt = request.attempts().get(attemptNumber);
    request.endAttempt(attempt, outcome);
    inFlight.release(attempt, now);
    long tookUs = Math.max(1, elapsedUs); // the clock may not have moved
    outcomes.recordOutcome(attempt, tookUs, now);
    requests.settle(request, requestOver);
    if (!request.isOver() && request.attemptsInFlight() == 0) {
      requests.placeAgain(request);
    }
  }

  /** Records an endpoint's report of how many requests it has in flight. */
  public void onLoadReport(long nowUs, String endpointId, double inFlight) {
    now = nowUs;
    EndpointState endpoint = directory.find(endpointId);
    if (endpoint != null) {
      picker.recordLoadReport(endpoint, inFlight);
    }
  }

  /** Ends a request whose client has disconnected and needs no answer. */
  public void onClientDisconnected(long nowUs, long id) {
    now = nowUs;
    Request request = requests.find(id);
    if (request != null) {
      requests.settle(request, true);
    }
  }

  /** Records that a scheduled timer is due. */
  public void onTimer(long nowUs) {
    now = nowUs;
    if (now >= timerUs) {
      timerUs = Long.MAX_VALUE;
    }
  }

  // Decisions

  /** Returns the next decision to carry out; null if there is none. */
  public Decision next() {
    if (decisions.isEmpty()) {
      decide();
    }
    return decisions.poll();
  }

  private void decide() {
    if (discovery.takeDue(now)) {
      decisions.add(new Decision.WatchEndpoints());
    }
    canceller.cancelUnneeded();
    checks.runDue(now);
    if (subset.refreshIfStale()) {
      inFlight.signalCapacity();
    }
    if (now == demand.lastDecayUs()) {
      if (directory.expireRemoved(now)) {
        subset.invalidate();
      }
      idleConnections.releaseUnused(now);
    }
    scheduler.placeAll(now);
    if (inFlight.takeCapacitySignal()) {
      scheduler.placeWaiting(now);
    }
    queue.shed(traffic.successesPerUs(now), meanObjectiveUs, now);
    scheduleTimer();
  }

  private void hedge(Request request, long nowUs) {
    scheduler.hedge(request, nowUs);
  }

  private void scheduleTimer() {
    long dueUs = Math.min(discovery.nextDueUs(), checks.nextDueUs());
    if (dueUs < timerUs) {
      timerUs = dueUs;
      decisions.add(new Decision.ScheduleTimer(Math.max(0, dueUs - now)));
    }
  }
}
