package dillcross.net;

import dillcross.balancer.LoadBalancer;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import dillcross.model.RequestClass;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.buffer.MemoryUse;
import dillcross.net.buffer.RingBuffer;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.http.HttpRequest;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import dillcross.sidecar.AttemptResult;
import dillcross.sidecar.EndpointEntry;
import dillcross.sidecar.IncomingRequest;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.WriteProgress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs artificial requests through a coordinator, a load balancer and a parser that nothing else
 * uses, before the first client connects: code that has not run yet is slow, and would delay the
 * first requests after a start. Their state is discarded.
 */
public final class WarmUp {
  private static final int REQUESTS = 400;
  private static final int ENDPOINTS = 8;
  private static final int REQUESTS_PER_FAILURE = 50;
  private static final long INTERVAL_US = 1000;
  private static final long TIMEOUT_US = 500_000;
  private static final int BUFFER_BYTES = 1 << 17;
  private static final int BUDGET_BYTES = 1 << 20;
  private static final byte[] BODY = new byte[100];

  private final RequestCoordinator coordinator;
  private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
  private final RingBuffer buffer = new RingBuffer(BUFFER_BYTES, budget, MemoryUse.RESPONSE_OUTPUT);

  private WarmUp(RequestCoordinator coordinator) {
    this.coordinator = coordinator;
  }

  /** Runs requests of these classes through {@code balancer}, which nothing else may use. */
  public static void run(LoadBalancer balancer, List<RequestClass> requestClasses) {
    new WarmUp(new RequestCoordinator(balancer)).run(requestClasses);
  }

  private void run(List<RequestClass> requestClasses) {
    List<EndpointEntry> entries = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      Endpoint endpoint = new Endpoint("e" + i, Health.UP, 0, i % 2, "", 1);
      entries.add(new EndpointEntry(endpoint, "none:" + i));
    }
    coordinator.onEndpointList(1, 1, true, entries, false);
    for (int i = 0; i < REQUESTS; i++) {
      String className = requestClasses.get(i % requestClasses.size()).name();
      runRequest(1 + i * INTERVAL_US, className);
    }
  }

  private void runRequest(long nowUs, String className) {
    Map<String, String> fields = Map.of(HeaderNames.HOST, "a", HeaderNames.REQUEST_ID, "1");
    Object request = encodeAndParse(HttpRequest.of(HttpRequest.POST, "/a/b", fields, BODY), true);
    coordinator.onRequest(
        nowUs, new IncomingRequest(request, request, null, className, TIMEOUT_US, false, false));
    NetworkCommand command = coordinator.next(nowUs);
    while (command != null) {
      if (command instanceof NetworkCommand.SendAttempt attempt) {
        respond(nowUs, attempt);
      }
      command = coordinator.next(nowUs);
    }
  }

  private void respond(long nowUs, NetworkCommand.SendAttempt attempt) {
    Object response = encodeAndParse(HttpResponse.text(HttpStatus.OK, "ok"), false);
    boolean fails = attempt.requestId() % REQUESTS_PER_FAILURE == 0;
    AttemptResult.Kind kind =
        fails ? AttemptResult.Kind.CONNECTION_BROKEN : AttemptResult.Kind.SUCCEEDED;
    coordinator.onAttemptEnded(
        nowUs,
        attempt.requestId(),
        attempt.attempt(),
        new AttemptResult(kind, WriteProgress.FULLY_WRITTEN, response));
  }

  private HttpMessage encodeAndParse(HttpMessage message, boolean isRequest) {
    buffer.add(message.encode());
    int maxBytes = HttpMessageParser.MAX_BUFFERED_BODY_BYTES;
    HttpMessageParser parser = new HttpMessageParser(isRequest, maxBytes, maxBytes, budget);
    HttpMessage parsed = parser.parse(buffer, false).orElseThrow();
    parser.release();
    return parsed;
  }
}
