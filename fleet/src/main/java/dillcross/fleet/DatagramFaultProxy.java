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
 * The fault plane for datagrams: each member is known to the others by a socket of the plane. A
 * member sends from a loopback address of its own (127.1.x.y), so the plane knows who sent what to
 * whom; it passes it on from the sender's socket, so the receiver sees the address that it knows.
 * One thread. What a datagram meets is drawn from the seed, by link and by its number there.
 */
final class DatagramFaultProxy implements AutoCloseable {
  private record Late(long atNs, long order, int from, int to, byte[] bytes) {}

  private final Selector selector = Selector.open();
  private final List<DatagramChannel> sockets = new ArrayList<>(); // by member
  private final AtomicReferenceArray<SocketAddress> homes; // where members really are, as last seen
  private final RandomStream[][] chances;
  private final PriorityQueue<Late> late =
      new PriorityQueue<>(Comparator.comparingLong(Late::atNs).thenComparingLong(Late::order));
  final List<LinkFault> faults = new CopyOnWriteArrayList<>();
  final AtomicLong passed = new AtomicLong();
  final AtomicLong lost = new AtomicLong();
  final AtomicLong bytes = new AtomicLong();
  private final Thread thread;
  private long order;
  private volatile boolean over;

  DatagramFaultProxy(int members, long seed) throws IOException {
    homes = new AtomicReferenceArray<>(members);
    chances = new RandomStream[members][members];
    RandomStream all = RandomStream.of(seed).named("plane");
    for (int i = 0; i < members; i++) {
      DatagramChannel socket = DatagramChannel.open();
      socket.configureBlocking(false);
      socket.bind(new InetSocketAddress("127.0.0.1", 0));
      socket.register(selector, SelectionKey.OP_READ, i);
      sockets.add(socket);
      for (int j = 0; j < members; j++) {
        chances[i][j] = all.named(i + " " + j);
      }
    }
    thread = new Thread(this::run, "plane");
    thread.setDaemon(true);
    thread.start();
  }

  /** The address that member has to bind to; any port. */
  static String home(int member) {
    return "127.1." + (member >> 7) + "." + ((member & 127) + 1);
  }

  /** The address under which the others know that member. */
  String address(int member) {
    try {
      return "127.0.0.1:" + ((InetSocketAddress) sockets.get(member).getLocalAddress()).getPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** That member is at this address now: it may hear before it first speaks. */
  void isAt(int member, String home) {
    int colon = home.lastIndexOf(':');
    homes.set(
        member,
        new InetSocketAddress(
            home.substring(0, colon), Integer.parseInt(home.substring(colon + 1))));
  }

  private static int member(InetAddress home) {
    byte[] parts = home.getAddress();
    return parts[1] != 1 ? -1 : (parts[2] & 255) << 7 | (parts[3] & 255) - 1;
  }

  private void run() {
    ByteBuffer space = ByteBuffer.allocate(16 << 10);
    try {
      while (!over) {
        Late first = late.peek();
        long waitMs =
            first == null ? 100 : Math.max(0, (first.atNs - System.nanoTime()) / 1_000_000);
        if (waitMs == 0) {
          selector.selectNow();
        } else {
          selector.select(waitMs);
        }
        for (SelectionKey key : selector.selectedKeys()) {
          take((DatagramChannel) key.channel(), (int) key.attachment(), space);
        }
        selector.selectedKeys().clear();
        for (Late due; (due = late.peek()) != null && due.atNs <= System.nanoTime(); ) {
          late.poll();
          send(due.from, due.to, due.bytes);
        }
      }
    } catch (IOException e) {
      if (!over) {
        throw new IllegalStateException("the fault plane broke", e);
      }
    }
  }

  private void take(DatagramChannel socket, int to, ByteBuffer space) throws IOException {
    while (true) {
      space.clear();
      InetSocketAddress home = (InetSocketAddress) socket.receive(space);
      if (home == null) {
        return;
      }
      int from = member(home.getAddress());
      space.flip();
      byte[] got = new byte[space.remaining()];
      space.get(got);
      if (from >= 0 && from < homes.length()) {
        homes.set(from, home);
        pass(from, to, got);
      } else {
        send(to, to, got); // from a stranger, as a test sends it
      }
    }
  }

  private void pass(int from, int to, byte[] got) {
    RandomStream random = chances[from][to];
    long delayUs = 0;
    boolean twice = false;
    bytes.addAndGet(got.length);
    for (LinkFault fault : faults) {
      if (fault.concerns(from, to)) {
        if (random.happens(fault.loss())) {
          lost.incrementAndGet();
          return;
        }
        delayUs += fault.delayUs() + random.between(0L, fault.jitterUs());
        twice |= random.happens(fault.twice());
        if (random.happens(fault.garbled())) {
          for (int i = 0; i < 3; i++) {
            got[(int) random.between(0L, got.length - 1L)] ^= (byte) random.between(1L, 255L);
          }
        }
      }
    }
    for (int i = 0; i < (twice ? 2 : 1); i++) {
      if (delayUs == 0) {
        send(from, to, got);
      } else {
        late.add(new Late(System.nanoTime() + delayUs * 1000, order++, from, to, got));
      }
    }
  }

  private void send(int from, int to, byte[] what) {
    SocketAddress home = homes.get(to);
    if (home != null) {
      try {
        sockets.get(from).send(ByteBuffer.wrap(what), home);
        passed.incrementAndGet();
      } catch (IOException nobodyThere) {
        lost.incrementAndGet();
      }
    }
  }

  @Override
  public void close() throws IOException {
    over = true;
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
