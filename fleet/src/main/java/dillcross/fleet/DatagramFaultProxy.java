package dillcross.fleet;

import dillcross.emulator.random.RandomStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * A UDP proxy between the members that injects faults. It has one socket for each member, whose
 * address the member advertises to the others. Each member sends from a loopback address of its own
 * (127.1.x.y), by which the proxy identifies the sender; the receiving socket identifies the
 * destination. The proxy forwards from the sender's socket, so that the receiver sees the
 * advertised address of the sender. All forwarding runs on one thread. Random faults are drawn from
 * the seed, from one stream per ordered pair of members, in the order of the datagrams of that
 * pair.
 */
final class DatagramFaultProxy implements AutoCloseable {
  private record DelayedDatagram(long atNs, long order, int from, int to, byte[] bytes) {}

  private final Selector selector = Selector.open();
  private final List<DatagramChannel> sockets = new ArrayList<>(); // index: member

  // The address to which each member is bound; null until known.
  private final AtomicReferenceArray<SocketAddress> memberAddresses;

  private final RandomStream[][] randomStreams;
  private final PriorityQueue<DelayedDatagram> delayed =
      new PriorityQueue<>(
          Comparator.comparingLong(DelayedDatagram::atNs)
              .thenComparingLong(DelayedDatagram::order));

  /** The active faults; may be changed from any thread. */
  final List<LinkFault> faults = new CopyOnWriteArrayList<>();

  final AtomicLong forwarded = new AtomicLong();
  final AtomicLong dropped = new AtomicLong();

  /** The bytes of all datagrams that members sent, dropped ones included. */
  final AtomicLong bytes = new AtomicLong();

  private final Thread thread;
  private long order;
  private volatile boolean closed;

  /** Opens one socket for each member and starts forwarding at once. */
  DatagramFaultProxy(int members, long seed) throws IOException {
    memberAddresses = new AtomicReferenceArray<>(members);
    randomStreams = new RandomStream[members][members];
    RandomStream rootStream = RandomStream.of(seed).named("plane");
    for (int i = 0; i < members; i++) {
      DatagramChannel socket = DatagramChannel.open();
      socket.configureBlocking(false);
      socket.bind(new InetSocketAddress("127.0.0.1", 0));
      socket.register(selector, SelectionKey.OP_READ, i);
      sockets.add(socket);
      for (int j = 0; j < members; j++) {
        randomStreams[i][j] = rootStream.named(i + " " + j);
      }
    }
    thread = new Thread(this::run, "datagram-fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** The loopback address, without port, that the member has to bind to. */
  static String bindAddress(int member) {
    return "127.1." + (member >> 7) + "." + ((member & 127) + 1);
  }

  /** The {@code host:port} of the proxy that the member advertises to the others. */
  String address(int member) {
    try {
      return "127.0.0.1:" + ((InetSocketAddress) sockets.get(member).getLocalAddress()).getPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Sets the {@code host:port} to which datagrams for the member are forwarded, so that the member
   * can receive before it first sends.
   */
  void setMemberAddress(int member, String address) {
    int colon = address.lastIndexOf(':');
    memberAddresses.set(
        member,
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
  }

  /** The number of the member with this address; -1 outside 127.1.0.0/16. */
  private static int member(InetAddress address) {
    byte[] parts = address.getAddress();
    return parts[1] != 1 ? -1 : (parts[2] & 255) << 7 | (parts[3] & 255) - 1;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(16 << 10);
    try {
      while (!closed) {
        DelayedDatagram first = delayed.peek();
        long waitMs =
            first == null ? 100 : Math.max(0, (first.atNs - System.nanoTime()) / 1_000_000);
        if (waitMs == 0) {
          selector.selectNow();
        } else {
          selector.select(waitMs);
        }
        for (SelectionKey key : selector.selectedKeys()) {
          receive((DatagramChannel) key.channel(), (int) key.attachment(), buffer);
        }
        selector.selectedKeys().clear();
        for (DelayedDatagram due;
            (due = delayed.peek()) != null && due.atNs <= System.nanoTime(); ) {
          delayed.poll();
          send(due.from, due.to, due.bytes);
        }
      }
    } catch (IOException e) {
      if (!closed) {
        throw new IllegalStateException("datagram fault proxy failed", e);
      }
    }
  }

  private void receive(DatagramChannel socket, int to, ByteBuffer buffer) throws IOException {
    while (true) {
      buffer.clear();
      InetSocketAddress address = (InetSocketAddress) socket.receive(buffer);
      if (address == null) {
        return;
      }
      int from = member(address.getAddress());
      buffer.flip();
      byte[] payload = new byte[buffer.remaining()];
      buffer.get(payload);
      if (from >= 0 && from < memberAddresses.length()) {
        memberAddresses.set(from, address);
        forward(from, to, payload);
      } else {
        send(to, to, payload); // from outside the fleet, as sent by a test
      }
    }
  }

  private void forward(int from, int to, byte[] payload) {
    RandomStream random = randomStreams[from][to];
    long delayUs = 0;
    boolean duplicate = false;
    bytes.addAndGet(payload.length);
    for (LinkFault fault : faults) {
      if (fault.appliesTo(from, to)) {
        if (random.happens(fault.loss())) {
          dropped.incrementAndGet();
          return;
        }
        delayUs += fault.delayUs() + random.between(0L, fault.jitterUs());
        duplicate |= random.happens(fault.duplicated());
        if (random.happens(fault.corrupted())) {
          for (int i = 0; i < 3; i++) {
            payload[(int) random.between(0L, payload.length - 1L)] ^=
                (byte) random.between(1L, 255L);
          }
        }
      }
    }
    for (int i = 0; i < (duplicate ? 2 : 1); i++) {
      if (delayUs == 0) {
        send(from, to, payload);
      } else {
        delayed.add(
            new DelayedDatagram(System.nanoTime() + delayUs * 1000, order++, from, to, payload));
      }
    }
  }

  private void send(int from, int to, byte[] payload) {
    SocketAddress address = memberAddresses.get(to);
    if (address != null) {
      try {
        sockets.get(from).send(ByteBuffer.wrap(payload), address);
        forwarded.incrementAndGet();
      } catch (IOException unreachable) {
        dropped.incrementAndGet();
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    selector.wakeup();
    try {
      thread.join(2000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.close();
    for (DatagramChannel socket : sockets) {
      socket.close();
    }
  }
}
