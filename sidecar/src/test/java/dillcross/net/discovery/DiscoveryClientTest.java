package dillcross.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.LoadBalancer;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint;
import dillcross.model.TestSettings;
import dillcross.net.FakeNetwork;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.transport.Network;
import dillcross.sidecar.EndpointEntry;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Calls to a list that fails in every way, one after another, on a clock that the test moves. */
class DiscoveryClientTest {
  private static final long STEP_US = 20_000;
  private static final long NOTIFIED_WITHIN_US = 6_000_000; // the protocol's
  private static final String FIRST = "127.0.0.1:1";
  private static final String SECOND = "127.0.0.1:2";

  /**
   * What can happen to the service; the last four take a while, and it is unreachable during three
   * of them.
   */
  private enum Event {
    NOTHING,
    OPEN_CALLS_FALL_SILENT,
    LOSES_NEXT_CALL,
    FAILS_NEXT_CALL,
    MOVES,
    RESTARTS,
    REFUSES,
    HANGS,
    SAYS_NO,
    IS_SLOW
  }

  /** The service, as each connection to it sees it. */
  private final class Service {
    private record Call(long since, long atUs, long untilUs) {}

    private final Map<FakeNetwork.FakeChannel, Call> calls = new HashMap<>();
    private final List<FakeNetwork.FakeChannel> silent = new ArrayList<>();
    private Event current = Event.NOTHING;
    private long endsUs;
    private long slowUs = 2_000_000;
    private long version = 1;
    private int lost; // of the next calls, so many get no answer
    private int failed; // ... or a 503
    private int maxCalls; // calls in progress at a time
    private String only; // the address that it concerns; null where both

    void begin(Event event, long forUs) {
      lost += event == Event.LOSES_NEXT_CALL ? 1 : 0;
      failed += event == Event.FAILS_NEXT_CALL ? 1 : 0;
      if (event == Event.OPEN_CALLS_FALL_SILENT || event == Event.HANGS) {
        silent.addAll(calls.keySet());
      } else if (event == Event.REFUSES) {
        List.copyOf(calls.keySet()).forEach(FakeNetwork.FakeChannel::fail);
      }
      if (event.compareTo(Event.REFUSES) >= 0) {
        current = event;
        endsUs = now + forUs;
      }
    }

    boolean isUnreachable() {
      return current != Event.NOTHING && current != Event.IS_SLOW;
    }

    void step() {
      current = now >= endsUs ? Event.NOTHING : current;
      Event both = current;
      for (FakeNetwork.FakeChannel channel : List.copyOf(network.channels)) {
        current = only == null || only.equals(channel.address) ? both : Event.NOTHING;
        if (!channel.isOpen()) {
          network.channels.remove(channel);
          calls.remove(channel);
        } else if (channel.callback != null && current != Event.HANGS) {
          Network.ConnectCallback callback = channel.callback;
          channel.callback = null;
          if (current == Event.REFUSES) {
            network.channels.remove(channel);
            callback.onConnectFailed();
          } else {
            callback.onConnected();
          }
        }
        String request = channel.takeRequest();
        if (!request.isEmpty()) {
          calls.put(
              channel,
              new Call(
                  number(request, "since="), now, now + 1000 * number(request, "timeout_ms=")));
          if (current == Event.HANGS || (lost > 0 && !isUnreachable())) {
            silent.add(channel);
            lost -= current == Event.HANGS ? 0 : 1;
          }
        }
        answer(channel, calls.get(channel));
      }
      current = both;
      maxCalls =
          (int)
              Math.max(
                  maxCalls,
                  calls.keySet().stream().filter(FakeNetwork.FakeChannel::isOpen).count());
    }

