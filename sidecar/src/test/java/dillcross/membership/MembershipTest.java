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
          1,
          now,
          new MemberRecord("a", "127.0.0.1:1", "east", now, 0, MemberState.ALIVE, ""),
          new MembershipSettings(List.of(), S, 300_000, 100, 1200, 20_000));

  private static MemberRecord memberRecord(
      String name, long boot, long incarnation, MemberState state, String by) {
    return new MemberRecord(
        name,
        "127.0.0.1:" + (1000 + Math.floorMod(name.hashCode(), 60_000)),
        "west",
        boot,
        incarnation,
        state,
        by);
  }

  private void receive(MemberRecord from, Packet.Kind kind, MemberRecord... claims) {
    one.onPacket(now, new Packet(kind, 0, from, null, new int[0], List.of(claims), List.of()));
  }

  private List<OutboundPacket> sent() {
    List<OutboundPacket> all = new ArrayList<>();
    for (OutboundPacket next; (next = one.next()) != null; ) {
      all.add(next);
    }
    return all;
  }

  private MemberState stateOf(String name) {
    return one.members().stream()
        .filter(m -> m.record().name().equals(name))
        .map(m -> m.record().state())
        .findFirst()
        .orElse(null);
  }

  private void pass(long us) {
    for (long until = now + us; now < until; now += 10_000) {
      one.onTime(now);
    }
  }

  @Test
  void itRefutesWhatIsSaidOfIt() {
    MemberRecord other = memberRecord("b", 1, 0, MemberState.ALIVE, "");
    receive(other, Packet.Kind.PING, one.self().withState(MemberState.SUSPECT, "b"));
    assertEquals(1, one.self().incarnation());
    assertEquals(1, sent().get(0).packet().sender().incarnation());
    receive(other, Packet.Kind.PING, one.self().withState(MemberState.DEAD, ""));
    assertEquals(2, one.self().incarnation());
    assertEquals(2, one.counters().refutations());
  }

  @Test
  void theDeadAreRememberedForABoundedTimeAndOnlyByWhoKnewThem() {
    receive(
        memberRecord("b", 1, 0, MemberState.ALIVE, ""),
        Packet.Kind.ACK,
        memberRecord("c", 1, 0, MemberState.DEAD, ""));
    assertEquals(null, stateOf("c"));
    receive(
        memberRecord("b", 1, 0, MemberState.ALIVE, ""),
        Packet.Kind.ACK,
        memberRecord("c", 1, 0, MemberState.ALIVE, ""));
    receive(
        memberRecord("b", 1, 0, MemberState.ALIVE, ""),
        Packet.Kind.ACK,
        memberRecord("c", 1, 0, MemberState.DEAD, ""));
    assertEquals(MemberState.DEAD, stateOf("c"));
    pass(601 * S);
    assertEquals(null, stateOf("c"));
  }

  @Test
  void theTableIsBoundedAndTheDeadGiveWayFirst() {
    MemberRecord b = memberRecord("b", 1, 0, MemberState.ALIVE, "");
    receive(
        b,
        Packet.Kind.ACK,
        IntStream.range(0, 99)
            .mapToObj(i -> memberRecord("m" + i, 1, 0, MemberState.ALIVE, ""))
            .toArray(MemberRecord[]::new));
    assertEquals(100, one.members().size());
    receive(b, Packet.Kind.ACK, memberRecord("late", 1, 0, MemberState.ALIVE, ""));
    assertEquals(null, stateOf("late"));
    assertEquals(1, one.counters().refusedMembers());
    receive(b, Packet.Kind.ACK, memberRecord("m7", 1, 0, MemberState.DEAD, ""));
    receive(b, Packet.Kind.ACK, memberRecord("late", 1, 0, MemberState.ALIVE, ""));
    assertEquals(MemberState.ALIVE, stateOf("late"));
    assertEquals(null, stateOf("m7"));
  }

  @Test
  void aNewProcessOfANameIsToldFromTheOldOne() {
    receive(memberRecord("b", 5, 9, MemberState.ALIVE, ""), Packet.Kind.ACK);
    receive(
        memberRecord("c", 1, 0, MemberState.ALIVE, ""),
        Packet.Kind.ACK,
        memberRecord("b", 5, 9, MemberState.DEAD, ""),
        memberRecord("b", 6, 0, MemberState.ALIVE, ""));
    assertEquals(MemberState.ALIVE, stateOf("b"));
    receive(
        memberRecord("c", 1, 0, MemberState.ALIVE, ""),
        Packet.Kind.ACK,
        memberRecord("b", 5, 99, MemberState.DEAD, ""));
    assertEquals(
        MemberState.ALIVE, stateOf("b"), "word of the old process says nothing of the new one");
  }

  @Test
  void noPacketIsLargerThanItMayBeAndNoSecondCostsMoreThanItMay() {
    MemberRecord b = memberRecord("b", 1, 0, MemberState.ALIVE, "");
    receive(
        b,
        Packet.Kind.ACK,
        IntStream.range(0, 90)
            .mapToObj(
                i -> memberRecord("member-with-a-long-name-" + i, 1, 0, MemberState.ALIVE, ""))
            .toArray(MemberRecord[]::new));
    sent();
    long bytes = 0;
    long from = now;
    for (int i = 0;
        i < 6000;
        i++, now += 10_000) { // asked a hundred times a second, and for all that it knows
      one.onTime(now);
      one.onPacket(
          now, new Packet(Packet.Kind.DIGEST, 0, b, null, new int[32], List.of(), List.of()));
      receive(b, Packet.Kind.PING);
      for (OutboundPacket sent : sent()) {
        assertTrue(sent.packet().size() <= 1200, () -> sent.packet().size() + " " + sent);
        bytes += sent.packet().size();
      }
    }
    double perSecond = bytes * 1e6 / (now - from);
    assertTrue(perSecond < 22_500, perSecond + " bytes a second");
    assertTrue(one.counters().suppressedReplies() > 0);
  }

  @Test
  void oneThatWasPausedDistrustsItselfFirst() {
    receive(memberRecord("b", 1, 0, MemberState.ALIVE, ""), Packet.Kind.ACK);
    pass(2 * S / 5); // a probe is out
    now += 10 * S;
    one.onTime(now);
    assertTrue(one.localHealth() > 0);
    assertEquals(MemberState.ALIVE, stateOf("b"));
    assertEquals(1, one.counters().pauses());
  }

  @Test
  void whoeverAnswersAfterEveryTimeOutIsProbedByOthersToo() {
    MemberRecord b = memberRecord("b", 1, 0, MemberState.ALIVE, "");
    receive(
        b,
        Packet.Kind.ACK,
        memberRecord("c", 1, 0, MemberState.ALIVE, ""),
        memberRecord("d", 1, 0, MemberState.ALIVE, ""));
    sent();
    for (int i = 0;
        i < 150 && sent().stream().noneMatch(s -> s.packet().kind() == Packet.Kind.PING_REQUEST);
        i++) {
      pass(10_000);
    }
    assertTrue(one.counters().probes() > 0);
    pass(4 * S);
    assertTrue(one.counters().suspicions() > 0);
  }

  @Test
  void twoOfOneNameBothStay() {
    MemberRecord other =
        new MemberRecord("a", "127.0.0.1:9", "east", now + S, 0, MemberState.ALIVE, "");
    receive(other, Packet.Kind.PING);
    assertNotEquals("a", one.self().name());
    assertTrue(one.self().name().startsWith("a~"));
    assertEquals(MemberState.ALIVE, stateOf("a"));
    assertEquals(1, one.counters().collisions());
  }

  @Test
  void aWordOfAnotherPartIsBoundedInSize() {
    assertThrows(
        IllegalArgumentException.class, () -> one.publish(now, 0, new byte[Payload.MAX_BYTES + 1]));
    assertThrows(
        IllegalArgumentException.class, () -> one.publish(now, Payload.TYPES, new byte[1]));
  }

  @Test
  void whoLeavesSaysSoAndIsSilent() {
    receive(memberRecord("b", 1, 0, MemberState.ALIVE, ""), Packet.Kind.ACK);
    sent();
    one.leave(now);
    assertEquals(MemberState.LEFT, sent().get(0).packet().sender().state());
    pass(5 * S);
    receive(memberRecord("b", 1, 0, MemberState.ALIVE, ""), Packet.Kind.PING);
    assertTrue(sent().isEmpty());
    assertFalse(one.nextDueUs() < Long.MAX_VALUE);
  }
}
