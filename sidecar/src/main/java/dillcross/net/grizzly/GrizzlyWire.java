package dillcross.net.grizzly;

import dillcross.net.Wire;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** A socket under Grizzly. */
final class GrizzlyWire implements Wire {
  private final NIOConnection connection;

  GrizzlyWire(NIOConnection connection) {
    this.connection = connection;
  }

  private SocketChannel channel() {
    return (SocketChannel) connection.getChannel();
  }

  @Override
  public int read(ByteBuffer into) throws IOException {
    return channel().read(into);
  }

  /** The transport's queue takes over where the socket is full. */
  @Override
  public void write(ByteBuffer run, Sent done) {
    TCPNIOTransport transport = (TCPNIOTransport) connection.getTransport();
    transport
        .getAsyncQueueIO()
        .getWriter()
        .write(
            connection,
            Buffers.wrap(transport.getMemoryManager(), run),
            new EmptyCompletionHandler<WriteResult<WritableMessage, SocketAddress>>() {
              @Override
              public void completed(WriteResult<WritableMessage, SocketAddress> result) {
                done.sent();
              }

              @Override
              public void failed(Throwable broken) {
                done.broke();
              }
            });
  }

  @Override
  public void tells(boolean now) throws IOException {
    if (now) {
      connection.enableIOEvent(IOEvent.READ);
    } else {
      connection.disableIOEvent(IOEvent.READ);
    }
  }

  @Override
  public void again() throws IOException {
    connection.simulateIOEvent(IOEvent.READ);
  }

  @Override
  public void endSending() throws IOException {
    channel().shutdownOutput();
  }

  @Override
  public void cuts() throws IOException {
    channel().setOption(StandardSocketOptions.SO_LINGER, 0);
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
