package dillcross.net.client;

import dillcross.net.admin.Lifecycle;
import dillcross.net.connection.Connection;
import dillcross.net.connection.ConnectionActivity;
import dillcross.net.events.RequestEvent;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import dillcross.sidecar.RequestCoordinator;
import java.util.Optional;

/** The timeouts of clients' connections. Belongs to the selector thread. */
final class ClientExpiry {
  // How long the client has to read the last response and to close the connection.
  private static final long CLOSE_TIMEOUT_US = 500_000;
  // The longest silence: before the first byte of a connection, or within a request body.
  private static final long STALL_TIMEOUT_US = 2_000_000;
  private static final long HEAD_TIMEOUT_US = 2_500_000; // for the head of a request
  // The longest time for a complete request to arrive: enough for up to 64 KiB of body from a slow
  // client, and slack.
  private static final long BODY_TIMEOUT_US = 4_000_000;
  // The longest time for which a large request waits in the queue of reads.
  private static final long DEFERRAL_TIMEOUT_US = 1_000_000;
  // The longest time without a request. Clients that send one request and stay connected would
  // accumulate otherwise.
  private static final long IDLE_TIMEOUT_US = 20_000_000;
  private static final long UNREAD_TIMEOUT_US = 20_000_000; // without the client reading a response

  private final RequestCoordinator coordinator;
  private final Lifecycle lifecycle;
  private final ClientConnections connections;
  private final ClientReadScheduler reads;
  private final ClientExchanges exchanges;
  private final ClientResponder responder;
  private final RetryAfter retryAfter;

  ClientExpiry(
      RequestCoordinator coordinator,
      Lifecycle lifecycle,
      ClientConnections connections,
      ClientReadScheduler reads,
      ClientExchanges exchanges,
      ClientResponder responder,
      RetryAfter retryAfter) {
    this.coordinator = coordinator;
    this.lifecycle = lifecycle;
    this.connections = connections;
    this.reads = reads;
    this.exchanges = exchanges;
    this.responder = responder;
    this.retryAfter = retryAfter;
  }

  /** See {@link ClientListener#expire}. */
  void expire(long nowUs, long maxTimeoutUs) {
    boolean rejectsIncomplete = lifecycle.rejectsIncomplete(maxTimeoutUs, nowUs);
    for (Connection connection : connections.snapshot()) {
      connection.noteProgress(nowUs);
      Optional<PendingRequest> pending = ClientExchanges.find(connection);
      if (connection.activity().outputStalledUs(nowUs) > UNREAD_TIMEOUT_US) {
        exchanges.record(RequestEvent.CLIENT_READS_NOTHING, connection);
        connection.close();
      } else if (connection.isClosing()) {
        expireClosing(connection, nowUs);
      } else if (pending.isPresent()) {
        expireBody(connection, pending.get(), nowUs, maxTimeoutUs);
      } else if (rejectsIncomplete && connection.hasPartialMessage()) {
        rejectUnread(connection, RequestEvent.REQUEST_INCOMPLETE, "shutting down");
      } else if (reads.isDeferred(connection)) {
        expireDeferred(connection);
      } else {
        expireIdle(connection, nowUs);
      }
    }
  }

  private static void expireClosing(Connection connection, long nowUs) {
    ConnectionActivity activity = connection.activity();
    long lastUs = Math.max(activity.lastProgressUs(), activity.idleSinceUs());
    if (connection.out().size() == 0 && nowUs - lastUs > CLOSE_TIMEOUT_US) {
      connection.close();
    }
  }

  /** Ends an exchange whose large request body has stalled. */
  private void expireBody(
      Connection connection, PendingRequest pending, long nowUs, long maxTimeoutUs) {
    if (!connection.parser().isStreaming()) {
      return;
    }
    ConnectionActivity activity = connection.activity();
    long silentUs = nowUs - Math.max(activity.lastInputUs(), activity.idleSinceUs());
    long stalledUs = Math.min(silentUs, connection.relays().inboundStalledUs(nowUs));
    if (!waitsForEndpoint(connection) && silentUs > STALL_TIMEOUT_US) {
      exchanges.record(RequestEvent.REQUEST_INCOMPLETE, connection);
      exchanges.endUnserved(connection);
      coordinator.onClientDisconnected(nowUs, pending.requestId());
      responder.rejectAndClose(
          connection, HttpResponse.text(HttpStatus.REQUEST_TIMEOUT, "the request stopped coming"));
    } else if (stalledUs > Math.max(STALL_TIMEOUT_US, maxTimeoutUs)) {
      coordinator.onBodyStalled(pending.requestId());
    }
  }

