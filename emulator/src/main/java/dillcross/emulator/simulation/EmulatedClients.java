package dillcross.emulator.simulation;

import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The application beside one sidecar. Its requests arrive independently of earlier answers. It
 * reuses idle connections, most recently used first, opens another when all are busy, and retries
 * rejected requests as the scenario says.
 */
final class EmulatedClients {
  private static final double IMMEDIATE_RETRY_MS = 1;
  private static final double MILLIS_PER_SECOND = 1000;

  private final SimulationContext context;
  private final SidecarProcess sidecar;
  private final Scenario.ClientSettings settings;
  private final RandomStream random;
  private final List<Scenario.RequestClass> requestClasses;
  private final double totalShare;
  private final ArrivalProcess arrivals;
  private final InvalidClients invalidClients;
  private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>(); // last used at the end
  private final List<ClientConnection> reserved = new ArrayList<>();
  private double leaveShare;
  private long createdCount;
  private long openCount;
  private long notAcceptedCount;
  private long retryCount;

  /** The clients of that sidecar; none sends before {@link #start}. */
  EmulatedClients(SimulationContext context, SidecarProcess sidecar) {
    this.context = context;
    this.sidecar = sidecar;
    settings = context.scenario().clients();
    random = context.random().named("clients of " + sidecar.name());
    requestClasses = context.scenario().requestClasses();
    totalShare = requestClasses.stream().mapToDouble(Scenario.RequestClass::share).sum();
    leaveShare = settings.leaveShare();
    arrivals =
        new ArrivalProcess(
            context, random, settings.perS(), () -> sendOnAnyConnection(newRequest()));
    invalidClients = new InvalidClients(context, sidecar);
  }

  /** Requests that await an answer or a retry. */
  long openCount() {
    return openCount;
  }

  /** Requests that no sidecar process accepted. */
  long notAcceptedCount() {
    return notAcceptedCount;
  }

  /** Retries that clients made after a rejection. */
  long retryCount() {
    return retryCount;
  }

  /** The stream of these clients, from which each request's own stream derives. */
  RandomStream random() {
    return random;
  }

  /** Share of clients that leave before the answer, at present. */
  double leaveShare() {
    return leaveShare;
  }

  // ---- Requests

  /** Opens the reserved connections, and lets requests arrive until the given time in µs. */
  void start(long untilUs) {
    for (int i = 0; i < settings.resting(); i++) {
      ClientConnection connection = new ClientConnection(context, this, sidecar, true);
      reserved.add(connection);
      connection.send(newRequest());
    }
    arrivals.runUntil(untilUs);
  }

  private ObservedRequest newRequest() {
    createdCount++;
    String id = sidecar.name() + "-" + createdCount;
    return register(
        new ObservedRequest(id, "k" + id, drawRequestClass(), sidecar.index(), 0, context.now()));
  }

  private ObservedRequest retryOf(ObservedRequest earlier) {
    int retryNumber = earlier.retryNumber() + 1;
    return register(
        new ObservedRequest(
            earlier.id() + "." + retryNumber,
            earlier.key(),
            earlier.requestClass(),
            sidecar.index(),
            retryNumber,
            context.now()));
  }

  private ObservedRequest register(ObservedRequest request) {
    context.oracle().requestCreated(request);
    return request;
  }

  private Scenario.RequestClass drawRequestClass() {
    double remaining = random.between(0.0, totalShare);
    for (Scenario.RequestClass requestClass : requestClasses) {
      remaining -= requestClass.share();
      if (remaining < 0) {
        return requestClass;
      }
    }
    return requestClasses.get(requestClasses.size() - 1);
  }

  private void sendOnAnyConnection(ObservedRequest request) {
    while (!idle.isEmpty()) {
      ClientConnection connection = idle.removeLast();
      if (connection.isIdle()) {
        connection.send(request);
        return;
      }
    }
    new ClientConnection(context, this, sidecar, false).send(request);
  }

  // ---- Calls from connections

  void onRequestStarted() {
    openCount++;
  }

  void onRequestFinished() {
    openCount--;
  }

  void onNotAccepted() {
    notAcceptedCount++;
  }

  /** Returns a connection to the pool. */
  void addIdle(ClientConnection connection) {
    idle.addLast(connection);
  }

  /**
   * Retries a rejected request if the scenario says so. {@code retryAfter} is the header's value in
   * seconds, or null.
   */
  void onRejected(ObservedRequest request, String retryAfter) {
    if (request.retryNumber() >= settings.retries() || settings.retry().equals("none")) {
      return;
    }
    boolean isImmediate = settings.retry().equals("at_once") || retryAfter == null;
    double waitMs =
        isImmediate ? IMMEDIATE_RETRY_MS : Double.parseDouble(retryAfter) * MILLIS_PER_SECOND;
    openCount++;
    retryCount++;
    context.after(
        TimeUnits.toMicros(waitMs),
        () -> {
          openCount--;
          sendOnAnyConnection(retryOf(request));
        });
  }

  // ---- Faults

  /** Multiplies the arrival rate. */
  void multiplyRate(double factor) {
    arrivals.multiplyRate(factor);
  }

  /** Sets the share of clients that leave early, or restores the scenario's. */
  void setLeaveShare(double share, boolean isActive) {
    leaveShare = isActive ? share : settings.leaveShare();
  }

  /** Sends on reserved connections, each at a time drawn within {@code withinUs} from now. */
  void wakeReserved(int count, long withinUs, RandomStream draws) {
    for (int i = 0; i < Math.min(count, reserved.size()); i++) {
      ClientConnection connection = reserved.get(i);
      context.after(draws.between(0, withinUs), () -> wake(connection));
    }
  }

  private void wake(ClientConnection connection) {
    if (connection.isIdle()) {
      connection.send(newRequest());
    } else if (connection.isClosed()) {
      sendOnAnyConnection(newRequest());
    }
  }

  /** Starts clients that send invalid requests. */
  void startInvalid(int count, long withinUs, RandomStream draws) {
    invalidClients.start(count, withinUs, draws);
  }
}
