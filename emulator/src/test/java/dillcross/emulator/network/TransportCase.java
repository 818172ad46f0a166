package dillcross.emulator.network;

import dillcross.common.NumericAddress;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * One case of the transport contract: a connection between two sides of the same network. It runs
 * on the network's event loop and records what the code above the network can observe.
 */
abstract class TransportCase {
  /** How reading all available bytes ended. */
  enum ReadEnd {
    MORE_MAY_FOLLOW,
    END_OF_INPUT,
    RESET
  }

  /** An action on a channel that may fail. */
  interface ChannelAction {
    void run() throws IOException;
  }

  private static final int READ_BUFFER_BYTES = 64 << 10;

  private final List<String> observations = new ArrayList<>();
  private final CountDownLatch done = new CountDownLatch(1);
  private Network network;
  private TransportChannel accepted;
  private TransportChannel connected;
  private long readByteCount;

  /** Starts the case on the event loop. */
  abstract void begin() throws Exception;

  void network(Network newNetwork) {
    network = newNetwork;
  }

  List<String> observations() {
    return observations;
  }

  CountDownLatch done() {
    return done;
  }

  /** The channel on the listening side. */
  TransportChannel accepted() {
    return accepted;
  }

  /** The channel on the connecting side. */
  TransportChannel connected() {
    return connected;
  }

  /** Bytes read on either side since the last reset of the count. */
  long readByteCount() {
    return readByteCount;
  }

  void readByteCount(long count) {
    readByteCount = count;
  }

  /** Records an observation; ignored once the case is done. */
  void observe(String observation) {
    if (done.getCount() > 0) {
      observations.add(observation);
    }
  }

  /** Ends the case. */
  void end() {
    done.countDown();
  }

  /** Listens for one connection, whose events go to the handler, and returns the address. */
  String listen(Network.ConnectionHandler handler) throws IOException {
    return network
        .bind(
            new InetSocketAddress("127.0.0.1", 0),
            channel -> {
              observe("accepted");
              accepted = channel;
              return handler;
            })
        .address();
  }

  /** Connects, and runs {@code onConnected} when the connection is established. */
  void connect(String address, Network.ConnectionHandler handler, Runnable onConnected) {
    network.connect(
        NumericAddress.parse(address).orElseThrow(),
        new Network.ConnectCallback() {
          @Override
          public Network.ConnectionHandler onOpening(TransportChannel channel) {
            connected = channel;
            return handler;
          }

          @Override
          public void onConnected() {
            onConnected.run();
          }

          @Override
          public void onConnectFailed() {
            observe("connect failed");
            end();
          }
        });
  }

  /** Writes {@code byteCount} bytes, and runs {@code onWritten} when the channel has taken all. */
  void write(TransportChannel channel, int byteCount, Runnable onWritten) {
    channel.write(
        ByteBuffer.allocate(byteCount),
        new TransportChannel.WriteCallback() {
          @Override
          public void onWritten() {
            onWritten.run();
          }

          @Override
          public void onWriteFailed() {
            observe("write failed");
          }
        });
  }

  /** Reads all available bytes and adds their number to {@link #readByteCount()}. */
  ReadEnd readAll(TransportChannel channel) {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    try {
      int count = channel.read(buffer.clear());
      while (count > 0) {
        readByteCount += count;
        count = channel.read(buffer.clear());
      }
      return count < 0 ? ReadEnd.END_OF_INPUT : ReadEnd.MORE_MAY_FOLLOW;
    } catch (IOException reset) {
      return ReadEnd.RESET;
    }
  }

  /** Runs the action; a failure is recorded as an observation, which fails the case. */
  void attempt(ChannelAction action) {
    try {
      action.run();
    } catch (IOException e) {
      observe(e.toString());
    }
  }

  /** A handler of the two events of a connection. */
  static Network.ConnectionHandler handler(Runnable onReadable, Runnable onClosed) {
    return new Network.ConnectionHandler() {
      @Override
      public void onReadable() {
        onReadable.run();
      }

      @Override
      public void onClosed() {
        onClosed.run();
      }
    };
  }
}
