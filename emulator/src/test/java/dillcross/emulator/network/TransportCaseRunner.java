package dillcross.emulator.network;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.VirtualClock;
import dillcross.net.grizzly.GrizzlyNetwork;
import dillcross.net.transport.Network;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/** Runs a transport case on sockets under Grizzly and on the emulated network. */
final class TransportCaseRunner {
  private static final long MAX_REAL_SECONDS = 20;
  private static final long START_US = 1_000_000;
  private static final long END_US = 30_000_000;
  private static final long SELECT_TIMEOUT_US = 20_000;
  private static final long ITERATION_US = 20;
  private static final long SAME_ZONE_DELAY_US = 100;
  private static final long OTHER_ZONE_DELAY_US = 1_000;

  private TransportCaseRunner() {}

  /** Runs the case on both networks, and expects the same observations of both. */
  static void assertObserves(Supplier<TransportCase> newCase, String... expected) throws Exception {
    assertEquals(List.of(expected), observeOnSockets(newCase.get()), "on sockets");
    assertEquals(List.of(expected), observeOnEmulatedNetwork(newCase.get()), "emulated");
  }

  private static List<String> observeOnSockets(TransportCase transportCase) throws Exception {
    GrizzlyNetwork network = new GrizzlyNetwork();
    List<Exception> failures = new ArrayList<>();
    transportCase.network(network);
    network.start(new StartingTask(transportCase, failures));
    assertTrue(
        transportCase.done().await(MAX_REAL_SECONDS, TimeUnit.SECONDS),
        () -> "not done on sockets after " + transportCase.observations());
    assertEquals(List.of(), failures);
    return transportCase.observations();
  }

  private static List<String> observeOnEmulatedNetwork(TransportCase transportCase) {
    VirtualClock clock = new VirtualClock(START_US);
    VirtualNetwork virtualNetwork =
        new VirtualNetwork(clock, RandomStream.of(1), SAME_ZONE_DELAY_US, OTHER_ZONE_DELAY_US, 0);
    VirtualMachine machine = new VirtualMachine("one", "a");
    EmulatedNetwork network =
        new EmulatedNetwork(clock, virtualNetwork, machine, "127.0.0.1", ITERATION_US, () -> {});
    List<Exception> failures = new ArrayList<>();
    transportCase.network(network);
    network.start(new StartingTask(transportCase, failures));
    boolean hasEvents = true;
    while (hasEvents && transportCase.done().getCount() > 0) {
      hasEvents = clock.step(END_US);
    }
    assertEquals(List.of(), failures);
    return transportCase.observations();
  }

  /** An event loop task that starts the case in its first iteration and has no timers. */
  private static final class StartingTask implements Network.EventLoopTask {
    private final TransportCase transportCase;
    private final List<Exception> failures;
    private final AtomicBoolean isStarted = new AtomicBoolean();

    StartingTask(TransportCase transportCase, List<Exception> failures) {
      this.transportCase = transportCase;
      this.failures = failures;
    }

    @Override
    public void beforeEvents() {
      // The cases read no clock.
    }

    @Override
    public void afterEvents() {
      if (isStarted.getAndSet(true)) {
        return;
      }
      try {
        transportCase.begin();
      } catch (Exception e) {
        failures.add(e);
        transportCase.end();
      }
    }

    @Override
    public long maxWaitUs() {
      return SELECT_TIMEOUT_US;
    }
  }
}