  /** Whether a request body goes on only when an endpoint takes what has arrived of it. */
  private static boolean waitsForEndpoint(Connection connection) {
    return connection.input().isPaused()
        || connection.relays().isInboundBehind()
        || connection.parser().hasRestArrived(connection.in());
  }

  /**
   * Rejects a request that has waited too long to be read. Its client may have disconnected, which
   * would not be seen until all that it has sent was read.
   */
  private void expireDeferred(Connection connection) {
    if (reads.deferredForUs(connection) > DEFERRAL_TIMEOUT_US) {
      rejectUnread(connection, RequestEvent.REQUEST_NOT_READ, "too busy to read the request");
    }
  }

  /** Rejects a request of which nothing was forwarded, so that a retry is safe. */
  private void rejectUnread(Connection connection, RequestEvent event, String text) {
    exchanges.record(event, connection);
    reads.remove(connection);
    responder.rejectAndClose(connection, HttpResponse.rejection(text, retryAfter.us()));
  }

  private void expireIdle(Connection connection, long nowUs) {
    // A request that waits because the client reads too slowly does not arrive too late.
    boolean hasPartial = connection.hasPartialMessage() && !connection.isOutputBehind();
    boolean hasOutput = connection.out().size() > 0;
    boolean isSilent = connection.exchange() == null && !hasPartial && !hasOutput;
    if (isSilent && connection.activity().requestCount() > 0) {
      connection.activity().clearPartialMessage();
      if (isIdleTooLong(connection.activity(), nowUs)) {
        ClientConnections.closeIfIdle(connection);
      }
    } else if (hasPartial || !hasOutput) {
      expirePartial(connection, nowUs, isSilent);
    }
  }

  private boolean isIdleTooLong(ConnectionActivity activity, long nowUs) {
    if (lifecycle.closesIdleConnections(nowUs)) {
      return nowUs > activity.idleSinceUs();
    }
    return connections.areScarce()
        ? nowUs - activity.idleSinceUs() > ClientConnections.SHORT_IDLE_TIMEOUT_US
        : nowUs - activity.idleSinceReadUs() > IDLE_TIMEOUT_US;
  }

  private void expirePartial(Connection connection, long nowUs, boolean isSilent) {
    connection.activity().startPartialMessage(nowUs);
    boolean isLate = isRequestLate(connection, nowUs, isSilent);
    boolean isUnwanted =
        lifecycle.closesIdleConnections(nowUs)
            && nowUs - connection.activity().idleSinceUs()
                > ClientConnections.FIRST_BYTE_TIMEOUT_US;
    if (isSilent && (isLate || isUnwanted)) {
      ClientConnections.closeIfIdle(connection);
    } else if (isLate) {
      exchanges.record(RequestEvent.REQUEST_INCOMPLETE, connection);
      responder.rejectAndClose(
          connection,
          HttpResponse.text(HttpStatus.REQUEST_TIMEOUT, "the request did not come whole in time"));
    }
  }

  private static boolean isRequestLate(Connection connection, long nowUs, boolean isSilent) {
    ConnectionActivity activity = connection.activity();
    long elapsedUs = nowUs - activity.partialSinceUs();
    if (connection.parser().isInMessage()) {
      long lastUs = Math.max(activity.lastInputUs(), activity.partialSinceUs());
      return elapsedUs > BODY_TIMEOUT_US || nowUs - lastUs > STALL_TIMEOUT_US;
    }
    return elapsedUs > (isSilent ? STALL_TIMEOUT_US : HEAD_TIMEOUT_US);
  }
}
