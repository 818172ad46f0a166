package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.common.NumericAddress;
import dillcross.emulator.network.EmulatedNetwork;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.VirtualClock;
import dillcross.net.grizzly.GrizzlyNetwork;
import dillcross.net.transport.Network;
import dillcross.net.transport.TransportChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * What the program above can tell of a connection is the same on sockets under Grizzly and on the
 * emulated wire.
 */
class WireContractTest {
  private static final int LARGE = 8 << 20; // more than any system's buffers of one connection hold

  /** A case: it runs on the network's thread, and notes what it sees. */
  private abstract static class Case {
    final List<String> seen = new ArrayList<>();
    final CountDownLatch done = new CountDownLatch(1);
    Network network;
    TransportChannel theirs; // accepted
    TransportChannel ours; // asked for
    long read;

    abstract void begin() throws Exception;

    void note(String what) {
      if (done.getCount() > 0) { // what the selector tells once more is of no interest
        seen.add(what);
      }
    }

    void end() {
      done.countDown();
    }

    /** Both sides; the accepted one hears here. */
    String listen(Network.ConnectionHandler handler) throws IOException {
      return network
          .bind(
              new InetSocketAddress("127.0.0.1", 0),
              wire -> {
                note("accepted");
                theirs = wire;
                return handler;
              })
          .address();
    }

    void connect(String to, Network.ConnectionHandler handler, Runnable up) {
      network.connect(
          NumericAddress.parse(to).orElseThrow(),
          new Network.ConnectCallback() {
            @Override
            public Network.ConnectionHandler onOpening(TransportChannel wire) {
              ours = wire;
              return handler;
            }

            @Override
            public void onConnected() {
              up.run();
            }

            @Override
            public void onConnectFailed() {
              note("failed");
              end();
            }
          });
    }

    void write(TransportChannel to, int bytes, Runnable sent) {
      to.write(
          ByteBuffer.allocate(bytes),
          new TransportChannel.WriteCallback() {
            @Override
            public void onWritten() {
              sent.run();
            }

            @Override
            public void onWriteFailed() {
              note("broke");
            }
          });
    }

    /** Reads all there is: how it ended. */
    String drain(TransportChannel from) {
      ByteBuffer into = ByteBuffer.allocate(1 << 16);
      try {
        for (int got; (got = from.read(into.clear())) != 0; ) {
          if (got < 0) {
            return "end";
          }
          read += got;
        }
        return "more";
      } catch (IOException reset) {
        return "reset";
      }
    }
  }

  private static Network.ConnectionHandler handler(Runnable readable, Runnable closed) {
    return new Network.ConnectionHandler() {
      @Override
      public void onReadable() {
        readable.run();
      }

      @Override
      public void onClosed() {
        closed.run();
      }
    };
  }

  private interface Making {
    Case make();
  }

  /** Plays it on both, and wants the same of both. */
  private static void same(Making making, String... wanted) throws Exception {
    Case real = making.make();
    Queue<Runnable> todo = new ConcurrentLinkedQueue<>();
    GrizzlyNetwork sockets = new GrizzlyNetwork();
    real.network = sockets;
    sockets.start(
        new Network.EventLoopTask() {
          @Override
          public void beforeEvents() {
            // no clock is needed
          }

          @Override
          public void afterEvents() {
            for (Runnable next; (next = todo.poll()) != null; ) {
              next.run();
            }
          }

          @Override
          public long maxWaitUs() {
            return 20_000;
          }
        });
    List<Exception> thrown = new ArrayList<>();
    todo.add(() -> begin(real, thrown));
    assertTrue(real.done.await(20, TimeUnit.SECONDS), () -> "on sockets it saw " + real.seen);
    assertEquals(List.of(), thrown);
    assertEquals(List.of(wanted), real.seen, "on sockets");

    Case emulated = making.make();
    VirtualClock clock = new VirtualClock(1_000_000);
    VirtualNetwork network = new VirtualNetwork(clock, RandomStream.of(1), 100, 1000, 0);
    boolean[] started = new boolean[1];
    EmulatedNetwork wire =
        new EmulatedNetwork(
            clock, network, new VirtualMachine("one", "a"), "127.0.0.1", 20, () -> {});
    emulated.network = wire;
    wire.start(
        new Network.EventLoopTask() {
          @Override
          public void beforeEvents() {
            // no clock is needed
          }

          @Override
          public void afterEvents() {
            if (!started[0]) {
              started[0] = true;
              begin(emulated, thrown);
            }
          }

          @Override
          public long maxWaitUs() {
            return 20_000;
          }
        });
    while (emulated.done.getCount() > 0 && clock.step(30_000_000)) {
      // until it is done
    }
    assertEquals(List.of(), thrown);
    assertEquals(List.of(wanted), emulated.seen, "emulated");
  }

  private static void begin(Case of, List<Exception> thrown) {
    try {
      of.begin();
    } catch (Exception e) {
      thrown.add(e);
      of.end();
    }
  }

