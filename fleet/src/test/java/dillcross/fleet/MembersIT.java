package dillcross.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs several sidecar processes with network faults between them. The waits are much longer than
 * the expected times, so that a slow machine does not fail a test.
 */
@Timeout(value = 80, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MembersIT {
  private static final int INTERVAL_MS = 200;
  private static final long MAX_WAIT_MS = 25_000;
  @TempDir private Path folder;
  private Fleet fleet;

  private void fleet(int members, List<Integer> seeds) throws Exception {
    fleet =
        new Fleet(
            Fleet.root(), folder, members, List.of("east", "west", "north"), seeds, INTERVAL_MS, 7);
    fleet.startAll();
  }

  /** Waits until each of these members reports exactly these members as alive. */
  private void assertAgreement(Set<Integer> members, String why) throws Exception {
    assertNotEquals(
        -1,
        Fleet.waitUntil(MAX_WAIT_MS, () -> fleet.agree(members)),
        () -> why + ": " + members.stream().map(m -> fleet.view(m)).toList());
  }

  /**
   * The sum of one membership counter over the running members; members that do not answer add 0.
   */
  private long sum(String count) {
    return fleet.allMembers().stream()
        .filter(fleet::isRunning)
        .map(fleet::view)
        .mapToLong(v -> v == null ? 0 : v.counts().get(count))
        .sum();
  }

  @AfterEach
  void end() throws IOException {
    if (fleet != null) {
      fleet.close();
    }
  }

  @Test
  void membersFindEachOtherAlthoughOneSeedIsDead() throws Exception {
    fleet =
        new Fleet(
            Fleet.root(),
            folder,
            7,
            List.of("east", "west", "north"),
            List.of(6, 0),
            INTERVAL_MS,
            7);
    for (int i = 0; i < 6; i++) {
      fleet.start(i); // the first seed never starts
    }
    assertAgreement(fleet.membersWhere(i -> i < 6), "six find each other");
    assertEquals(0, sum("deaths"));
  }

  @Test
  void simultaneousDeathsAndRestartsAreDetected() throws Exception {
    fleet(8, List.of(0));
    assertAgreement(fleet.allMembers(), "all find each other");
    long boot = fleet.view(3).boots().get("s6");
    fleet.kill(6);
    fleet.kill(7);
    assertAgreement(fleet.membersWhere(i -> i < 6), "both deaths are detected");
    fleet.start(6);
    fleet.start(7);
    assertAgreement(fleet.allMembers(), "both have rejoined");
    assertTrue(
        fleet.view(3).boots().get("s6") > boot,
        "the new process has a higher boot id than the old one");
  }

  @Test
  void pausedMemberDeclaresNoOtherDeadWhenResumed() throws Exception {
    fleet(5, List.of(0));
    assertAgreement(fleet.allMembers(), "all find each other");
    fleet.signal(4, "STOP");
    assertAgreement(fleet.membersWhere(i -> i < 4), "the others report the paused member as dead");
    fleet.signal(4, "CONT");
    assertAgreement(fleet.allMembers(), "the resumed member has rejoined");
    MembershipView woken = fleet.view(4);
    assertTrue(woken.counts().get("paused") > 0, "the resumed member noticed its pause: " + woken);
    assertEquals(
        0,
        woken.counts().get("deaths"),
        "the resumed member declared no other member dead: " + woken);
  }

  @Test
  void oneWayCutCausesNoDeath() throws Exception {
    fleet(5, List.of(0));
    assertAgreement(fleet.allMembers(), "all find each other");
    fleet.datagramProxy.faults.add(Fleet.cut(Set.of(0), Set.of(1))); // drops what 0 sends to 1
    long probes = sum("probes");
    assertNotEquals(
        -1,
        Fleet.waitUntil(MAX_WAIT_MS, () -> sum("probes") > probes + 5 * 40),
        "members still send probes");
    assertEquals(0, sum("deaths"), "indirect probes reach both members");
    fleet.datagramProxy.faults.clear();
    assertAgreement(fleet.allMembers(), "all agree after the cut");
  }

  @Test
  void partitionedHalvesMergeAgain() throws Exception {
    fleet(6, List.of(0));
    assertAgreement(fleet.allMembers(), "all find each other");
    Set<Integer> first = fleet.membersWhere(i -> i < 3);
    Set<Integer> second = fleet.membersWhere(i -> i >= 3);
    fleet.split(first, second);
    assertAgreement(first, "the first half reports the second as dead");
    assertAgreement(second, "the second half reports the first as dead");
    fleet.datagramProxy.faults.clear();
    assertAgreement(fleet.allMembers(), "all find each other again");
    assertTrue(sum("refuted") >= 6, "each member refuted its death");
  }

  @Test
  void toleratesLossDelayDuplicationAndReordering() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 6, List.of("east", "west"), List.of(0), INTERVAL_MS, 7);
    Set<Integer> all = fleet.allMembers();
    fleet.datagramProxy.faults.add(new LinkFault(all, all, 0.3, 0, 20_000, 0.2, 0));
    fleet.startAll();
    assertNotEquals(
        -1,
        Fleet.waitUntil(
            MAX_WAIT_MS,
            () -> all.stream().map(fleet::view).allMatch(v -> v != null && v.live() == 5)),
        "all find each other in spite of the loss");
    fleet.kill(5);
    assertNotEquals(
        -1,
        Fleet.waitUntil(
            MAX_WAIT_MS,
            () ->
                fleet.membersWhere(i -> i < 5).stream()
                    .map(fleet::view)
                    .allMatch(v -> v != null && v.states().get("s5").equals("dead"))),
        "a death is detected in spite of the loss");
    fleet.datagramProxy.faults.clear();
    assertAgreement(
        fleet.membersWhere(i -> i < 5), "no other member is reported dead when the loss ends");
  }

  @Test
  void floodAndCorruptedDatagramsDoNotChangeMembership() throws Exception {
    fleet(4, List.of(0));
    assertAgreement(fleet.allMembers(), "all find each other");
    Set<Integer> all = fleet.allMembers();
    fleet.datagramProxy.faults.add(new LinkFault(all, all, 0, 0, 0, 0, 0.2));
    try (DatagramSocket outsider = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      String[] to = fleet.datagramProxy.address(1).split(":");
      byte[] noise = new byte[900];
      for (int i = 0; i < 4000; i++) {
        new java.util.Random(i).nextBytes(noise);
        outsider.send(
            new DatagramPacket(
                noise, i % 900, InetAddress.getByName(to[0]), Integer.parseInt(to[1])));
      }
    }
    assertNotEquals(
        -1,
        Fleet.waitUntil(
            MAX_WAIT_MS,
            () ->
                fleet.view(1) != null
                    && fleet.view(1).counts().get("malformed") > 20
                    && fleet.view(1).counts().get("flooded") > 0),
        () -> "malformed and rate-limited datagrams are counted: " + fleet.view(1));
    fleet.datagramProxy.faults.clear();
    assertAgreement(all, "all report exactly the four members");
  }

  @Test
  void rollingRestartWithAClockSetBack() throws Exception {
    fleet(4, List.of(0, 1));
    assertAgreement(fleet.allMembers(), "all find each other");
    for (int i = 0; i < 4; i++) {
      fleet.signal(i, "TERM");
      int leaving = i;
      assertNotEquals(
          -1,
          Fleet.waitUntil(MAX_WAIT_MS, () -> !fleet.child(leaving).alive()),
          "the process ends after SIGTERM");
      assertNotEquals(
          -1,
          Fleet.waitUntil(
              MAX_WAIT_MS,
              () ->
                  fleet.membersWhere(m -> m != leaving).stream()
                      .map(fleet::view)
                      .allMatch(
                          v ->
                              v != null
                                  && !v.states()
                                      .getOrDefault("s" + leaving, "left")
                                      .equals("alive"))),
          "the others no longer report the member as alive");
      fleet.kill(i); // closes the guard of the ended process
      fleet.setClockShift(i, i == 3 ? -3_600_000 : 0); // the clock of s3 goes back by an hour
      fleet.start(i);
      assertAgreement(fleet.allMembers(), "the restarted member has rejoined");
    }
  }

  @Test
  void membersWithTheSameNameBothRemain() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 4, List.of("east"), List.of(0), INTERVAL_MS, 7);
    for (int i = 0; i < 3; i++) {
      fleet.start(i);
    }
    assertAgreement(fleet.membersWhere(i -> i < 3), "three find each other");
    fleet.start(3, "s2");
    assertNotEquals(
        -1,
        Fleet.waitUntil(
            MAX_WAIT_MS,
            () ->
                fleet.view(0) != null
                    && fleet.view(0).live() == 3
                    && new TreeSet<>(fleet.view(0).states().keySet())
                        .stream().anyMatch(n -> n.startsWith("s2~"))),
        () -> "the first s2 is renamed: " + fleet.view(0));
    assertEquals("s2", fleet.view(3).name());
  }

  @Test
  void requestsAreServedDuringMembershipChanges() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 3, List.of("east"), List.of(0), INTERVAL_MS, 7);
    try (StandInServices standIns = new StandInServices(3, List.of("east"), 5)) {
      fleet.setListAddress(standIns.listAddress());
      fleet.startAll();
      assertAgreement(fleet.allMembers(), "all find each other");
      assertNotEquals(-1, Fleet.waitUntil(MAX_WAIT_MS, () -> fleet.clientAddress(0) != null));
      try (LoadGenerator load = new LoadGenerator("c", () -> fleet.clientAddress(0), 50)) {
        assertNotEquals(-1, Fleet.waitUntil(MAX_WAIT_MS, () -> load.succeeded.get() > 20));
        fleet.kill(2);
        fleet.datagramProxy.faults.add(Fleet.cut(Set.of(0), Set.of(1)));
        assertNotEquals(
            -1,
            Fleet.waitUntil(MAX_WAIT_MS, () -> fleet.view(0).states().get("s2").equals("dead")),
            "the killed member is reported dead");
        assertNotEquals(
            -1,
            Fleet.waitUntil(MAX_WAIT_MS, () -> load.succeeded.get() > 200),
            "requests still succeed");
        assertEquals(0, load.unanswered.get(), "every request was answered");
      }
    }
  }

  @Test
  void sidecarCutOffFromAZoneUsesAnotherZoneAndReturns() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 2, List.of("east", "west"), List.of(0), INTERVAL_MS, 7);
    try (StandInServices standIns = new StandInServices(4, List.of("east", "west"), 5)) {
      fleet.setListAddress(0, standIns.listFor(0));
      fleet.setListAddress(1, standIns.listFor(1));
      fleet.startAll();
      assertNotEquals(
          -1,
          Fleet.waitUntil(
              MAX_WAIT_MS, () -> fleet.clientAddress(0) != null && fleet.clientAddress(1) != null));
      List<StandInServices.Endpoint> east =
          standIns.endpoints.stream().filter(e -> e.zone.equals("east")).toList();
      try (LoadGenerator one = new LoadGenerator("a", () -> fleet.clientAddress(0), 40);
          LoadGenerator other = new LoadGenerator("b", () -> fleet.clientAddress(1), 40)) {
        assertNotEquals(
            -1,
            Fleet.waitUntil(
                MAX_WAIT_MS, () -> one.succeeded.get() > 40 && east.get(0).attempts.get() > 0),
            "the endpoints of its own zone are in use");
        east.forEach(
            e -> standIns.proxy(0, e).cut(true, true)); // holds bytes back; connections stay open
        long before = one.succeeded.get();
        assertNotEquals(
            -1,
            Fleet.waitUntil(MAX_WAIT_MS, () -> one.succeeded.get() > before + 100),
            "requests succeed through the other zone");
        east.forEach(e -> standIns.proxy(0, e).cut(false, false));
        long connections =
            east.stream().mapToLong(e -> standIns.proxy(0, e).connections.get()).sum();
        assertNotEquals(
            -1,
            Fleet.waitUntil(
                MAX_WAIT_MS,
                () ->
                    east.stream().mapToLong(e -> standIns.proxy(0, e).connections.get()).sum()
                        > connections),
            "the sidecar reconnects to its own zone");
        assertEquals(
            0,
            one.unanswered.get() + other.unanswered.get(),
            "every request was answered by a sidecar");
        assertEquals(
            (float) other.sent.get(),
            (float) (other.succeeded.get() + other.rejected.get() + other.failed.get()),
            40,
            "the other sidecar is not affected");
        assertTrue(other.succeeded.get() > 0.9 * other.sent.get() - 40);
      }
    }
  }

  @Test
  void sidecarsEndWithTheProcessThatStartedThem() throws Exception {
    Path root = Fleet.root();
    Process parent =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                OrphanProcesses.class.getName(),
                folder.toString())
            .directory(root.toFile())
            .redirectErrorStream(true)
            .start();
    List<Long> children;
    try (var output =
        new java.io.BufferedReader(
            new java.io.InputStreamReader(
                parent.getInputStream(), java.nio.charset.StandardCharsets.UTF_8))) {
      children = List.of(output.readLine().split(" ")).stream().map(Long::parseLong).toList();
      assertTrue(children.stream().allMatch(pid -> ProcessHandle.of(pid).isPresent()));
      parent.destroyForcibly().waitFor(); // SIGKILL: the process cannot clean up
    }
    assertNotEquals(
        -1,
        Fleet.waitUntil(
            MAX_WAIT_MS,
            () ->
                children.stream()
                    .noneMatch(
                        pid -> ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false))));
    assertFalse(parent.isAlive());
  }
}
