package dillcross.net.grizzly;

import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** A TCP connection of Grizzly. */
final class GrizzlyChannel implements TransportChannel {
  private static final int RESET = 0; // the SO_LINGER seconds that make a close a reset

  private final NIOConnection connection;
  private boolean isReadScheduled;
  private Buffer unfinished; // the bytes of the unfinished write; null if there is none

  GrizzlyChannel(NIOConnection connection) {
    this.connection = connection;
  }

  private SocketChannel socket() {
    return (SocketChannel) connection.getChannel();
  }

  @Override
  public int read(ByteBuffer into) throws IOException {
    return socket().read(into);
  }

  /** Grizzly's asynchronous queue takes the bytes for which the socket has no space. */
  @Override
  public void write(ByteBuffer bytes, WriteCallback callback) {
    TCPNIOTransport transport = (TCPNIOTransport) connection.getTransport();
    unfinished = Buffers.wrap(transport.getMemoryManager(), bytes);
    transport
        .getAsyncQueueIO()
        .getWriter()
        .write(
            connection,
            unfinished,
            new EmptyCompletionHandler<WriteResult<WritableMessage, SocketAddress>>() {
              @Override
              public void completed(WriteResult<WritableMessage, SocketAddress> result) {
                unfinished = null;
                callback.onWritten();
              }

              @Override
              public void failed(Throwable failure) {
                unfinished = null;
                callback.onWriteFailed();
              }
            });
  }

  @Override
  public int bytesTaken() {
    return unfinished == null ? 0 : unfinished.position();
  }

  @Override
  public void retryWrite() throws IOException {
    if (unfinished != null) {
      connection.simulateIOEvent(IOEvent.WRITE);
    }
  }

  @Override
  public void setReadInterest(boolean interested) throws IOException {
    if (interested) {
      connection.enableIOEvent(IOEvent.READ);
    } else {
      connection.disableIOEvent(IOEvent.READ);
    }
  }

  @Override
  public void scheduleRead() {
    if (!isReadScheduled) {
      isReadScheduled = true;
      TCPNIOTransport transport = (TCPNIOTransport) connection.getTransport();
      transport
          .getSelectorHandler()
          .enque(connection.getSelectorRunner(), this::runScheduledRead, null);
    }
  }

  private boolean runScheduledRead() {
    isReadScheduled = false;
    if (connection.isOpen()) {
      ConnectionFilter.handler(connection).onReadable();
    }
    return true;
  }

  @Override
  public void shutdownOutput() throws IOException {
    socket().shutdownOutput();
  }

  @Override
  public void resetOnClose() throws IOException {
    socket().setOption(StandardSocketOptions.SO_LINGER, RESET);
  }

  @Override
  public boolean isOpen() {
    return connection.isOpen();
  }

  @Override
  public void close() {
    connection.terminateSilently();
  }
}