    private void answer(FakeNetwork.FakeChannel channel, Call call) {
      boolean due =
          call != null
              && !silent.contains(channel)
              && now >= call.atUs + (current == Event.IS_SLOW ? slowUs : STEP_US);
      boolean fails = due && failed > 0 && !isUnreachable();
      failed -= fails ? 1 : 0;
      if ((due && current == Event.SAYS_NO) || fails) {
        calls.remove(channel);
        channel.receive("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
      } else if (due && (call.since < version || now >= call.untilUs)) {
        calls.remove(channel);
        String entries =
            call.since < version
                ? "{\"id\":\"a\",\"addr\":\"127.0.0.1:9\",\"state\":\""
                    + (version > 1 ? "terminating" : "in_service")
                    + "\"}"
                : "";
        String body =
            "{\"version\":"
                + version
                + ",\"full\":"
                + (call.since == 0)
                + ",\"servers\":["
                + entries
                + "]}";
        channel.receive("HTTP/1.1 200 x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
      }
    }

    private static long number(String in, String name) {
      return Long.parseLong(in.replaceAll("(?s).*" + name + "([0-9]+).*", "$1"));
    }
  }

  private static final java.util.logging.Logger LOG =
      java.util.logging.Logger.getLogger(
          DiscoveryClient.class.getName()); // held, or its level is forgotten

  private final FakeNetwork network = new FakeNetwork();
  private long now;
  private LoadBalancer balancer;
  private RequestCoordinator coordinator;
  private DiscoveryClient discovery;
  private Service service;

  @BeforeAll
  static void saysNothing() {
    LOG.setLevel(java.util.logging.Level.OFF); // thousands of failures
  }

  @AfterAll
  static void saysAll() {
    LOG.setLevel(null);
  }

  /** A process starts, with a list that has the endpoint in service. */
  private void start(long seed, int sidecars, boolean pushed) {
    balancer =
        new LoadBalancer(
            seed,
            TestSettings.of(
                "",
                0,
                sidecars,
                List.of(TestSettings.READ),
                new DiscoveryPolicy(true, 5_000_000, false, false),
                0));
    coordinator = new RequestCoordinator(balancer);
    coordinator.onEndpointList(
        now,
        1,
        true,
        List.of(
            new EndpointEntry(new Endpoint("a", Endpoint.Health.UP, 0, 0, "", 1), "127.0.0.1:9")),
        false);
    discovery =
        new DiscoveryClient(network, coordinator, () -> now, FIRST, new MemoryBudget(1 << 24));
    discovery.configure(1_000_000);
    if (pushed) {
      coordinator.onDiscoveryMoved(now);
    }
  }

  private void step() {
    now += STEP_US;
    service.step();
    discovery.expire(now);
    for (NetworkCommand command; (command = coordinator.next(now)) != null; ) {
      if (command instanceof NetworkCommand.WatchEndpoints watch) {
        discovery.watch(watch);
      }
    }
  }

  private void play(Event event, long forUs, long seed, int sidecars, boolean pushed) {
    if (event == Event.MOVES) {
      discovery.moveTo(SECOND);
      coordinator.onDiscoveryMoved(now);
    } else if (event == Event.RESTARTS) {
      List.copyOf(network.channels).forEach(FakeNetwork.FakeChannel::close);
      start(seed + 1, sidecars, pushed);
    } else {
      service.begin(event, forUs);
    }
  }

  /**
   * The longest time over every pair of events from when the service has an update and is reachable
   * until the client has it.
   */
  private long worstDelayUs(int sidecars, boolean pushed) {
    long worst = 0;
    long seed = 0;
    for (Event first : Event.values()) {
      for (Event second : Event.values()) {
        for (long lastsUs : new long[] {700_000, 3_100_000, 9_300_000}) {
          for (long apartUs :
              new long[] {
                0,
                1_000_000,
                2_500_000,
                4_000_000,
                lastsUs - 700_000,
                lastsUs,
                lastsUs + 1_000_000,
                lastsUs + 2_000_000
              }) {
            for (long changeUs : new long[] {0, 1_100_000}) {
              long took =
                  playPair(++seed, sidecars, pushed, first, second, apartUs, lastsUs, changeUs);
              assertTrue(
                  took <= NOTIFIED_WITHIN_US,
                  first
                      + ", "
                      + apartUs
                      + " us later "
                      + second
                      + ", each for "
                      + lastsUs
                      + " us, news "
                      + changeUs
                      + " us later: had "
                      + took
                      + " us late");
              worst = Math.max(worst, took);
            }
          }
        }
      }
    }
    return worst;
  }

  private long playPair(
      long seed,
      int sidecars,
      boolean pushed,
      Event first,
      Event second,
      long apartUs,
      long lastsUs,
      long changeUs) {
    network.channels.clear();
    service = new Service();
    now = 1_000_000_000;
    start(seed, sidecars, pushed);
    long firstUs = now + 3_000_000 + seed % 100 * STEP_US;
    long changedUs = firstUs + apartUs + changeUs;
    long from = changedUs;
    boolean begun = false;
    boolean followed = false;
    while (balancer.isListed("a")) {
      if (!begun && now >= firstUs) {
        begun = true;
        play(first, lastsUs, seed, sidecars, pushed);
      }
      if (!followed && now >= firstUs + apartUs) {
        followed = true;
        play(second, lastsUs, seed, sidecars, pushed);
      }
      service.version = now >= changedUs ? 2 : 1;
      step();
      from = service.isUnreachable() ? Math.max(from, now) : from;
      if (now > changedUs + 30_000_000) {
        return now - from;
      }
    }
    assertTrue(
        service.maxCalls <= 3,
        "two calls at a time and one where it was before, and not " + service.maxCalls);
    return now - from;
  }

  /**
   * Whatever became of earlier calls, an update arrives within six seconds after the service has it
   * and is reachable, in fleets of every size.
   */
  @ParameterizedTest
  @CsvSource({"5,false", "100,false", "1000,false", "5,true", "100,true", "1000,true"})
  void updatesArriveBeforeTheyCountAsNotified(int sidecars, boolean pushed) {
    long worst = worstDelayUs(sidecars, pushed);
    assertTrue(worst > 2_000_000, "a watch that falls silent is not noticed sooner: " + worst);
  }

  /**
   * Discovery moves, and the new address does not answer yet, for whatever reason: updates from the
   * former address are applied until it does.
   */
  @ParameterizedTest
  @EnumSource(
      value = Event.class,
      names = {"REFUSES", "HANGS", "SAYS_NO", "IS_SLOW"})
  void theFormerAddressCountsUntilTheNewOneAnswers(Event event) {
    service = new Service();
    now = 1_000_000_000;
    start(1, 100, false);
    while (!coordinator.hasReceivedWatchEvent()) {
      step();
    }
    service.only = SECOND;
    service.begin(event, 8_000_000);
    play(Event.MOVES, 0, 1, 100, false);
    for (long untilUs = now + 1_900_000; now < untilUs; ) {
      step();
    }
    service.version = 2;
    step();
    step();
    assertFalse(balancer.isListed("a"), "its watch was open");
    for (long untilUs = now + 12_000_000; now < untilUs; ) {
      step();
    }
    assertEquals(
        List.of(SECOND),
        network.channels.stream()
            .filter(FakeNetwork.FakeChannel::isOpen)
            .map(l -> l.address)
            .toList(),
        "once it has answered");
  }

  /** A late response is applied even if the next call has begun, which is then closed. */
  @Test
  void aSlowResponseIsTaken() {
    network.channels.clear();
    service = new Service();
    now = 1_000_000_000;
    start(1, 1, true);
    service.slowUs = 4_000_000; // longer than a call has before the next
    service.begin(Event.IS_SLOW, 60_000_000);
    while (!coordinator.hasReceivedWatchEvent() && now < 1_030_000_000) {
      step();
    }
    assertEquals(
        0,
        (now - 1_000_000_000 - service.slowUs) / 200_000,
        "with the first answer, " + (now - 1_000_000_000));
    assertTrue(service.maxCalls > 1, "another was out");
    step();
    assertEquals(1, network.channels.stream().filter(FakeNetwork.FakeChannel::isOpen).count());
  }
}
