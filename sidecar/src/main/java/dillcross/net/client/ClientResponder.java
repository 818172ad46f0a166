package dillcross.net.client;

import dillcross.net.admin.Lifecycle;
import dillcross.net.connection.Connection;
import dillcross.net.events.RequestEvent;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;

/**
 * Sends clients their responses, and decides which connections close afterwards. Belongs to the
 * selector thread.
 */
public final class ClientResponder {
  private final Lifecycle lifecycle;
  private final ClientConnections connections;
  private final ClientExchanges exchanges;
  private final long maxBody;

  ClientResponder(
      Lifecycle lifecycle, ClientConnections connections, ClientExchanges exchanges, long maxBody) {
    this.lifecycle = lifecycle;
    this.connections = connections;
    this.exchanges = exchanges;
    this.maxBody = maxBody;
  }

  /** Sends a response to an invalid or late request, and closes the connection. */
  void rejectAndClose(Connection connection, HttpResponse response) {
    connection.discardRest();
    connections.markIdle(connection);
    send(connection, response);
  }

  /** Sends a client its complete response. */
  public void respond(Caller caller, HttpResponse response) {
    Connection connection = caller.connection();
    recordFailure(connection, response.status());
    boolean mayComeAgain = response.status() == HttpStatus.SERVICE_UNAVAILABLE;
    if (response.status() == HttpStatus.OK || mayComeAgain) {
      exchanges.end(connection);
    } else {
      exchanges.endUnserved(connection);
    }
    connections.markIdle(connection);
    if (closesAfter(caller)) {
      connection.closeAfterNextMessage();
    }
    if (connection.parser().isStreaming()) {
      connection.discardRest(maxBody); // the request's body is still arriving
    }
    if (!connection.isClosing() && caller.isHttp10()) {
      response.fields().put(HeaderNames.CONNECTION, HeaderNames.CONNECTION_KEEP_ALIVE);
    }
    send(connection, response);
    continueReading(connection);
  }

  private void recordFailure(Connection connection, int status) {
    if (status != HttpStatus.OK && ClientExchanges.find(connection).isPresent()) {
      boolean isRejected = status == HttpStatus.SERVICE_UNAVAILABLE;
      RequestEvent event = isRejected ? RequestEvent.REQUEST_REJECTED : RequestEvent.REQUEST_FAILED;
      exchanges.record(event, connection);
    }
  }

  /**
   * Whether the connection closes after its response. While connections are scarce, a connection
   * with a single request so far closes too. The response announces the close, so that the client
   * does not send another request at the same moment.
   */
  private boolean closesAfter(Caller caller) {
    Connection connection = caller.connection();
    boolean isLeastUsed = connections.areScarce() && connection.activity().requestCount() <= 1;
    return lifecycle.closesConnections() || !caller.keepsAlive() || isLeastUsed;
  }

  private void continueReading(Connection connection) {
    connections.resumeAccepting();
    if (!connection.isClosing()) {
      connection.input().resume();
      if (connection.in().size() > 0) {
        connection.input().schedule();
      }
    }
  }

  /**
   * Sends the head and the first bytes of a response whose body is streamed; returns whether the
   * rest has to be written in chunks.
   */
  public boolean startStreaming(Caller caller, HttpResponse response) {
    HttpResponse head = response.forwarded(caller.isHttp10());
    Connection connection = caller.connection();
    boolean untilClose = head.remainingBytes() == HttpMessage.UNTIL_CLOSE;
    connection.beginResponse(untilClose || closesAfter(caller));
    if (connection.closesAfterResponse()) {
      head.announceClose();
    }
    connection.send(head);
    return head.remainingBytes() == HttpMessage.UNKNOWN;
  }

  /**
   * Ends a streamed response. If it broke off, closes the connection in a way that shows the client
   * that the response is truncated.
   */
  public void finishStreaming(Caller caller, boolean complete) {
    Connection connection = caller.connection();
    if (complete) {
      exchanges.end(connection);
    } else {
      exchanges.record(RequestEvent.ANSWER_TRUNCATED, connection);
      exchanges.endUnserved(connection);
    }
    connections.markIdle(connection);
    if (!complete && connection.closesAfterResponse() && caller.isHttp10()) {
      connection.reset();
    } else if (!complete || connection.closesAfterResponse()) {
      connection.closeAfterOutput();
    }
    continueReading(connection);
  }

  private static void send(Connection connection, HttpResponse response) {
    if (connection.isClosing()) {
      response.announceClose();
    }
    connection.send(response);
  }
}
