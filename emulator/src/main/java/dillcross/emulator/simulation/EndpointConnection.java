package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.simulation.EndpointFaults.ResetMoment;
import dillcross.emulator.time.TimeUnits;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * One HTTP connection to an endpoint: reads one request after another, checks its content, rejects
 * it or submits it to the cores, and sends the response. A connection of an earlier process of the
 * endpoint ignores all input.
 */
final class EndpointConnection implements SocketEndpoint.Owner {
  /**
   * A response of more bytes than this is sent in parts of this size, {@link
   * #SEND_CHUNK_INTERVAL_US} apart, with or without chunked transfer encoding.
   */
  private static final int SEND_CHUNK_BYTES = 32 << 10;

  private static final long SEND_CHUNK_INTERVAL_US = 1500;
  private static final long DEFAULT_TIMEOUT_MS = 1000; // for requests without request-timeout-ms

  private final SimulationContext context;
  private final EmulatedEndpoint endpoint;
  private final Scenario.EndpointSettings settings;
  private final SocketEndpoint socket;
  private final int incarnation;
  private final HttpStreamReader incoming = new HttpStreamReader();
  private ObservedRequest request; // null between requests, and for an unknown request
  private ObservedRequest.Attempt attempt; // carries the request; null if request is null
  private boolean isHeadHandled;
  private EndpointWork work; // null unless the endpoint has accepted the request
  private long idleSinceUs;
  private boolean isClosed;

  /** Creates a connection that was just established. */
  EndpointConnection(SimulationContext context, EmulatedEndpoint endpoint, SocketEndpoint socket) {
    this.context = context;
    this.endpoint = endpoint;
    this.socket = socket;
    settings = context.scenario().endpoints();
    incarnation = endpoint.incarnation();
  }

  boolean isClosed() {
    return isClosed;
  }

  /** Starts the idle timeout, which closes the connection if it stays idle until then. */
  void startIdleTimer() {
    idleSinceUs = context.now();
    long startedUs = idleSinceUs;
    context.after(
        TimeUnits.toMicros(settings.idleMs()),
        () -> {
          if (isIdle() && idleSinceUs == startedUs) {
            close();
          }
        });
  }

  private boolean isIdle() {
    return !isClosed && work == null && !incoming.hasHead() && isOfRunningProcess();
  }

  private boolean isOfRunningProcess() {
    return incarnation == endpoint.incarnation();
  }

  // ---- Request

  @Override
  public void onReadable(SocketEndpoint same) {
    if (isClosed || !isOfRunningProcess()) {
      return;
    }
    byte[] bytes = socket.readAll();
    if (bytes.length > 0) {
      incoming.add(bytes, socket.firstSentUs());
    }
    if (incoming.hasHead() && !isHeadHandled) {
      isHeadHandled = true;
      handleHead();
    }
    if (!isClosed && incoming.isComplete() && work == null) {
      handleCompleteRequest();
    }
    if (!isClosed && socket.isInputOver()) {
      handleSenderGone();
    }
  }

  private void handleHead() {
    request = context.oracle().request(incoming.field("request-id"));
    if (request == null) {
      String requestLine = incoming.startLineWord(0) + " " + incoming.startLineWord(1);
      context
          .oracle()
          .report(
              Rule.TRUE_CONTENT,
              null,
              "a request to " + endpoint.id() + " that no client sent: " + requestLine);
      answer(HttpStatus.NOT_FOUND, "", false);
      return;
    }
    attempt =
        context
            .oracle()
            .attemptReceived(
                request,
                endpoint.sidecarProcess(socket.peerHost()),
                endpoint.location(),
                incoming.headSentUs());
    traceAttempt();
    EndpointFaults faults = endpoint.faults();
    if (faults.resetMoment() == ResetMoment.BEFORE_WORK
        && endpoint.random().named("before " + request.id()).happens(faults.resetShare())) {
      context.note("reset", "op", request.id(), "at", endpoint.id(), "when", "before");
      reset();
    }
  }

  private void traceAttempt() {
    context.note(
        "push",
        "op",
        request.id(),
        "to",
        endpoint.id(),
        "from",
        socket.peerHost().toString(),
        "sent",
        incoming.headSentUs() - SimulationContext.START_US,
        "n",
        request.attempts().size());
  }

  private void handleCompleteRequest() {
    if (request == null) {
      return;
    }
    checkBody();
    String timeout = incoming.field("request-timeout-ms");
    long timeoutMs = timeout == null ? DEFAULT_TIMEOUT_MS : Long.parseLong(timeout);
    long deadlineUs = context.now() + timeoutMs * TimeUnits.MICROS_PER_MILLI;
    double workUs = request.requestClass().workMs() * TimeUnits.MICROS_PER_MILLI;
    endpoint.slowStart().recordSentWork(workUs);
    Optional<String> rejectionReason = rejectionReason();
    if (rejectionReason.isPresent()) {
      String reason = rejectionReason.get();
      context.note("away", "op", request.id(), "at", endpoint.id(), "why", reason);
      answer(HttpStatus.SERVICE_UNAVAILABLE, "turned away", true);
      return;
    }
    context.oracle().attemptAccepted(request, attempt);
    work = new EndpointWork(this, request, attempt, deadlineUs);
    endpoint.cores().submit(work);
  }

