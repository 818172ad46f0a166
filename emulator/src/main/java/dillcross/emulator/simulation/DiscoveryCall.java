package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.time.TimeUnits;
import java.nio.charset.StandardCharsets;

/**
 * One connection to the discovery service. Each request asks for the endpoint list, or watches it:
 * a watch is answered once the list has changed or the timeout of the watch has passed.
 */
final class DiscoveryCall implements SocketEndpoint.Owner {
  private static final long MAX_WATCH_MS = 60_000;

  private final SimulationContext context;
  private final DiscoveryService service;
  private final SocketEndpoint socket;
  private final HttpStreamReader incoming = new HttpStreamReader();
  private long sinceVersion; // version of the list that the caller has; 0 for none
  private boolean isRequested; // whether a request awaits its answer

  DiscoveryCall(SimulationContext context, DiscoveryService service, SocketEndpoint socket) {
    this.context = context;
    this.service = service;
    this.socket = socket;
  }

  @Override
  public void onReadable(SocketEndpoint same) {
    byte[] bytes = socket.readAll();
    if (bytes.length > 0) {
      incoming.add(bytes, socket.firstSentUs());
    }
    if (incoming.isComplete() && !isRequested) {
      isRequested = true;
      double delayMs = service.drawDelayMs(socket.peerHost());
      context.after(TimeUnits.toMicros(delayMs), this::handleRequest);
    }
    if (socket.isInputOver()) {
      service.remove(this);
      socket.close();
    }
  }

  private void handleRequest() {
    if (!service.isOpen(this)) {
      return;
    }
    if (service.isUnavailable()) {
      if (service.outage() == DiscoveryService.Outage.ERROR) {
        byte[] body = "{}".getBytes(StandardCharsets.US_ASCII);
        send(HttpStatus.SERVICE_UNAVAILABLE, body, null);
      }
      return;
    }
    String target = incoming.startLineWord(1);
    sinceVersion = parameter(target, "since=");
    long timeoutMs = Math.min(MAX_WATCH_MS, parameter(target, "timeout_ms="));
    if (hasChanged()) {
      answerIfChanged();
      return;
    }
    service.addWatch(this);
    context.after(
        timeoutMs * TimeUnits.MICROS_PER_MILLI,
        () -> {
          if (service.isWatching(this)) {
            answer();
          }
        });
  }

  private boolean hasChanged() {
    return sinceVersion != service.registry().publishedVersion();
  }

  /** Answers if the service is available and the list differs from the one that the caller has. */
  void answerIfChanged() {
    if (!service.isUnavailable() && hasChanged()) {
      answer();
    }
  }

  private void answer() {
    service.removeWatch(this);
    EndpointRegistry.Update update = service.registry().updateSince(sinceVersion);
    send(
        HttpStatus.OK,
        DiscoveryService.toJsonBytes(update.toJson()),
        () -> service.onUpdateRead(socket.peerHost(), update));
  }

  private void send(int status, byte[] body, Runnable onRead) {
    String statusLine = "HTTP/1.1 " + status + " x";
    socket.send(
        HttpStreamReader.message(statusLine, body, false, "Content-Type", "application/json"),
        onRead);
    isRequested = false;
    incoming.startNextMessage();
  }

  private static long parameter(String target, String name) {
    int start = target.indexOf(name);
    if (start < 0) {
      return 0;
    }
    int end = start + name.length();
    while (end < target.length() && Character.isDigit(target.charAt(end))) {
      end++;
    }
    return Long.parseLong(target.substring(start + name.length(), end));
  }
}
