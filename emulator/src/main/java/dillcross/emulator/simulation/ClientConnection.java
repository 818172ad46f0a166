package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.time.TimeUnits;

/**
 * A client's connection to its sidecar, which carries one request at a time. Reads the answers, has
 * the oracle check them, and determines why the connection ended.
 */
final class ClientConnection implements SocketEndpoint.Owner {
  private final SimulationContext context;
  private final EmulatedClients clients;
  private final SidecarProcess sidecar;
  private final boolean isReserved;
  private SocketEndpoint socket; // null before the first request
  private HttpStreamReader incoming = new HttpStreamReader();
  private ObservedRequest request; // the request that awaits its answer; null while idle
  private ObservedRequest lastRequest; // the latest request that ended; null if none has
  private int requestByteCount; // length of the latest request in bytes, with its head
  private boolean isResent; // whether the request was sent again on a new connection
  private boolean isClosed;
  private String process; // name of the sidecar process when the request was sent

  /**
   * Creates a connection, which is opened for its first request.
   *
   * @param isReserved whether the connection stays out of the pool of idle connections
   */
  ClientConnection(
      SimulationContext context,
      EmulatedClients clients,
      SidecarProcess sidecar,
      boolean isReserved) {
    this.context = context;
    this.clients = clients;
    this.sidecar = sidecar;
    this.isReserved = isReserved;
  }

  /** Whether the connection is open and carries no request. */
  boolean isIdle() {
    return !isClosed && request == null && socket != null && socket.isOpen() && !socket.wasReset();
  }

  boolean isClosed() {
    return isClosed;
  }

  /** Sends the request, after connecting if it is the first request of the connection. */
  void send(ObservedRequest next) {
    clients.onRequestStarted();
    request = next;
    isResent = false;
    if (socket == null) {
      connect();
    } else {
      send();
    }
  }

  private void connect() {
    incoming = new HttpStreamReader();
    process = sidecar.processName();
    socket = context.network().connect(sidecar.app(), sidecar.address(), this);
  }

  @Override
  public void onConnected(SocketEndpoint same) {
    if (request != null) {
      send();
    }
  }

  @Override
  public void onConnectFailed(SocketEndpoint same) {
    isClosed = true;
    ObservedRequest refused = request;
    if (refused != null) {
      finishRequest();
      clients.onNotAccepted();
      refused.markNotAccepted();
      context.note("nobody", "op", refused.id());
    }
  }

  private void send() {
    process = sidecar.processName();
    ClientRequestSender sender =
        new ClientRequestSender(
            context, this, socket, request, clients.random().named(request.id()));
    requestByteCount = sender.byteCount();
    sender.send(clients.leaveShare());
  }

  /** Whether the request still awaits its answer on that socket. */
  boolean isWaitingOn(SocketEndpoint candidate, ObservedRequest candidateRequest) {
    return candidate == socket && candidateRequest == request;
  }

  /**
   * Starts the timeout of a request whose last byte was sent, or was read by the sidecar if the
   * body is large.
   */
  void onSent(ObservedRequest sent) {
    if (request != sent) {
      return;
    }
    sent.markSent(context.now());
    context.note(
        "ask",
        "op",
        sent.id(),
        "at",
        sidecar.name(),
        "kind",
        sent.requestClass().name(),
        "try",
        sent.retryNumber());
    double extraWaitMs = context.scenario().clients().extraWaitMs();
    context.after(
        sent.timeoutUs() + TimeUnits.toMicros(extraWaitMs),
        () -> {
          if (request == sent && !incoming.hasHead()) {
            context.oracle().timedOut(sent);
            close();
            finishRequest();
          }
        });
  }

  /** Closes the connection if the request still awaits its answer. */
  void disconnect(ObservedRequest abandoned) {
    if (request == abandoned) {
      context.note("leave", "op", abandoned.id());
      abandoned.markClientDisconnected(context.now());
      close();
      finishRequest();
    }
  }

  private void close() {
    isClosed = true;
    socket.close();
  }

  private void finishRequest() {
    clients.onRequestFinished();
    lastRequest = request;
    request = null;
  }

  // ---- Answer

  @Override
  public void onReadable(SocketEndpoint same) {
    if (same != socket || isClosed) {
      return;
    }
    byte[] bytes = socket.readAll();
    if (bytes.length > 0) {
      if (request == null) {
        context.oracle().unexpectedBytesReceived(lastRequest, bytes.length);
      }
      incoming.add(bytes, socket.firstSentUs());
    }
    if (request != null && incoming.isComplete()) {
      handleAnswer();
    }
    if (!isClosed && socket.isInputOver()) {
      handleEnd();
    }
  }

  private void handleAnswer() {
    ObservedRequest answered = request;
    int status = Integer.parseInt(incoming.startLineWord(1));
    boolean wasSentCompletely = answered.isSent();
    long latencyUs = wasSentCompletely ? incoming.headSentUs() - answered.sentUs() : -1;
    context.note("answer", "op", answered.id(), "status", status, "us", latencyUs);
    context
        .oracle()
        .answerReceived(answered, status, incoming.headSentUs(), true, isContentIntact(status));
    if (HttpStatus.isInvalidRequest(status)) {
      String message = "a good request was turned down with " + status;
      context.oracle().report(Rule.TRUE_CONTENT, answered, message);
    }
    boolean isLast = !wasSentCompletely || "close".equalsIgnoreCase(incoming.field("connection"));
    String retryAfter = incoming.field("retry-after");
    incoming.startNextMessage();
    finishRequest();
    if (isLast) {
      close();
    } else if (!isReserved) {
      clients.addIdle(this);
    }
    if (HttpStatus.isRejection(status)) {
      clients.onRejected(answered, retryAfter);
    }
  }

  private boolean isContentIntact(int status) {
    return status != HttpStatus.OK
        || (incoming.bodyStart().startsWith(request.id() + " ")
            && incoming.bodyLength() >= request.requestClass().answerBytes());
  }

  /** Handles the end of input: the sidecar closed the connection, or its process ended. */
  private void handleEnd() {
    boolean isUnread =
        request != null
            && !isResent
            && incoming.isEmpty()
            && socket.isUnreadByPeer(requestByteCount);
    boolean hasProcessEnded = !sidecar.isRunning() || !sidecar.processName().equals(process);
    socket.close();
    if (request == null) {
      isClosed = true;
    } else if (isUnread && !hasProcessEnded) {
      // The sidecar closed the idle connection before the request arrived. The request is sent
      // again on a new connection, but only once.
      isResent = true;
      request.markResending();
      connect();
    } else {
      isClosed = true;
      recordMissingAnswer(hasProcessEnded);
      finishRequest();
    }
  }

  private void recordMissingAnswer(boolean hasProcessEnded) {
    if (hasProcessEnded) {
      request.markOrphaned();
      context.note("ended", "op", request.id());
    } else if (incoming.hasHead()) {
      context.note("cut", "op", request.id());
      int status = Integer.parseInt(incoming.startLineWord(1));
      context.oracle().answerReceived(request, status, incoming.headSentUs(), false, true);
    } else if (!request.isSent()) {
      request.markRejectedUnsent();
    } else {
      context.oracle().connectionDropped(request);
    }
  }
}
