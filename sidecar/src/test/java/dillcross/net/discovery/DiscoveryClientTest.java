package dillcross.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.LoadBalancer;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint;
import dillcross.model.TestSettings;
import dillcross.net.FakeNetwork;
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

/**
 * Covers the watch of the endpoint list for every pair of the events that {@code Event} names, of
 * which most are failures. The test controls the clock.
 */
class DiscoveryClientTest {
  private static final long STEP_US = 20_000;
  private static final long NOTIFIED_WITHIN_US = 6_000_000; // the protocol's deadline
  private static final String FIRST = "127.0.0.1:1";
  private static final String SECOND = "127.0.0.1:2";

  /**
   * What can happen to the discovery service or to the client. The events from REFUSES on last for
   * some time. Discovery counts as unreachable during them, except during IS_SLOW.
   */
  private enum Event {
    NOTHING,
    /** The calls that are open get no response. */
    DROPS_OPEN_CALLS,
    /** The next call gets no response. */
    DROPS_NEXT_CALL,
    /** The next call gets a 503 response. */
    REJECTS_NEXT_CALL,
    /** Discovery has another address from now on. */
    MOVES,
    /** The client's process restarts. */
    RESTARTS,
    /** Connections break, and connects fail. */
    REFUSES,
    /** Connects do not succeed. Neither calls that are open nor later ones get a response. */
    HANGS,
    /** All calls get a 503 response. */
    REJECTS_CALLS,
    /** Responses are late. */
    IS_SLOW
  }

  /** The discovery service, which responds on the channels of the fake network. */
  private final class Service {
    /**
     * A watch call that has no response yet.
     *
     * @param since the version of the list that the client has
     * @param atUs when the call arrived
     * @param untilUs when the response is due even if there is no update
     */
    private record Call(long since, long atUs, long untilUs) {}

    private final Map<FakeNetwork.FakeChannel, Call> calls = new HashMap<>();
    private final List<FakeNetwork.FakeChannel> unanswered =
        new ArrayList<>(); // their calls get no response
    private Event current = Event.NOTHING; // the event that lasts now
    private long endsUs; // when the current event ends
    private long slowResponseUs = 2_000_000; // the delay of responses during IS_SLOW
    private long version = 1; // of the list; the endpoint is in service in 1, then terminating
    private int toDrop; // the number of next calls that get no response
    private int toReject; // the number of next calls that get a 503 response
    private int maxOpenCalls; // the largest number of calls that were open at a time
    private String affectedAddress; // the only address to which events apply; null for both

    void begin(Event event, long durationUs) {
      toDrop += event == Event.DROPS_NEXT_CALL ? 1 : 0;
      toReject += event == Event.REJECTS_NEXT_CALL ? 1 : 0;
      if (event == Event.DROPS_OPEN_CALLS || event == Event.HANGS) {
        unanswered.addAll(calls.keySet());
      } else if (event == Event.REFUSES) {
        List.copyOf(calls.keySet()).forEach(FakeNetwork.FakeChannel::fail);
      }
      if (event.compareTo(Event.REFUSES) >= 0) {
        current = event;
        endsUs = now + durationUs;
      }
    }

    /** Whether the event that lasts now keeps the service from returning updates. */
    boolean isUnreachable() {
      return current != Event.NOTHING && current != Event.IS_SLOW;
    }

    /** Handles the connects and calls that have arrived, and sends the responses that are due. */
    void step() {
      current = now >= endsUs ? Event.NOTHING : current;
      Event currentEvent = current;
      for (FakeNetwork.FakeChannel channel : List.copyOf(network.channels)) {
        current =
            affectedAddress == null || affectedAddress.equals(channel.address)
                ? currentEvent
                : Event.NOTHING;
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
        String request = channel.takeWritten();
        if (!request.isEmpty()) {
          calls.put(
              channel,
              new Call(
                  number(request, "since="), now, now + 1000 * number(request, "timeout_ms=")));
          if (current == Event.HANGS || (toDrop > 0 && !isUnreachable())) {
            unanswered.add(channel);
            toDrop -= current == Event.HANGS ? 0 : 1;
          }
        }
        respond(channel, calls.get(channel));
      }
      current = currentEvent;
      maxOpenCalls =
          (int)
              Math.max(
                  maxOpenCalls,
                  calls.keySet().stream().filter(FakeNetwork.FakeChannel::isOpen).count());
    }

