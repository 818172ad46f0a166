package dillcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests one membership, named "a", which receives packets of other members from the test. */
class MembershipTest {
  private static final long SECOND_US = 1_000_000;
  private static final long TICK_US = 10_000;
  private static final int MAX_MEMBERS = 100;
  private static final int DATAGRAM_BYTES = 1200;
  private static final int BYTES_PER_SECOND = 20_000;

  private static final MemberRecord LIVE_B = liveRecord("b");
  private static final MemberRecord LIVE_C = liveRecord("c");

  private long nowUs = 5_000_000_000L;
  private final Membership membership =
      new Membership(
          1,
          nowUs,
          new MemberRecord("a", "127.0.0.1:1", "east", nowUs, 0, MemberState.ALIVE, ""),
          new MembershipSettings(
              List.of(), SECOND_US, 300_000, MAX_MEMBERS, DATAGRAM_BYTES, BYTES_PER_SECOND));

  private static MemberRecord liveRecord(String name) {
    return memberRecord(name, 1, 0, MemberState.ALIVE);
  }

  private static MemberRecord memberRecord(
      String name, long boot, long incarnation, MemberState state) {
    int port = 1000 + Math.floorMod(name.hashCode(), 60_000);
    return new MemberRecord(name, "127.0.0.1:" + port, "west", boot, incarnation, state, "");
  }

