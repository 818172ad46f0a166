package dillcross.emulator.network;

import dillcross.emulator.time.VirtualClock;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What one sidecar's process stands on in place of sockets. Its one thread waits, as at a selector,
 * for what is ready or due, gathers it, makes a turn, and waits again; a turn takes time, in which
 * more becomes ready.
 */
public final class EmulatedNetwork implements Network {
  private static final int MOST_IDLE_TURNS = 20_000; // within a millisecond: it spins

  private final VirtualClock time;
  private final VirtualNetwork fabric;
  private final VirtualMachine host;
  private final String ip;
  private final long turnUs;
  private final Runnable turned;
  private final Set<Socket> ready = new LinkedHashSet<>();
  private EventLoopTask task;
  private long sleeps; // number of the wait that is on; an older one's end is no longer of interest
  private long wakesUs = Long.MAX_VALUE;
  private long busyUntilUs;
  private boolean dead;
  private boolean spins;
  private long turnsMade;
  private long turnsInMs;
  private long msOfTurns;
  private final Set<EmulatedListeningSocket> listeningSockets = new LinkedHashSet<>();

  /** {@code turned} is called after each turn. */
  public EmulatedNetwork(
      VirtualClock time,
      VirtualNetwork fabric,
      VirtualMachine host,
      String ip,
      long turnUs,
      Runnable turned) {
    this.time = time;
    this.fabric = fabric;
    this.host = host;
    this.ip = ip;
    this.turnUs = turnUs;
    this.turned = turned;
  }

  /** It makes turns without end while time stands still. */
  public boolean spins() {
    return spins;
  }

  public long turnsMade() {
    return turnsMade;
  }

  /** The process makes no turn until then. */
  public void stall(long untilUs) {
    busyUntilUs = Math.max(busyUntilUs, untilUs);
  }

  /** The process ends, by its own will or not. */
  public void die() {
    dead = true;
    listeningSockets.forEach(listening -> fabric.unlisten(listening.address));
  }

  @Override
  public void start(EventLoopTask newTask) {
    task = newTask;
    wakeAt(time.now());
  }

  @Override
  public void wakeUp() {
    wakeAt(time.now());
  }

  private void wakeAt(long us) {
    long atUs = Math.max(us, busyUntilUs);
    if (!dead && task != null && atUs < wakesUs) {
      wakesUs = atUs;
      long number = ++sleeps;
      time.at(
          atUs,
          () -> {
            if (number == sleeps && !dead) {
              wakesUs = Long.MAX_VALUE;
              if (time.now() < busyUntilUs) {
                wakeAt(busyUntilUs); // it was stalled meanwhile
              } else {
                round();
              }
            }
          });
    }
  }

  private void round() {
    task.beforeEvents();
    Socket[] now = ready.toArray(new Socket[0]);
    ready.clear();
    for (Socket socket : now) {
      socket.tell();
    }
    task.afterEvents();
    turnsMade++;
    long ms = time.now() / 1000;
    turnsInMs = ms == msOfTurns ? turnsInMs + 1 : 0;
    msOfTurns = ms;
    spins |= turnsInMs > MOST_IDLE_TURNS;
    turned.run();
    if (dead || spins) {
      return;
    }
    busyUntilUs = Math.max(busyUntilUs, time.now() + turnUs);
    if (!ready.isEmpty()) {
      wakeAt(time.now());
    }
    long us = task.maxWaitUs();
    wakeAt(
        us <= 0
            ? time.now()
            : time.now() + (us + 999) / 1000 * 1000); // a selector counts in milliseconds
  }

  private void mark(Socket socket) {
    ready.add(socket);
    wakeAt(time.now());
  }

  @Override
  public boolean hasInheritedSocket() {
    return false;
  }

  /**
   * Days of requests play no talk among sidecars; {@code dillcross.emulator.membership} carries
   * datagrams between memberships.
   */
  @Override
  public DatagramTransport bindDatagrams(
      InetSocketAddress address, int maxBytes, DatagramHandler handler) throws IOException {
    throw new IOException("no datagrams on the emulated wire");
  }

  @Override
  public ListeningSocket bindInherited(ConnectionAcceptor acceptor) throws IOException {
    throw new IOException("no inherited socket on the emulated network");
  }

  @Override
  public ListeningSocket bind(InetSocketAddress at, ConnectionAcceptor acceptor)
      throws IOException {
    EmulatedListeningSocket listening =
        new EmulatedListeningSocket(ip + ":" + at.getPort(), acceptor);
    if (!fabric.listen(listening.address, listening)) {
      throw new IOException("Address already in use: " + listening.address);
    }
    listeningSockets.add(listening);
    return listening;
  }