    /** Sends the response to a call if it is due; {@code call} is null if the channel has none. */
    private void respond(FakeNetwork.FakeChannel channel, Call call) {
      boolean isDue =
          call != null
              && !unanswered.contains(channel)
              && now >= call.atUs + (current == Event.IS_SLOW ? slowResponseUs : STEP_US);
      boolean isRejected = isDue && toReject > 0 && !isUnreachable();
      toReject -= isRejected ? 1 : 0;
      if ((isDue && current == Event.REJECTS_CALLS) || isRejected) {
        calls.remove(channel);
        channel.receive("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
      } else if (isDue && (call.since < version || now >= call.untilUs)) {
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

  // Kept in a field, because a logger that is garbage collected loses its level.
  private static final java.util.logging.Logger LOG =
      java.util.logging.Logger.getLogger(DiscoveryClient.class.getName());

  private final FakeNetwork network = new FakeNetwork();
  private long now; // in microseconds
  private LoadBalancer balancer;
  private RequestCoordinator coordinator;
  private DiscoveryClient discovery;
  private Service service;

  @BeforeAll
  static void switchLogOff() {
    LOG.setLevel(java.util.logging.Level.OFF); // thousands of failures would be logged
  }

  @AfterAll
  static void restoreLogLevel() {
    LOG.setLevel(null);
  }

  /**
   * Starts a sidecar process with an endpoint list in which the endpoint is in service.
   *
   * @param seed seeds the load balancer's random numbers, such as the jitter of backoffs
   * @param sidecars the size of the fleet, which spreads the first calls
   * @param pushed whether discovery pushes updates, so that the list is requested at once
   */
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
    discovery = new DiscoveryClient(network, coordinator, () -> now, FIRST);
    discovery.configure(1_000_000);
    if (pushed) {
      coordinator.onDiscoveryMoved(now);
    }
  }

  /** Moves the clock by one step; lets the service and then the client handle what is due. */
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

  private void apply(Event event, long durationUs, long seed, int sidecars, boolean pushed) {
    if (event == Event.MOVES) {
      discovery.moveTo(SECOND);
      coordinator.onDiscoveryMoved(now);
    } else if (event == Event.RESTARTS) {
      List.copyOf(network.channels).forEach(FakeNetwork.FakeChannel::close);
      start(seed + 1, sidecars, pushed);
    } else {
      service.begin(event, durationUs);
    }
  }

  /**
   * Applies every pair of events, and returns the longest delay of an update: the time from when
   * discovery has the update and is reachable until the client has applied it.
   */
  private long worstDelayUs(int sidecars, boolean pushed) {
    long worst = 0;
    long seed = 0;
    for (Event first : Event.values()) {
      for (Event second : Event.values()) {
        for (long durationUs : new long[] {700_000, 3_100_000, 9_300_000}) {
          for (long intervalUs :
              new long[] {
                0,
                1_000_000,
                2_500_000,
                4_000_000,
                durationUs - 700_000,
                durationUs,
                durationUs + 1_000_000,
                durationUs + 2_000_000
              }) {
            for (long updateDelayUs : new long[] {0, 1_100_000}) {
              long delayUs =
                  applyPair(
                      ++seed,
                      sidecars,
                      pushed,
                      first,
                      second,
                      intervalUs,
                      durationUs,
                      updateDelayUs);
              assertTrue(
                  delayUs <= NOTIFIED_WITHIN_US,
                  first
                      + ", "
                      + intervalUs
                      + " us later "
                      + second
                      + ", each for "
                      + durationUs
                      + " us, update "
                      + updateDelayUs
                      + " us later: applied after "
                      + delayUs
                      + " us");
              worst = Math.max(worst, delayUs);
            }
          }
        }
      }
    }
    return worst;
  }

  /**
   * Applies two events, the second {@code intervalUs} after the first, and publishes an update
   * {@code updateDelayUs} after the second. Returns the delay of the update; gives up after 30 s if
   * it is not applied.
   */
  private long applyPair(
      long seed,
      int sidecars,
      boolean pushed,
      Event first,
      Event second,
      long intervalUs,
      long durationUs,
      long updateDelayUs) {
    network.channels.clear();
    service = new Service();
    now = 1_000_000_000;
    start(seed, sidecars, pushed);
    long firstUs = now + 3_000_000 + seed % 100 * STEP_US;
    long updateUs = firstUs + intervalUs + updateDelayUs;
    long reachableSinceUs = updateUs;
    boolean isFirstApplied = false;
    boolean isSecondApplied = false;
    while (balancer.isListed("a")) {
      if (!isFirstApplied && now >= firstUs) {
        isFirstApplied = true;
        apply(first, durationUs, seed, sidecars, pushed);
      }
      if (!isSecondApplied && now >= firstUs + intervalUs) {
        isSecondApplied = true;
        apply(second, durationUs, seed, sidecars, pushed);
      }
      service.version = now >= updateUs ? 2 : 1;
      step();
      reachableSinceUs =
          service.isUnreachable() ? Math.max(reachableSinceUs, now) : reachableSinceUs;
      if (now > updateUs + 30_000_000) {
        return now - reachableSinceUs;
      }
    }
    assertTrue(
        service.maxOpenCalls <= 3,
        "at most two calls, and one to the former address: " + service.maxOpenCalls);
    return now - reachableSinceUs;
  }

  /**
   * An update arrives within the protocol's 6 s after discovery has it and is reachable, whatever
   * the outcome of earlier calls, in fleets of every size. The worst delay exceeds 2 s in this
   * test, because a watch that gets no response fails only after that; a smaller one would mean
   * that the test does not cover the slow cases.
   */
  @ParameterizedTest
  @CsvSource({"5,false", "100,false", "1000,false", "5,true", "100,true", "1000,true"})
  void receivesUpdatesWithinTheDeadlineDespiteFailures(int sidecars, boolean pushed) {
    long worst = worstDelayUs(sidecars, pushed);
    assertTrue(worst > 2_000_000, "a watch without a response fails only after that: " + worst);
  }

  /**
   * Discovery moves, and the new address does not respond at first. Updates from the former address
   * are applied until it does; then only the connection to the new address stays open.
   */
  @ParameterizedTest
  @EnumSource(
      value = Event.class,
      names = {"REFUSES", "HANGS", "REJECTS_CALLS", "IS_SLOW"})
  void appliesUpdatesFromTheFormerAddressUntilTheNewOneResponds(Event event) {
    service = new Service();
    now = 1_000_000_000;
    start(1, 100, false);
    while (!coordinator.hasReceivedWatchEvent()) {
      step();
    }
    service.affectedAddress = SECOND;
    service.begin(event, 8_000_000);
    apply(Event.MOVES, 0, 1, 100, false);
    for (long untilUs = now + 1_900_000; now < untilUs; ) {
      step();
    }
    service.version = 2;
    step();
    step();
    assertFalse(balancer.isListed("a"), "the watch at the former address was open");
    for (long untilUs = now + 12_000_000; now < untilUs; ) {
      step();
    }
    assertEquals(
        List.of(SECOND),
        network.channels.stream()
            .filter(FakeNetwork.FakeChannel::isOpen)
            .map(channel -> channel.address)
            .toList(),
        "addresses of open connections");
  }

  /**
   * A response that is late is applied although the next call has begun. The connection of that
   * call is closed then.
   */
  @Test
  void appliesALateResponse() {
    network.channels.clear();
    service = new Service();
    now = 1_000_000_000;
    start(1, 1, true);
    service.slowResponseUs = 4_000_000; // longer than the time until the next call begins
    service.begin(Event.IS_SLOW, 60_000_000);
    while (!coordinator.hasReceivedWatchEvent() && now < 1_030_000_000) {
      step();
    }
    assertEquals(
        0,
        (now - 1_000_000_000 - service.slowResponseUs) / 200_000,
        "applied with the first response, after " + (now - 1_000_000_000) + " us");
    assertTrue(service.maxOpenCalls > 1, "the next call had begun");
    step();
    assertEquals(1, network.channels.stream().filter(FakeNetwork.FakeChannel::isOpen).count());
  }
}
