package dillcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MembershipTest {
  private static final long S = 1_000_000;
  private long now = 5_000_000_000L;
  private final Membership one =
      new Membership(
          1, now, "a", "127.0.0.1:1", "east", now, List.of(), S, 300_000, 100, 1200, 20_000);

  private static Claim claim(String name, long boot, long incarnation, State state, String by) {
    return new Claim(
        name,
        "127.0.0.1:" + (1000 + Math.abs(name.hashCode()) % 60_000),
        "west",
        boot,
        incarnation,
        state,
        by);
  }

  private void hears(Claim from, Packet.Kind kind, Claim... claims) {
    one.received(
        now,
        from.address(),
        new Packet(kind, 0, from, null, new int[0], List.of(claims), List.of()));
  }

  private List<Sent> sent() {
    List<Sent> all = new ArrayList<>();
    for (Sent next; (next = one.next()) != null; ) {
      all.add(next);
    }
    return all;
  }

  private State held(String name) {
    return one.members().stream()
        .filter(m -> m.claim().name().equals(name))
        .map(m -> m.claim().state())
        .findFirst()
        .orElse(null);
  }

  private void pass(long us) {
    for (long until = now + us; now < until; now += 10_000) {
      one.tick(now);
    }
  }

  @Test
  void itRefutesWhatIsSaidOfIt() {
    Claim other = claim("b", 1, 0, State.ALIVE, "");
    hears(other, Packet.Kind.PING, one.self().as(State.SUSPECT, "b"));
    assertEquals(1, one.self().incarnation());
    assertEquals(1, sent().get(0).packet().from().incarnation());
    hears(other, Packet.Kind.PING, one.self().as(State.DEAD, ""));
    assertEquals(2, one.self().incarnation());
    assertEquals(2, one.counts().refuted);
  }

  @Test
  void theDeadAreRememberedForABoundedTimeAndOnlyByWhoKnewThem() {
    hears(claim("b", 1, 0, State.ALIVE, ""), Packet.Kind.ACK, claim("c", 1, 0, State.DEAD, ""));
    assertEquals(null, held("c"));
    hears(claim("b", 1, 0, State.ALIVE, ""), Packet.Kind.ACK, claim("c", 1, 0, State.ALIVE, ""));
    hears(claim("b", 1, 0, State.ALIVE, ""), Packet.Kind.ACK, claim("c", 1, 0, State.DEAD, ""));
    assertEquals(State.DEAD, held("c"));
    pass(601 * S);
    assertEquals(null, held("c"));
  }

  @Test
  void theTableIsBoundedAndTheDeadGiveWayFirst() {
    Claim b = claim("b", 1, 0, State.ALIVE, "");
    hears(
        b,
        Packet.Kind.ACK,
        IntStream.range(0, 99)
            .mapToObj(i -> claim("m" + i, 1, 0, State.ALIVE, ""))
            .toArray(Claim[]::new));
    assertEquals(100, one.members().size());
    hears(b, Packet.Kind.ACK, claim("late", 1, 0, State.ALIVE, ""));
    assertEquals(null, held("late"));
    assertEquals(1, one.counts().refused);
    hears(b, Packet.Kind.ACK, claim("m7", 1, 0, State.DEAD, ""));
    hears(b, Packet.Kind.ACK, claim("late", 1, 0, State.ALIVE, ""));
    assertEquals(State.ALIVE, held("late"));
    assertEquals(null, held("m7"));
  }

  @Test
  void aNewProcessOfANameIsToldFromTheOldOne() {
    hears(claim("b", 5, 9, State.ALIVE, ""), Packet.Kind.ACK);
    hears(
        claim("c", 1, 0, State.ALIVE, ""),
        Packet.Kind.ACK,
        claim("b", 5, 9, State.DEAD, ""),
        claim("b", 6, 0, State.ALIVE, ""));
    assertEquals(State.ALIVE, held("b"));
    hears(claim("c", 1, 0, State.ALIVE, ""), Packet.Kind.ACK, claim("b", 5, 99, State.DEAD, ""));
    assertEquals(State.ALIVE, held("b"), "word of the old process says nothing of the new one");
  }

  @Test
  void noPacketIsLargerThanItMayBeAndNoSecondCostsMoreThanItMay() {
    Claim b = claim("b", 1, 0, State.ALIVE, "");
    hears(
        b,
        Packet.Kind.ACK,
        IntStream.range(0, 90)
            .mapToObj(i -> claim("member-with-a-long-name-" + i, 1, 0, State.ALIVE, ""))
            .toArray(Claim[]::new));
    sent();
    long bytes = 0;
    long from = now;
    for (int i = 0;
        i < 6000;
        i++, now += 10_000) { // asked a hundred times a second, and for all that it knows
      one.tick(now);
      one.received(
          now,
          b.address(),
          new Packet(Packet.Kind.DIGEST, 0, b, null, new int[32], List.of(), List.of()));
      hears(b, Packet.Kind.PING);
      for (Sent sent : sent()) {
        assertTrue(sent.packet().size() <= 1200, () -> sent.packet().size() + " " + sent);
        bytes += sent.packet().size();
      }
    }
    double perS = bytes * 1e6 / (now - from);
    assertTrue(perS < 22_500, perS + " bytes a second");
    assertTrue(one.counts().muted > 0);
  }

  @Test
  void oneThatWasPausedDistrustsItselfFirst() {
    hears(claim("b", 1, 0, State.ALIVE, ""), Packet.Kind.ACK);
    pass(2 * S / 5); // a probe is out
    now += 10 * S;
    one.tick(now);
    assertTrue(one.health() > 0);
    assertEquals(State.ALIVE, held("b"));
    assertEquals(1, one.counts().paused);
  }

  @Test
  void whoeverAnswersAfterEveryTimeOutIsProbedByOthersToo() {
    Claim b = claim("b", 1, 0, State.ALIVE, "");
    hears(b, Packet.Kind.ACK, claim("c", 1, 0, State.ALIVE, ""), claim("d", 1, 0, State.ALIVE, ""));
    sent();
    for (int i = 0;
        i < 150 && sent().stream().noneMatch(s -> s.packet().kind() == Packet.Kind.PROBE);
        i++) {
      pass(10_000);
    }
    assertTrue(one.counts().probes > 0);
    pass(4 * S);
    assertTrue(one.counts().suspicions > 0);
  }

  @Test
  void twoOfOneNameBothStay() {
    Claim other = new Claim("a", "127.0.0.1:9", "east", now + S, 0, State.ALIVE, "");
    hears(other, Packet.Kind.PING);
    assertNotEquals("a", one.self().name());
    assertTrue(one.self().name().startsWith("a~"));
    assertEquals(State.ALIVE, held("a"));
    assertEquals(1, one.counts().collisions);
  }

  @Test
  void aWordOfAnotherPartIsBoundedInSize() {
    assertThrows(
        IllegalArgumentException.class,
        () -> one.publish(now, 0, new byte[Payload.MOST_BYTES + 1]));
    assertThrows(
        IllegalArgumentException.class, () -> one.publish(now, Payload.MOST_TYPES, new byte[1]));
  }

  @Test
  void whoLeavesSaysSoAndIsSilent() {
    hears(claim("b", 1, 0, State.ALIVE, ""), Packet.Kind.ACK);
    sent();
    one.leave(now);
    assertEquals(State.LEFT, sent().get(0).packet().from().state());
    pass(5 * S);
    hears(claim("b", 1, 0, State.ALIVE, ""), Packet.Kind.PING);
    assertTrue(sent().isEmpty());
    assertFalse(one.dueUs() < Long.MAX_VALUE);
  }
}
