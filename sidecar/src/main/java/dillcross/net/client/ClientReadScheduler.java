package dillcross.net.client;

import dillcross.net.connection.Connection;
import dillcross.net.transport.Network;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Decides when the input of clients' connections is read, so that a crowd of clients with large
 * requests does not delay small ones. The first bytes of a request are read at once. If it proves
 * to be larger, its connection joins a queue, from which each iteration of the event loop reads a
 * limited number of bytes, those of the first connection first. Input of a client that waits for
 * its response is read at once, because it tells whether the client is still connected. Belongs to
 * the selector thread.
 */
final class ClientReadScheduler {
  // The bytes of a request that are read at once.
  private static final int SMALL_REQUEST_BYTES = 4 << 10;
  // The bytes that one read of a connection in the queue takes.
  private static final int DEFERRED_READ_BYTES = 16 << 10;
  // The reads from the queue in one iteration of the event loop.
  private static final int MAX_DEFERRED_READS = 4;

  private final LongSupplier clock;
  private final Map<Connection, Long> deferred = new LinkedHashMap<>(); // with when they joined

  /** A scheduler with an empty queue; {@code clock} gives microseconds. */
  ClientReadScheduler(LongSupplier clock) {
    this.clock = clock;
  }

  /** The handler of the events of a client's connection. */
  Network.ConnectionHandler handlerOf(Connection connection) {
    return new Network.ConnectionHandler() {
      @Override
      public void onReadable() {
        read(connection);
      }

      @Override
      public void onClosed() {
        deferred.remove(connection);
        connection.onClosed();
      }
    };
  }

  private void read(Connection connection) {
    if (deferred.containsKey(connection)) {
      return;
    }
    if (!isReceivingRequest(connection)) {
      connection.onReadable();
    } else if (connection.bufferedMessageBytes() < SMALL_REQUEST_BYTES) {
      connection.readUpTo(SMALL_REQUEST_BYTES);
      deferIfUnread(connection);
    } else {
      defer(connection);
    }
  }

  private void deferIfUnread(Connection connection) {
    if (hasUnreadRequest(connection)) {
      defer(connection);
    }
  }

  private static boolean hasUnreadRequest(Connection connection) {
    return isReceivingRequest(connection) && connection.input().unreadSinceUs() > 0;
  }

  private void defer(Connection connection) {
    deferred.put(connection, clock.getAsLong());
    connection.input().defer();
  }

  private static boolean isReceivingRequest(Connection connection) {
    return connection.isOpen()
        && connection.exchange() == null
        && !connection.isClosing()
        && !connection.isOutputBehind()
        && !connection.parser().isStreaming();
  }

  /** Whether connections wait in the queue, so that the event loop must not wait for events. */
  boolean hasDeferred() {
    return !deferred.isEmpty();
  }

  /** Whether the connection waits in the queue: what its client has sent is not known yet. */
  boolean isDeferred(Connection connection) {
    return deferred.containsKey(connection);
  }

  /** For how long the connection has been in the queue, in microseconds; 0 if it is not in it. */
  long deferredForUs(Connection connection) {
    long nowUs = clock.getAsLong();
    return nowUs - deferred.getOrDefault(connection, nowUs);
  }

  /** Removes a connection from the queue, if it is in it: its request is not to be read. */
  void remove(Connection connection) {
    if (deferred.remove(connection) != null) {
      connection.input().endDeferral();
    }
  }

  /** Reads from the first connections in the queue; returns whether there was one. */
  boolean readDeferred() {
    int readCount = 0;
    while (readCount < MAX_DEFERRED_READS && !deferred.isEmpty()) {
      readFirst(deferred.keySet().iterator().next());
      readCount++;
    }
    return readCount > 0;
  }

  private void readFirst(Connection connection) {
    int requestsBefore = connection.activity().requestCount();
    connection.input().endDeferral();
    connection.readUpTo(connection.in().size() + DEFERRED_READ_BYTES);
    boolean isSameRequest = connection.activity().requestCount() == requestsBefore;
    if (hasUnreadRequest(connection) && isSameRequest) {
      connection.input().defer(); // it stays the first, so that its memory is soon free again
    } else {
      deferred.remove(connection);
      deferIfUnread(connection);
    }
  }
}
