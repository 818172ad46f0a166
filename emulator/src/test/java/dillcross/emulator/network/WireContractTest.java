package dillcross.emulator.network;

import static dillcross.emulator.network.TransportCase.handler;
import static dillcross.emulator.network.TransportCaseRunner.assertObserves;

import dillcross.emulator.network.TransportCase.ReadEnd;
import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/**
 * The transport contract: code above the network observes the same on sockets under Grizzly and on
 * the emulated network.
 */
class WireContractTest {
  /** More bytes than the socket buffers of one connection hold on any system. */
  private static final int LARGE_BYTES = 8 << 20;

  private static final int REQUEST_BYTES = 300;
  private static final int RESPONSE_BYTES = 500;

  @Test
  void reportsRefusedConnect() throws Exception {
    int unusedPort;
    try (ServerSocket socket = new ServerSocket(0)) {
      unusedPort = socket.getLocalPort();
    }
    String address = "127.0.0.1:" + unusedPort;
    assertObserves(
        () ->
            new TransportCase() {
              @Override
              void begin() {
                connect(
                    address,
                    handler(() -> {}, () -> observe("closed")),
                    () -> observe("connected"));
              }
            },
        "connect failed");
  }

  /** The connecting side ends its output and still reads the response. */
  private static final class HalfClose extends TransportCase {
    @Override
    void begin() throws IOException {
      String address =
          listen(handler(this::onAcceptedReadable, () -> observe("accepted side: closed")));
      connect(
          address,
          handler(this::onConnectedReadable, () -> observe("connecting side: closed")),
          () -> write(connected(), REQUEST_BYTES, () -> attempt(connected()::shutdownOutput)));
    }

    private void onAcceptedReadable() {
      if (readAll(accepted()) == ReadEnd.END_OF_INPUT) {
        observe("accepted side: end after " + readByteCount());
        readByteCount(0);
        write(accepted(), RESPONSE_BYTES, () -> accepted().close());
      }
    }

    private void onConnectedReadable() {
      if (readAll(connected()) == ReadEnd.END_OF_INPUT) {
        observe("connecting side: end after " + readByteCount());
        connected().close();
        end();
      }
    }
  }

  @Test
  void readsAfterEndingOutput() throws Exception {
    assertObserves(
        HalfClose::new,
        "accepted",
        "accepted side: end after 300",
        "accepted side: closed",
        "connecting side: end after 500",
        "connecting side: closed");
  }

  /** The accepting side closes with a reset. */
  private static final class ResetOnClose extends TransportCase {
    @Override
    void begin() throws IOException {
      String address =
          listen(handler(this::onAcceptedReadable, () -> observe("accepted side: closed")));
      connect(
          address,
          handler(this::onConnectedReadable, () -> observe("connecting side: closed")),
          () -> write(connected(), REQUEST_BYTES, () -> {}));
    }

    private void onAcceptedReadable() {
      if (readAll(accepted()) == ReadEnd.MORE_MAY_FOLLOW && readByteCount() == REQUEST_BYTES) {
        attempt(accepted()::resetOnClose);
        accepted().close();
      }
    }

    private void onConnectedReadable() {
      ReadEnd readEnd = readAll(connected());
      if (readEnd != ReadEnd.MORE_MAY_FOLLOW) {
        observe("connecting side: " + readEnd);
        end();
      }
    }
  }

  @Test
  void distinguishesResetFromEndOfInput() throws Exception {
    assertObserves(
        ResetOnClose::new, "accepted", "accepted side: closed", "connecting side: RESET");
  }

  @Test
  void reportsEndOfInputFirstWhenPeerClosesWithUnreadBytes() throws Exception {
    assertObserves(
        () ->
            new TransportCase() {
              @Override
              void begin() throws IOException {
                String address =
                    listen(handler(this::close, () -> observe("accepted side: closed")));
                connect(
                    address,
                    handler(this::observeEnd, () -> {}),
                    () -> write(connected(), REQUEST_BYTES, () -> {}));
              }

              private void close() {
                observe("accepted side: closes");
                accepted().close();
              }

              private void observeEnd() {
                observe("connecting side: " + readAll(connected()));
                end();
              }
            },
        "accepted",
        "accepted side: closes",
        "accepted side: closed",
        "connecting side: END_OF_INPUT");
  }

  /**
   * The accepting side suspends reading and sends one byte. It resumes reading when the other side
   * has read that byte.
   */
  private static final class SlowReader extends TransportCase {
    private boolean isAllSent;

    @Override
    void begin() throws IOException {
      String address = listen(handler(this::onAcceptedReadable, () -> {}));
      connect(
          address,
          handler(this::onConnectedReadable, () -> {}),
          () -> write(connected(), LARGE_BYTES, this::onAllSent));
    }

    private void onAllSent() {
      isAllSent = true;
      observe("connecting side: all sent");
    }

    private void onAcceptedReadable() {
      if (readByteCount() == 0) {
        observe("accepted side: readable, all sent " + isAllSent);
        readByteCount(1);
        attempt(() -> accepted().setReadInterest(false));
        write(accepted(), 1, () -> {});
        return;
      }
      readAll(accepted());
      if (readByteCount() == LARGE_BYTES + 1) {
        observe("accepted side: all received");
        end();
      }
    }

    private void onConnectedReadable() {
      readAll(connected());
      readByteCount(1);
      observe("connecting side: byte received, all sent " + isAllSent);
      attempt(() -> accepted().setReadInterest(true));
    }
  }

  @Test
  void completesLargeWriteOnlyAfterThePeerReads() throws Exception {
    assertObserves(
        SlowReader::new,
        "accepted",
        "accepted side: readable, all sent false",
        "connecting side: byte received, all sent false",
        "connecting side: all sent",
        "accepted side: all received");
  }

  /**
   * The accepting side schedules a further read although it has read everything. The handler must
   * be called once more, but not before {@code scheduleRead} has returned.
   */
  private static final class ScheduledRead extends TransportCase {
    private int callCount;
    private boolean isWithinCall;

    @Override
    void begin() throws IOException {
      String address = listen(handler(this::onAcceptedReadable, () -> {}));
      connect(
          address, handler(() -> {}, () -> {}), () -> write(connected(), REQUEST_BYTES, () -> {}));
    }

    private void onAcceptedReadable() {
      observe("readable" + (isWithinCall ? " within the call" : ""));
      readAll(accepted());
      callCount++;
      if (callCount > 1) {
        end();
        return;
      }
      isWithinCall = true;
      attempt(accepted()::scheduleRead);
      isWithinCall = false;
    }
  }

  @Test
  void repeatsScheduledReadOutsideTheCall() throws Exception {
    assertObserves(ScheduledRead::new, "accepted", "readable", "readable");
  }
}
