package dillcross.emulator.simulation;

import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayDeque;

/**
 * The cores of an endpoint and the queue in front of them. A request occupies one core for a time
 * that depends on its class, the endpoint's speed, its load, its slow start and its faults. While
 * the process is paused nothing starts and nothing finishes.
 */
final class EndpointCores {
  /** A recognised duplicate returns the stored result, in the processing time divided by this. */
  private static final int DUPLICATE_COST_DIVISOR = 10;

  private final SimulationContext context;
  private final EmulatedEndpoint endpoint;
  private final EmulatedEndpoints endpoints;
  private final EndpointResponder responder;
  private final Scenario.EndpointSettings settings;
  private final int coreCount;
  private final double speedPerCore;
  private final ArrayDeque<EndpointWork> queue = new ArrayDeque<>();
  private final ArrayDeque<Runnable> deferredByPause = new ArrayDeque<>();
  private int runningCount;
  private int pauseCount;

  EndpointCores(
      SimulationContext context,
      EmulatedEndpoints endpoints,
      EmulatedEndpoint endpoint,
      EndpointResponder responder) {
    this.context = context;
    this.endpoints = endpoints;
    this.endpoint = endpoint;
    this.responder = responder;
    settings = context.scenario().endpoints();
    coreCount = (int) Math.max(1, Math.round(settings.cores()));
    speedPerCore = settings.cores() * endpoint.speed() / coreCount;
  }

  /** Number of requests that occupy a core. */
  int runningCount() {
    return runningCount;
  }

  /** Number of requests that wait for a core. */
  int queuedCount() {
    return queue.size();
  }

  boolean isQueueFull() {
    return queue.size() >= settings.queue();
  }

  /** Queues the work and starts it at once if a core is free. */
  void submit(EndpointWork work) {
    queue.add(work);
    startQueued();
  }

  /** Removes the work from the queue; no effect if it has started. */
  void cancel(EndpointWork work) {
    queue.remove(work);
  }

  /** Starts or ends one pause of the process; pauses may overlap. */
  void setPaused(boolean isStarting) {
    pauseCount += isStarting ? 1 : -1;
    while (pauseCount == 0 && !deferredByPause.isEmpty()) {
      deferredByPause.poll().run();
    }
  }

  /** Drops all work because the process ended. */
  void clear() {
    runningCount = 0;
    queue.forEach(work -> work.attempt().end(context.now()));
    queue.clear();
    deferredByPause.clear();
  }

  private void startQueued() {
    while (runningCount < coreCount && !queue.isEmpty() && pauseCount == 0) {
      start(queue.poll());
    }
    if (pauseCount > 0 && !queue.isEmpty() && deferredByPause.isEmpty()) {
      deferredByPause.add(this::startQueued);
    }
  }

  private void start(EndpointWork work) {
    ObservedRequest request = work.request();
    if (work.isExpired(context.now())) {
      context.note("expired", "op", request.id(), "at", endpoint.id());
      work.connection().answer(HttpStatus.GATEWAY_TIMEOUT, "too late", true);
      return;
    }
    runningCount++;
    boolean isFirst = isFirstExecution(request);
    if (isFirst) {
      context.oracle().requestExecuted(request, endpoint.id());
    }
    context.note("begin", "op", request.id(), "at", endpoint.id(), "first", isFirst);
    double durationUs = durationUs(request);
    int incarnation = endpoint.incarnation();
    context.after(
        Math.round(isFirst ? durationUs : durationUs / DUPLICATE_COST_DIVISOR),
        () -> {
          if (incarnation == endpoint.incarnation()) {
            finish(work);
          }
        });
  }

  private boolean isFirstExecution(ObservedRequest request) {
    Scenario.RequestClass requestClass = request.requestClass();
    return requestClass.effect().equals("idempotent")
        || requestClass.effect().equals("at_most_once")
        || endpoints
            .deduplicationMemory(requestClass, endpoint)
            .recordIfFirst(
                request.key(), context.now(), TimeUnits.toMicros(requestClass.windowMs()));
  }

  /**
   * Processing time in µs of the request at the endpoint's current load, capacity and faults. The
   * random part comes from a stream of the request, so that it is the same at every endpoint and in
   * any order of requests.
   */
  private double durationUs(ObservedRequest request) {
    Scenario.RequestClass requestClass = request.requestClass();
    int inFlightCount = runningCount + queue.size();
    double overload =
        Math.max(0, inFlightCount - settings.overloadThreshold()) * settings.overloadSlowdown();
    double workUs =
        context
            .random()
            .named("work " + request.id())
            .logNormal(requestClass.workMs() * TimeUnits.MICROS_PER_MILLI, requestClass.spread());
    return workUs
        * endpoint.faults().slowdownFactor()
        / endpoint.slowStart().capacityShare()
        / speedPerCore
        * (1 + overload / settings.cores());
  }

  private void finish(EndpointWork work) {
    if (pauseCount > 0) {
      int incarnation = endpoint.incarnation();
      deferredByPause.add(
          () -> {
            if (incarnation == endpoint.incarnation()) {
              finish(work);
            }
          });
      return;
    }
    runningCount--;
    if (!work.isAbandoned() && !work.connection().isClosed() && !endpoint.faults().isSilent()) {
      responder.respond(work);
    }
    startQueued();
  }
}