  private static MemberRecord[] liveRecords(String namePrefix, int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> liveRecord(namePrefix + i))
        .toArray(MemberRecord[]::new);
  }

  private void receive(MemberRecord sender, Packet.Kind kind, MemberRecord... gossip) {
    membership.onPacket(
        nowUs, new Packet(kind, 0, sender, null, new int[0], List.of(gossip), List.of()));
  }

  private List<OutboundPacket> takeSent() {
    List<OutboundPacket> sent = new ArrayList<>();
    OutboundPacket packet = membership.next();
    while (packet != null) {
      sent.add(packet);
      packet = membership.next();
    }
    return sent;
  }

  private Optional<MemberState> stateOf(String name) {
    return membership.members().stream()
        .filter(member -> member.record().name().equals(name))
        .map(member -> member.record().state())
        .findFirst();
  }

  private void assertState(MemberState expected, String name) {
    assertEquals(Optional.of(expected), stateOf(name));
  }

  private void assertUnknown(String name) {
    assertEquals(Optional.empty(), stateOf(name));
  }

  private void advance(long durationUs) {
    for (long endUs = nowUs + durationUs; nowUs < endUs; nowUs += TICK_US) {
      membership.onTime(nowUs);
    }
  }

  @Test
  void refutesSuspicionAndDeathWithNewIncarnation() {
    receive(LIVE_B, Packet.Kind.PING, membership.self().withState(MemberState.SUSPECT, "b"));
    assertEquals(1, membership.self().incarnation());
    assertEquals(1, takeSent().get(0).packet().sender().incarnation());
    receive(LIVE_B, Packet.Kind.PING, membership.self().withState(MemberState.DEAD, ""));
    assertEquals(2, membership.self().incarnation());
    assertEquals(2, membership.counters().refutations());
  }

  @Test
  void remembersDeadMemberForBoundedTimeAndOnlyIfItWasKnown() {
    MemberRecord deadC = memberRecord("c", 1, 0, MemberState.DEAD);
    receive(LIVE_B, Packet.Kind.ACK, deadC);
    assertUnknown("c");
    receive(LIVE_B, Packet.Kind.ACK, LIVE_C);
    receive(LIVE_B, Packet.Kind.ACK, deadC);
    assertState(MemberState.DEAD, "c");
    advance(601 * SECOND_US);
    assertUnknown("c");
  }

  @Test
  void fullTableEvictsDeadMembersAndRefusesNewOnesIfAllAreLive() {
    receive(LIVE_B, Packet.Kind.ACK, liveRecords("m", MAX_MEMBERS - 1));
    assertEquals(MAX_MEMBERS, membership.members().size());
    receive(LIVE_B, Packet.Kind.ACK, liveRecord("late"));
    assertUnknown("late");
    assertEquals(1, membership.counters().refusedMembers());
    receive(LIVE_B, Packet.Kind.ACK, memberRecord("m7", 1, 0, MemberState.DEAD));
    receive(LIVE_B, Packet.Kind.ACK, liveRecord("late"));
    assertState(MemberState.ALIVE, "late");
    assertUnknown("m7");
  }

  @Test
  void recordOfEarlierProcessDoesNotAffectRestartedMember() {
    receive(memberRecord("b", 5, 9, MemberState.ALIVE), Packet.Kind.ACK);
    receive(
        LIVE_C,
        Packet.Kind.ACK,
        memberRecord("b", 5, 9, MemberState.DEAD),
        memberRecord("b", 6, 0, MemberState.ALIVE));
    assertState(MemberState.ALIVE, "b");
    receive(LIVE_C, Packet.Kind.ACK, memberRecord("b", 5, 99, MemberState.DEAD));
    assertState(MemberState.ALIVE, "b");
  }

  /** Every 10 ms a digest of zeros requests the whole table, more than the byte budget allows. */
  @Test
  void keepsPacketSizeAndBytesPerSecondWithinTheirLimits() {
    receive(LIVE_B, Packet.Kind.ACK, liveRecords("member-with-a-long-name-", 90));
    takeSent();
    Packet digest =
        new Packet(Packet.Kind.DIGEST, 0, LIVE_B, null, new int[32], List.of(), List.of());
    long bytes = 0;
    long startUs = nowUs;
    for (int tick = 0; tick < 6000; tick++) {
      membership.onTime(nowUs);
      membership.onPacket(nowUs, digest);
      receive(LIVE_B, Packet.Kind.PING);
      for (OutboundPacket sent : takeSent()) {
        int size = sent.packet().size();
        assertTrue(size <= DATAGRAM_BYTES, () -> size + " " + sent);
        bytes += size;
      }
      nowUs += TICK_US;
    }
    double bytesPerSecond = bytes * 1e6 / (nowUs - startUs);
    assertTrue(bytesPerSecond < 22_500, bytesPerSecond + " bytes a second");
    assertTrue(membership.counters().suppressedReplies() > 0);
  }

  @Test
  void pauseWorsensLocalHealthAndSuspectsNoMember() {
    receive(LIVE_B, Packet.Kind.ACK);
    advance(2 * SECOND_US / 5); // a probe is in progress, which must not fail by the pause below
    nowUs += 10 * SECOND_US;
    membership.onTime(nowUs);
    assertTrue(membership.localHealth() > 0);
    assertState(MemberState.ALIVE, "b");
    assertEquals(1, membership.counters().pauses());
  }

  @Test
  void asksHelpersAndThenSuspectsMemberThatDoesNotAnswer() {
    receive(LIVE_B, Packet.Kind.ACK, LIVE_C, liveRecord("d"));
    takeSent();
    int ticks = 0;
    while (ticks < 150 && takeSent().stream().noneMatch(MembershipTest::isPingRequest)) {
      advance(TICK_US);
      ticks++;
    }
    assertTrue(ticks < 150, "no ping request was sent");
    assertTrue(membership.counters().probes() > 0);
    advance(4 * SECOND_US);
    assertTrue(membership.counters().suspicions() > 0);
  }

  private static boolean isPingRequest(OutboundPacket sent) {
    return sent.packet().kind() == Packet.Kind.PING_REQUEST;
  }

  @Test
  void nameCollisionRenamesOneMemberAndKeepsBoth() {
    MemberRecord other =
        new MemberRecord("a", "127.0.0.1:9", "east", nowUs + SECOND_US, 0, MemberState.ALIVE, "");
    receive(other, Packet.Kind.PING);
    assertNotEquals("a", membership.self().name());
    assertTrue(membership.self().name().startsWith("a~"));
    assertState(MemberState.ALIVE, "a");
    assertEquals(1, membership.counters().collisions());
  }

  @Test
  void refusesPayloadOfInvalidSizeOrType() {
    byte[] tooLarge = new byte[Payload.MAX_BYTES + 1];
    assertThrows(IllegalArgumentException.class, () -> membership.publish(nowUs, 0, tooLarge));
    assertThrows(
        IllegalArgumentException.class,
        () -> membership.publish(nowUs, Payload.TYPES, new byte[1]));
  }

  @Test
  void announcesLeaveAndThenSendsNothing() {
    receive(LIVE_B, Packet.Kind.ACK);
    takeSent();
    membership.leave(nowUs);
    assertEquals(MemberState.LEFT, takeSent().get(0).packet().sender().state());
    advance(5 * SECOND_US);
    receive(LIVE_B, Packet.Kind.PING);
    assertTrue(takeSent().isEmpty());
    assertFalse(membership.nextDueUs() < Long.MAX_VALUE);
  }
}