  private void checkBody() {
    Scenario.RequestClass requestClass = request.requestClass();
    int bodyBytes = requestClass.effect().equals("idempotent") ? 0 : requestClass.bodyBytes();
    if (bodyBytes <= 0) {
      return;
    }
    int expectedBytes = Math.max(bodyBytes, request.id().length() + 1);
    boolean isIntact =
        incoming.bodyLength() == expectedBytes
            && incoming.bodyStart().startsWith(request.id() + " ");
    if (!isIntact) {
      String message =
          "its content came to " + endpoint.id() + " spoilt: " + incoming.bodyLength() + " bytes";
      context.oracle().report(Rule.TRUE_CONTENT, request, message);
    }
  }

  /** Why the endpoint rejects the request, as written to the trace; empty if it is accepted. */
  private Optional<String> rejectionReason() {
    if (endpoint.isDraining()) {
      return Optional.of("drain");
    }
    if (endpoint.cores().isQueueFull()) {
      return Optional.of("queue");
    }
    int maxConnections = Math.min(settings.connections(), endpoint.faults().maxConnections());
    if (endpoint.connectionCount() > maxConnections) {
      return Optional.of("connections");
    }
    return Optional.empty();
  }

  private void handleSenderGone() {
    if (work != null) {
      work.abandon();
      endpoint.cores().cancel(work);
    }
    close();
  }

  // ---- Response

  /**
   * Sends a short response.
   *
   * @param isNotStarted whether the response declares that the request was not executed
   */
  void answer(int status, String text, boolean isNotStarted) {
    byte[] body = text.getBytes(StandardCharsets.ISO_8859_1);
    send(status, body, isNotStarted ? "1" : null, false);
  }

  /** Sends the regular response of a request that was executed. */
  void sendResult(byte[] body) {
    send(HttpStatus.OK, body, null, settings.chunks());
  }

  /** Sends the bytes unchanged; the request remains the current one. */
  void sendRaw(byte[] bytes) {
    socket.send(bytes, null);
  }

  private void send(int status, byte[] body, String notStarted, boolean isChunked) {
    boolean isLast = endpoint.isDraining();
    byte[] bytes =
        HttpStreamReader.message(
            "HTTP/1.1 " + status + " x",
            body,
            isChunked,
            "Not-Started",
            notStarted,
            "Server-Load",
            reportsLoad() ? loadReport() : null,
            "Connection",
            isLast ? "close" : null);
    if (attempt != null) {
      attempt.end(context.now());
    }
    sendFrom(bytes, 0, isLast);
  }

  private boolean reportsLoad() {
    return !settings.chunks()
        && settings.reportShare() > 0
        && request != null
        && endpoint.random().named("report " + request.id()).happens(settings.reportShare());
  }

  private String loadReport() {
    EndpointCores cores = endpoint.cores();
    return "TEXT inflight=" + cores.runningCount() + ", queue=" + cores.queuedCount();
  }

  private void sendFrom(byte[] bytes, int from, boolean isLast) {
    if (isClosed || (!isOfRunningProcess() && from > 0)) {
      return;
    }
    int to = Math.min(bytes.length, from + SEND_CHUNK_BYTES);
    boolean isComplete = to == bytes.length;
    ObservedRequest.Attempt answered = attempt;
    Runnable onRead = answered == null || !isComplete ? null : answered::markAnswerRead;
    socket.send(from == 0 && isComplete ? bytes : Arrays.copyOfRange(bytes, from, to), onRead);
    if (isComplete) {
      finishExchange(isLast);
    } else {
      context.after(SEND_CHUNK_INTERVAL_US, () -> sendFrom(bytes, to, isLast));
    }
  }

  private void finishExchange(boolean isLast) {
    request = null;
    attempt = null;
    isHeadHandled = false;
    work = null;
    incoming.startNextMessage();
    if (isLast) {
      close();
      return;
    }
    startIdleTimer();
    if (incoming.unreadByteCount() > 0 || incoming.hasHead()) {
      onReadable(socket);
    }
  }

  /** Closes the connection without a reset, and records the end of the attempt on it. */
  void close() {
    markClosed();
    socket.close();
  }

  /** Closes the connection with a reset, and records the end of the attempt on it. */
  void reset() {
    markClosed();
    socket.reset();
  }

  private void markClosed() {
    isClosed = true;
    endpoint.removeConnection(this);
    if (attempt != null) {
      attempt.end(context.now());
    }
  }
}
