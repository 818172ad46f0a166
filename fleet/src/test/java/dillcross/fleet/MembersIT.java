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
 * Several processes of the program, and faults between them. Waits are for what has to come in the
 * end and are far longer than it takes; nothing fails for being a little slow.
 */
@Timeout(value = 80, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MembersIT {
  private static final int INTERVAL_MS = 200;
  private static final long LONG_MS = 25_000;
  @TempDir private Path folder;
  private Fleet fleet;

  private void fleet(int members, List<Integer> seeds) throws Exception {
    fleet =
        new Fleet(
            Fleet.root(), folder, members, List.of("east", "west", "north"), seeds, INTERVAL_MS, 7);
    fleet.startAll();
  }

  private void agreed(Set<Integer> members, String why) throws Exception {
    assertNotEquals(
        -1,
        Fleet.until(LONG_MS, () -> fleet.agree(members)),
        () -> why + ": " + members.stream().map(m -> fleet.view(m)).toList());
  }

  private long sum(String count) {
    return fleet.all().stream()
        .filter(fleet::runs)
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
  void allFindEachOtherAtOnceThoughOneSeedIsDead() throws Exception {
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
    agreed(fleet.those(i -> i < 6), "six find each other");
    assertEquals(0, sum("deaths"));
  }

  @Test
  void aQuarterKilledInOneInstantIsFoundAndItsReturnNotified() throws Exception {
    fleet(8, List.of(0));
    agreed(fleet.all(), "all find each other");
    long boot = fleet.view(3).boots().get("s6");
    fleet.kill(6);
    fleet.kill(7);
    agreed(fleet.those(i -> i < 6), "two are found dead");
    fleet.start(6);
    fleet.start(7);
    agreed(fleet.all(), "both are back");
    assertTrue(fleet.view(3).boots().get("s6") > boot, "the new process is told from the old one");
  }

  @Test
  void aPausedMemberBlamesItselfAndNotTheOthers() throws Exception {
    fleet(5, List.of(0));
    agreed(fleet.all(), "all find each other");
    fleet.signal(4, "STOP");
    agreed(fleet.those(i -> i < 4), "the others hold it for dead");
    fleet.signal(4, "CONT");
    agreed(fleet.all(), "it is back");
    MembershipView woken = fleet.view(4);
    assertTrue(woken.counts().get("paused") > 0, "it found itself late: " + woken);
    assertEquals(0, woken.counts().get("deaths"), "it holds nobody for dead on waking: " + woken);
  }

  @Test
  void aOneSidedCutKillsNobody() throws Exception {
    fleet(5, List.of(0));
    agreed(fleet.all(), "all find each other");
    fleet.plane.faults.add(Fleet.cut(Set.of(0), Set.of(1))); // 1 hears nothing from 0
    long probes = sum("probes");
    assertNotEquals(
        -1, Fleet.until(LONG_MS, () -> sum("probes") > probes + 5 * 40), "probes go on");
    assertEquals(0, sum("deaths"), "others reach both");
    fleet.plane.faults.clear();
    agreed(fleet.all(), "all is well again");
  }

  @Test
  void twoHalvesBecomeOneAgain() throws Exception {
    fleet(6, List.of(0));
    agreed(fleet.all(), "all find each other");
    Set<Integer> one = fleet.those(i -> i < 3);
    Set<Integer> other = fleet.those(i -> i >= 3);
    fleet.split(one, other);
    agreed(one, "one half holds the other for dead");
    agreed(other, "and the other way round");
    fleet.plane.faults.clear();
    agreed(fleet.all(), "they find each other again");
    assertTrue(sum("refuted") >= 6, "each refuted its death");
  }

  @Test
  void thirtyPerCentOfDatagramsLostAndOthersLateTwiceAndOutOfOrder() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 6, List.of("east", "west"), List.of(0), INTERVAL_MS, 7);
    Set<Integer> all = fleet.all();
    fleet.plane.faults.add(new LinkFault(all, all, 0.3, 0, 20_000, 0.2, 0));
    fleet.startAll();
    assertNotEquals(
        -1,
        Fleet.until(
            LONG_MS, () -> all.stream().map(fleet::view).allMatch(v -> v != null && v.live() == 5)),
        "they find each other all the same");
    fleet.kill(5);
    assertNotEquals(
        -1,
        Fleet.until(
            LONG_MS,
            () ->
                fleet.those(i -> i < 5).stream()
                    .map(fleet::view)
                    .allMatch(v -> v != null && v.states().get("s5").equals("dead"))),
        "a death is found all the same");
    fleet.plane.faults.clear();
    agreed(fleet.those(i -> i < 5), "nobody else is held dead when the loss ends");
  }

  @Test
  void aFloodAndGarbledDatagramsChangeNothing() throws Exception {
    fleet(4, List.of(0));
    agreed(fleet.all(), "all find each other");
    Set<Integer> all = fleet.all();
    fleet.plane.faults.add(new LinkFault(all, all, 0, 0, 0, 0, 0.2));
    try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      String[] to = fleet.plane.address(1).split(":");
      byte[] noise = new byte[900];
      for (int i = 0; i < 4000; i++) {
        new java.util.Random(i).nextBytes(noise);
        stranger.send(
            new DatagramPacket(
                noise, i % 900, InetAddress.getByName(to[0]), Integer.parseInt(to[1])));
      }
    }
    assertNotEquals(
        -1,
        Fleet.until(
            LONG_MS,
            () ->
                fleet.view(1) != null
                    && fleet.view(1).counts().get("malformed") > 20
                    && fleet.view(1).counts().get("flooded") > 0),
        () -> "both are counted: " + fleet.view(1));
    fleet.plane.faults.clear();
    agreed(all, "all know just each other");
  }

  @Test
  void aRollingRestartAndAClockThatWentBack() throws Exception {
    fleet(4, List.of(0, 1));
    agreed(fleet.all(), "all find each other");
    for (int i = 0; i < 4; i++) {
      fleet.signal(i, "TERM");
      int leaving = i;
      assertNotEquals(-1, Fleet.until(LONG_MS, () -> !fleet.child(leaving).alive()), "it ends");
      assertNotEquals(
          -1,
          Fleet.until(
              LONG_MS,
              () ->
                  fleet.those(m -> m != leaving).stream()
                      .map(fleet::view)
                      .allMatch(
                          v ->
                              v != null
                                  && !v.states()
                                      .getOrDefault("s" + leaving, "left")
                                      .equals("alive"))),
          "the others know");
      fleet.kill(i); // its guard
      fleet.shift(i, i == 3 ? -3_600_000 : 0); // an hour back
      fleet.start(i);
      agreed(fleet.all(), "it is back");
    }
  }

  @Test
  void twoOfOneNameBothStay() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 4, List.of("east"), List.of(0), INTERVAL_MS, 7);
    for (int i = 0; i < 3; i++) {
      fleet.start(i);
    }
    agreed(fleet.those(i -> i < 3), "three find each other");
    fleet.start(3, "s2");
    assertNotEquals(
        -1,
        Fleet.until(
            LONG_MS,
            () ->
                fleet.view(0) != null
                    && fleet.view(0).live() == 3
                    && new TreeSet<>(fleet.view(0).states().keySet())
                        .stream().anyMatch(n -> n.startsWith("s2~"))),
        () -> "the first goes by another name: " + fleet.view(0));
    assertEquals("s2", fleet.view(3).name());
  }

  @Test
  void requestsAreServedWhileMembersComeAndGo() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 3, List.of("east"), List.of(0), INTERVAL_MS, 7);
    try (StandInServices standIns = new StandInServices(3, List.of("east"), 5)) {
      fleet.lists(standIns.listAddress());
      fleet.startAll();
      agreed(fleet.all(), "all find each other");
      assertNotEquals(-1, Fleet.until(LONG_MS, () -> fleet.listensNow(0) != null));
      try (LoadGenerator load = new LoadGenerator("c", () -> fleet.listensNow(0), 50)) {
        assertNotEquals(-1, Fleet.until(LONG_MS, () -> load.succeeded.get() > 20));
        fleet.kill(2);
        fleet.plane.faults.add(Fleet.cut(Set.of(0), Set.of(1)));
        assertNotEquals(
            -1,
            Fleet.until(LONG_MS, () -> fleet.view(0).states().get("s2").equals("dead")),
            "the killed one is found");
        assertNotEquals(-1, Fleet.until(LONG_MS, () -> load.succeeded.get() > 200), "ops go on");
        assertEquals(0, load.unheard.get(), "each that was sent was answered");
      }
    }
  }

  @Test
  void oneSidecarCutOffFromAZoneOfEndpointsServesOnAndGoesBack() throws Exception {
    fleet = new Fleet(Fleet.root(), folder, 2, List.of("east", "west"), List.of(0), INTERVAL_MS, 7);
    try (StandInServices standIns = new StandInServices(4, List.of("east", "west"), 5)) {
      fleet.lists(0, standIns.listFor(0));
      fleet.lists(1, standIns.listFor(1));
      fleet.startAll();
      assertNotEquals(
          -1,
          Fleet.until(LONG_MS, () -> fleet.listensNow(0) != null && fleet.listensNow(1) != null));
      List<StandInServices.Endpoint> east =
          standIns.endpoints.stream().filter(e -> e.zone.equals("east")).toList();
      try (LoadGenerator one = new LoadGenerator("a", () -> fleet.listensNow(0), 40);
          LoadGenerator other = new LoadGenerator("b", () -> fleet.listensNow(1), 40)) {
        assertNotEquals(
            -1,
            Fleet.until(LONG_MS, () -> one.succeeded.get() > 40 && east.get(0).attempts.get() > 0),
            "its own zone is in use");
        east.forEach(e -> standIns.link(0, e).cut(true, true)); // closes nothing
        long before = one.succeeded.get();
        assertNotEquals(
            -1,
            Fleet.until(LONG_MS, () -> one.succeeded.get() > before + 100),
            "it serves on from the other zone");
        east.forEach(e -> standIns.link(0, e).cut(false, false));
        long connections =
            east.stream().mapToLong(e -> standIns.link(0, e).connections.get()).sum();
        assertNotEquals(
            -1,
            Fleet.until(
                LONG_MS,
                () ->
                    east.stream().mapToLong(e -> standIns.link(0, e).connections.get()).sum()
                        > connections),
            "it goes back");
        assertEquals(0, one.unheard.get() + other.unheard.get(), "each op was answered");
        assertEquals(
            (float) other.sent.get(),
            (float) (other.succeeded.get() + other.rejected.get() + other.failed.get()),
            40,
            "the other sidecar saw nothing of it");
        assertTrue(other.succeeded.get() > 0.9 * other.sent.get() - 40);
      }
    }
  }

  @Test
  void noProcessOutlivesTheOneThatStartedIt() throws Exception {
    Path root = Fleet.root();
    Process rig =
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
    try (var said =
        new java.io.BufferedReader(
            new java.io.InputStreamReader(
                rig.getInputStream(), java.nio.charset.StandardCharsets.UTF_8))) {
      children = List.of(said.readLine().split(" ")).stream().map(Long::parseLong).toList();
      assertTrue(children.stream().allMatch(pid -> ProcessHandle.of(pid).isPresent()));
      rig.destroyForcibly().waitFor(); // SIGKILL: it can tidy up nothing
    }
    assertNotEquals(
        -1,
        Fleet.until(
            LONG_MS,
            () ->
                children.stream()
                    .noneMatch(
                        pid -> ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false))));
    assertFalse(rig.isAlive());
  }
}
