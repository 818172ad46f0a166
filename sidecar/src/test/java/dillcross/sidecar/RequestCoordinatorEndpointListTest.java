package dillcross.sidecar;

import static dillcross.sidecar.CoordinatorFixture.closedConnections;
import static dillcross.sidecar.CoordinatorFixture.entry;
import static dillcross.sidecar.CoordinatorFixture.only;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint.Health;
import dillcross.model.TestSettings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the effects of updates of the endpoint list, and when the list is watched again. */
class RequestCoordinatorEndpointListTest {
  private final CoordinatorFixture fixture = new CoordinatorFixture();
  private final RequestCoordinator coordinator = fixture.coordinator;

  @Test
  void sendsAttemptsToTheAddressLastListed() {
    fixture.listOneEndpoint();
    assertEquals("h:1", fixture.sendFirstAttempt("read").address());
    fixture.listChanges(2, entry("a", Health.UP, "h:2"));
    assertEquals("h:2", fixture.sendFirstAttempt("read").address());
  }

  @ParameterizedTest
  @CsvSource({
    "a,UP,h:1,0,false,''",
    "a,UP,h:1,0,true,''",
    "a,UP,h:2,0,false,a",
    "a,DRAINING,h:1,0,false,a",
    "a,REMOVED,h:1,0,false,a",
    "a,UP,h:1,5,false,a",
    "b,UP,h:2,0,false,''",
    "b,UP,h:1,0,false,a",
    "b,UP,h:1,0,true,a",
    "b,DRAINING,h:1,0,false,''"
  })
  void closesConnectionsWhenAnEndpointLeavesMovesOrRestarts(
      String id, Health health, String address, long startedUs, boolean complete, String closed) {
    fixture.listOneEndpoint();
    fixture.pull();
    coordinator.onEndpointList(
        fixture.nowUs(), 2, complete, List.of(entry(id, health, address, startedUs)), false);
    assertEquals(closed, String.join(" ", closedConnections(fixture.pull())));
  }

  /** Guards against: an endpoint is used on at an address where another process listens now. */
  @ParameterizedTest
  @CsvSource({"b@h:1, b", "b@h:1 c@h:1, c", "b@h:1@7 c@h:1@5, b", "b@h:2 a@h:2, a"})
  void sendsNothingToAnEndpointWhoseAddressAnotherOneHas(String changes, String expected) {
    fixture.listOneEndpoint();
    EndpointEntry[] entries =
        Arrays.stream(changes.split(" "))
            .map(text -> text.split("@"))
            .map(
                parts ->
                    entry(
                        parts[0],
                        Health.UP,
                        parts[1],
                        parts.length > 2 ? Long.parseLong(parts[2]) : 0))
            .toArray(EndpointEntry[]::new);
    fixture.listChanges(2, entries);
    for (int i = 0; i < 10; i++) {
      NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt("read");
      assertEquals(expected, attempt.endpoint());
      fixture.advance(20_000);
      fixture.succeed(attempt);
      fixture.pull();
    }
  }

  /** Guards against: an endpoint that has moved is taken to be replaced at its former address. */
  @Test
  void usesEndpointThatHasMovedWhileAnotherTakesItsAddress() {
    fixture.listOneEndpoint();
    fixture.listChanges(2, entry("a", Health.UP, "h:2"), entry("b", Health.UP, "h:1"));
    fixture.listChanges(3, entry("b", Health.DRAINING, "h:1"));
    assertEquals("h:2", fixture.sendFirstAttempt("read").address());
  }

  @Test
  void watchesAgainAfterEachUpdate() {
    fixture.listAll(7, entry("a", Health.UP, "h:1"));
    fixture.assertOneWatch(
        7, fixture.runFor(4_000_000), "the load balancer starts the first watch");
    fixture.onWatchUpdate(8, false, entry("b", Health.UP, "h:2"));
    long updatedUs = fixture.nowUs();
    fixture.assertOneWatch(8, fixture.runFor(200_000), "the next watch follows the update");
    assertTrue(fixture.nowUs() - updatedUs <= 200_000);
    fixture.onWatchUpdate(3, false);
    fixture.assertOneWatch(0, fixture.runFor(200_000), "the numbering has restarted");
  }