  @Override
  public void connect(InetSocketAddress to, ConnectCallback callback) {
    Socket socket = new Socket();
    socket.callback = callback;
    socket.end =
        fabric.connect(host, to.getAddress().getHostAddress() + ":" + to.getPort(), socket);
    socket.handler = callback.onOpening(socket);
  }

  /** A listening socket; what connects while it accepts nothing waits in its queue. */
  private final class EmulatedListeningSocket implements ListeningSocket, VirtualNetwork.Entry {
    private final String address;
    private final ConnectionAcceptor acceptor;
    private final ArrayDeque<Socket> queue = new ArrayDeque<>();
    private boolean accepts = true;
    private boolean open = true;

    EmulatedListeningSocket(String address, ConnectionAcceptor acceptor) {
      this.address = address;
      this.acceptor = acceptor;
    }

    @Override
    public VirtualMachine host() {
      return host;
    }

    @Override
    public void connected(SocketEndpoint end) {
      Socket socket = new Socket();
      socket.end = end;
      socket.listening = this;
      end.owner(socket);
      queue.add(socket);
      if (accepts) {
        mark(socket);
      }
    }

    @Override
    public String address() {
      return address;
    }

    @Override
    public boolean isOpen() {
      return open;
    }

    @Override
    public void setAccepting(boolean now) {
      accepts = now;
      if (now) {
        queue.forEach(EmulatedNetwork.this::mark);
      }
    }

    @Override
    public void close() {
      for (Socket waits; accepts && (waits = queue.poll()) != null; ) {
        waits.listening = null;
        waits.handler = acceptor.onAccepted(waits);
        mark(waits);
      }
      open = false;
      fabric.unlisten(address);
      queue.forEach(socket -> socket.end.breakOff());
      queue.clear();
    }
  }

  /** One connection of the process. */
  private final class Socket implements TransportChannel, SocketEndpoint.Owner {
    private SocketEndpoint end;
    private ConnectionHandler handler;
    private ConnectCallback callback; // until it is up
    private EmulatedListeningSocket listening; // until it is accepted
    private boolean cameUp;
    private boolean failed;
    private boolean isTaken;
    private WriteCallback writing; // of the write that is on
    private boolean tells = true;
    private boolean again;
    private boolean closed;

    @Override
    public void up(SocketEndpoint up) {
      cameUp = true;
      mark(this);
    }

    @Override
    public void failed(SocketEndpoint dead) {
      failed = true;
      mark(this);
    }

    @Override
    public void readable(SocketEndpoint from) {
      if (tells && listening == null && callback == null) {
        mark(this);
      } else if (listening != null && listening.accepts) {
        mark(this);
      }
    }

    @Override
    public void taken(SocketEndpoint by) {
      isTaken = true;
      mark(this);
    }

    /** Tells the process what has become ready. */
    void tell() {
      if (closed) {
        return;
      }
      if (listening != null) {
        if (!listening.accepts || !listening.open) {
          return;
        }
        listening.queue.remove(this);
        ConnectionAcceptor acceptor = listening.acceptor;
        listening = null;
        handler = acceptor.onAccepted(this);
      }
      if (callback != null) {
        ConnectCallback by = callback;
        if (failed) {
          callback = null;
          closed = true;
          by.onConnectFailed();
          return;
        } else if (!cameUp) {
          return;
        }
        callback = null;
        by.onConnected();
      }
      if (isTaken && !closed) {
        isTaken = false;
        WriteCallback by = writing;
        writing = null;
        if (end.wasReset()) {
          by.onWriteFailed();
        } else {
          by.onWritten();
        }
      }
      boolean once = again;
      again = false;
      if (!closed && (once || (tells && end.hasNews()))) {
        handler.onReadable();
      }
      if (!closed && tells && end.hasNews()) {
        ready.add(this); // a selector tells of it until it is read
      }
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
      if (closed) {
        throw new IOException("closed");
      }
      int got = end.read(into);
      if (got == -2) {
        throw new IOException("Connection reset");
      }
      return got;
    }

    @Override
    public void write(ByteBuffer run, WriteCallback by) {
      if (closed || end.wasReset()) {
        by.onWriteFailed();
        return;
      }
      writing = by;
      if (!end.send(run)) {
        writing = null;
        by.onWritten();
      }
    }

    @Override
    public void setReadInterest(boolean now) {
      tells = now;
      if (now && !closed && end.hasNews()) {
        mark(this);
      }
    }

    @Override
    public void scheduleRead() {
      again = true;
      mark(this);
    }

    @Override
    public void shutdownOutput() {
      end.endSending();
    }

    @Override
    public void resetOnClose() {
      end.cuts();
    }

    @Override
    public boolean isOpen() {
      return !closed;
    }

    @Override
    public void close() {
      if (!closed) {
        closed = true;
        boolean was = end.isUp() && callback == null && handler != null;
        end.close();
        if (was) {
          handler.onClosed();
        }
      }
    }
  }
}
