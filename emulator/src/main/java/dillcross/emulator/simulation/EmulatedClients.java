package dillcross.emulator.simulation;

import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The clients of one sidecar, on the same machine. Requests arrive independently of earlier
 * answers. The clients reuse idle connections, most recently used first, and open a further
 * connection if all are busy. Rejected requests are retried as the scenario says.
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
  private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>(); // most recently used last
  private final List<ClientConnection> reserved = new ArrayList<>(); // idle until a wake fault
  private double leaveShare;
  private long createdCount;
  private long openCount;
  private long notAcceptedCount;
  private long retryCount;

  /** Creates the clients of the sidecar, which send nothing before {@link #start}. */
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
            context, random, settings.requestsPerSecond(), () -> sendOnAnyConnection(newRequest()));
    invalidClients = new InvalidClients(context, sidecar);
  }

  /** Number of requests that await an answer or a retry. */
  long openCount() {
    return openCount;
  }

  /** Number of requests whose connection no sidecar process accepted. */
  long notAcceptedCount() {
    return notAcceptedCount;
  }

  /** Number of retries that clients made after a rejection. */
  long retryCount() {
    return retryCount;
  }

  /** The random stream of these clients, of which each request's stream is a child. */
  RandomStream random() {
    return random;
  }

  /** Current share of requests whose client disconnects before the answer. */
  double leaveShare() {
    return leaveShare;
  }

  // ---- Requests

  /**
   * Opens the reserved connections, sending one request on each, and generates arrivals until the
   * given time in µs.
   */
  void start(long untilUs) {
    for (int i = 0; i < settings.idleConnections(); i++) {
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

  /** Returns a connection to the pool of idle connections. */
  void addIdle(ClientConnection connection) {
    idle.addLast(connection);
  }

  /**
   * Retries a rejected request if the scenario says so.
   *
   * @param retryAfter value of the Retry-After header field in seconds; null if it was absent
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

  /** Multiplies the arrival rate; factors of overlapping faults multiply. */
  void multiplyRate(double factor) {
    arrivals.multiplyRate(factor);
  }

  /**
   * Sets the share of requests whose client disconnects early, or restores the scenario's share if
   * {@code isActive} is false.
   */
  void setLeaveShare(double share, boolean isActive) {
    leaveShare = isActive ? share : settings.leaveShare();
  }

  /**
   * Sends a request on each of {@code count} reserved connections, at a time drawn within {@code
   * withinUs} from now.
   */
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

  /**
   * Starts {@code count} clients that send invalid requests, each at a time drawn within {@code
   * withinUs} from now.
   */
  void startInvalid(int count, long withinUs, RandomStream draws) {
    invalidClients.start(count, withinUs, draws);
  }
}