  @Test
  void doesNotUndoADrainWithAnOlderUpdate() {
    fixture.listAll(1, entry("a", Health.UP, "h:1"), entry("b", Health.UP, "h:2"));
    fixture.runFor(4_000_000);
    fixture.onWatchUpdate(9, false, entry("a", Health.DRAINING, "h:1"));
    fixture.runFor(200_000);
    fixture.onWatchUpdate(8, false, entry("a", Health.UP, "h:1"));
    fixture.assertOneWatch(0, fixture.runFor(200_000), "the complete list is requested");
    for (int i = 0; i < 20; i++) {
      NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt("read");
      assertEquals("b", attempt.endpoint());
      fixture.succeed(attempt);
    }
  }

  @Test
  void requestsTheCompleteListAtOnceWhenDiscoveryMoves() {
    fixture.listAll(7, entry("a", Health.UP, "h:1"));
    fixture.runFor(4_000_000);
    coordinator.onDiscoveryMoved(fixture.nowUs());
    fixture.assertOneWatch(0, fixture.pull(), "the complete list is requested");
    fixture.onWatchUpdate(3, true, entry("a", Health.UP, "h:1"));
    fixture.assertOneWatch(3, fixture.runFor(200_000), "the new address has its own versions");
  }

  @Test
  void limitsHowOftenAListThatAnswersAtOnceIsWatched() {
    fixture.listOneEndpoint();
    fixture.runFor(4_000_000);
    long endUs = fixture.nowUs() + 1_000_000;
    int watches = 0;
    while (fixture.nowUs() < endUs) {
      fixture.onWatchUpdate(1, false);
      assertFalse(only(NetworkCommand.WatchEndpoints.class, fixture.runFor(200_000)).isEmpty());
      watches++;
    }
    assertTrue(watches <= 11, "watched too often: " + watches);
  }

  @ParameterizedTest
  @EnumSource(value = Health.class, names = "UP", mode = EnumSource.Mode.EXCLUDE)
  void sendsNothingToDrainingAndRemovedEndpoints(Health health) {
    fixture.listAll(1, entry("a", Health.UP, "h:1"), entry("b", Health.UP, "h:2"));
    fixture.listChanges(2, entry("a", health, "h:1"));
    for (int i = 0; i < 20; i++) {
      NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt("read");
      assertEquals("h:2", attempt.address());
      fixture.advance(20_000);
      fixture.succeed(attempt);
      fixture.pull();
    }
  }

  /**
   * With settings that keep removed endpoints in use ({@code keepRemoved}), their addresses are
   * kept as well; a draining endpoint gets no requests all the same.
   */
  @ParameterizedTest
  @EnumSource(value = Health.class, names = "UP", mode = EnumSource.Mode.EXCLUDE)
  void keepsUsingRemovedButNotDrainingEndpoints(Health health) {
    coordinator.applySettings(
        fixture.nowUs(),
        TestSettings.of(
            "east",
            0,
            1,
            List.of(TestSettings.READ),
            new DiscoveryPolicy(true, 10_000_000, true, false),
            1_000_000));
    fixture.listOneEndpoint();
    fixture.listChanges(2, entry("a", health, "h:1"));
    fixture.listAll(3);
    fixture.onRequest("read");
    assertEquals(
        health == Health.REMOVED ? List.of("h:1") : List.of(),
        only(NetworkCommand.SendAttempt.class, fixture.pull()).stream()
            .map(NetworkCommand.SendAttempt::address)
            .toList());
  }

  @Test
  void closesConnectionsToEndpointsThatNewSettingsLeaveUnused() {
    List<EndpointEntry> entries = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      entries.add(entry("e" + i, Health.UP, "h:" + i));
    }
    fixture.listAll(1, entries.get(0));
    fixture.sendFirstAttempt("read");
    coordinator.applySettings(
        fixture.nowUs(),
        TestSettings.of(
            "east",
            3,
            100,
            List.of(TestSettings.READ),
            new DiscoveryPolicy(true, 10_000_000, false, true),
            1_000_000));
    coordinator.onEndpointList(fixture.nowUs(), 2, false, entries.subList(1, 8), false);
    List<NetworkCommand> commands = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      fixture.onRequest("read");
      for (NetworkCommand command : fixture.pull()) {
        commands.add(command);
        if (command instanceof NetworkCommand.SendAttempt attempt) {
          fixture.advance(20_000);
          fixture.succeed(attempt);
        }
      }
      fixture.runFor(200_000);
    }
    assertEquals(List.of("e0"), closedConnections(commands).stream().distinct().toList());
  }
}