  @Test
  void whoConnectsToNobodyIsNotifiedSo() throws Exception {
    int nobody;
    try (ServerSocket free = new ServerSocket(0)) {
      nobody = free.getLocalPort();
    }
    same(
        () ->
            new Case() {
              @Override
              void begin() {
                connect(
                    "127.0.0.1:" + nobody,
                    handler(() -> {}, () -> note("closed")),
                    () -> note("up"));
              }
            },
        "failed");
  }

  @Test
  void whoEndsItsSendingStillReads() throws Exception {
    same(
        () ->
            new Case() {
              @Override
              void begin() throws IOException {
                connect(
                    listen(
                        handler(
                            () -> {
                              if (drain(theirs).equals("end")) {
                                note("theirs: end after " + read);
                                read = 0;
                                write(theirs, 500, () -> theirs.close());
                              }
                            },
                            () -> note("theirs: closed"))),
                    handler(
                        () -> {
                          if (drain(ours).equals("end")) {
                            note("ours: end after " + read);
                            ours.close();
                            end();
                          }
                        },
                        () -> note("ours: closed")),
                    () ->
                        write(
                            ours,
                            300,
                            () -> {
                              try {
                                ours.shutdownOutput();
                              } catch (IOException e) {
                                note("" + e);
                              }
                            }));
              }
            },
        "accepted",
        "theirs: end after 300",
        "theirs: closed",
        "ours: end after 500",
        "ours: closed");
  }

  @Test
  void aCutIsNoEnd() throws Exception {
    same(
        () ->
            new Case() {
              @Override
              void begin() throws IOException {
                connect(
                    listen(
                        handler(
                            () -> {
                              if (drain(theirs).equals("more") && read == 300) {
                                try {
                                  theirs.resetOnClose();
                                } catch (IOException e) {
                                  note("" + e);
                                }
                                theirs.close();
                              }
                            },
                            () -> note("theirs: closed"))),
                    handler(
                        () -> {
                          String how = drain(ours);
                          if (!how.equals("more")) {
                            note("ours: " + how);
                            end();
                          }
                        },
                        () -> note("ours: closed")),
                    () -> write(ours, 300, () -> {}));
              }
            },
        "accepted",
        "theirs: closed",
        "ours: reset");
  }

  @Test
  void whoClosesWithBytesUnreadEndsFirst() throws Exception {
    same(
        () ->
            new Case() {
              @Override
              void begin() throws IOException {
                connect(
                    listen(
                        handler(
                            () -> {
                              note("theirs: closes");
                              theirs.close();
                            },
                            () -> note("theirs: closed"))),
                    handler(
                        () -> {
                          note("ours: " + drain(ours));
                          end();
                        },
                        () -> {}),
                    () -> write(ours, 300, () -> {}));
              }
            },
        "accepted",
        "theirs: closes",
        "theirs: closed",
        "ours: end");
  }

  @Test
  void whatNobodyReadsWaitsAndIsNotifiedWhenItIsTaken() throws Exception {
    same(
        () ->
            new Case() {
              private boolean sent;

              @Override
              void begin() throws IOException {
                connect(
                    listen(
                        handler(
                            () -> {
                              if (read == 0) {
                                note("theirs: readable, all sent " + sent);
                                read = 1;
                                tells(false);
                                write(theirs, 1, () -> {});
                              } else {
                                drain(theirs);
                                if (read == LARGE + 1) {
                                  note("theirs: all came");
                                  end();
                                }
                              }
                            },
                            () -> {})),
                    handler(
                        () -> {
                          drain(ours);
                          read = 1;
                          note("ours: told to wait, all sent " + sent);
                          tells(true);
                        },
                        () -> {}),
                    () ->
                        write(
                            ours,
                            LARGE,
                            () -> {
                              sent = true;
                              note("ours: all sent");
                            }));
              }

              private void tells(boolean now) {
                try {
                  theirs.setReadInterest(now);
                } catch (IOException e) {
                  note("" + e);
                }
              }
            },
        "accepted",
        "theirs: readable, all sent false",
        "ours: told to wait, all sent false",
        "ours: all sent",
        "theirs: all came");
  }

  @Test
  void whatIsLeftUnreadIsNotifiedOfOnceMoreButNotWithinTheCall() throws Exception {
    same(
        () ->
            new Case() {
              private int calls;
              private boolean within;

              @Override
              void begin() throws IOException {
                connect(
                    listen(
                        handler(
                            () -> {
                              note("readable" + (within ? " within the call" : ""));
                              drain(theirs);
                              if (++calls == 1) {
                                within = true;
                                try {
                                  theirs.scheduleRead();
                                } catch (IOException e) {
                                  note("" + e);
                                }
                                within = false;
                              } else {
                                end();
                              }
                            },
                            () -> {})),
                    handler(() -> {}, () -> {}),
                    () -> write(ours, 10, () -> {}));
              }
            },
        "accepted",
        "readable",
        "readable");
  }
}
