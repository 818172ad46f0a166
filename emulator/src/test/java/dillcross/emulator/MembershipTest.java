package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.emulator.membership.Explorer;
import dillcross.emulator.membership.MembershipCluster;
import dillcross.emulator.membership.MembershipTrial;
import dillcross.membership.MemberState;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Memberships in virtual time: all short sequences of three, and many under each fault. */
class MembershipTest {
  private static final int DEPTH = 2; // in each build; 3 and 4 by hand, see docs/membership.md
  @TempDir private Path folder;

  @Test
  void noShortSequenceOfStepsBreaksARule() {
    AtomicLong played = new AtomicLong();
    assertNull(Explorer.explore(DEPTH, 11, played));
    assertEquals(Explorer.sequences(DEPTH), played.get());
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "a refutation that raises nothing | LocalMember | raise(self.boot(), record.incarnation() + 1) | raise(self.boot(), record.incarnation())",
        "a death that is never declared | MemberEntry | isSuspect() && nowUs >= suspicionDeadlineUs | isSuspect() && nowUs < 0",
        "an older process taken for the newer | MemberRecord | boot > other.boot | boot < other.boot",
        "a probe that fails and accuses nobody | RecordMerger | merge(entry.record().withState(MemberState.SUSPECT, local.self().name()), nowUs); | entry.record().withState(MemberState.SUSPECT, local.self().name());",
        "a pause that is not noticed | PauseDetector | lateUs > toleranceUs | lateUs > Long.MAX_VALUE / 2",
        "helpers that are not asked | Probe | isOwn() && !isIndirect && nowUs >= indirectAtUs | isOwn() && !isIndirect && nowUs < 0",
        "a clock gone back that is not made up for | LocalMember | raise(record.boot() + 1, 0) | raise(self.boot(), 0)",
        "the dead probed and not the living | ProbeTargets | if (entry != null && entry.isLive()) { | if (entry != null && !entry.isLive()) {",
        "a member that never probes | ProtocolSchedule | nowUs >= probeAtUs | nowUs < 0",
        "seeds that are never asked | Reconnector | Math.min(wanted, lost.size()) | 0",
        "a refutation that is not believed | MemberRecord | incarnation > other.incarnation | incarnation < other.incarnation"
      })
  void aPlantedFaultIsFound(String name, String file, String text, String instead)
      throws Exception {
    String found = null;
    try (URLClassLoader own =
        PlantedFault.loader(folder, "membership/" + file + ".java", text, instead)) {
      @SuppressWarnings("unchecked")
      IntFunction<String> search =
          (IntFunction<String>)
              own.loadClass(MembershipSearch.class.getName())
                  .getDeclaredConstructor()
                  .newInstance();
      for (int depth = 1; depth <= 3 && found == null; depth++) {
        found = search.apply(depth);
      }
    }
    assertNotNull(found, "no sequence of 3 steps shows it");
    System.out.println("planted: " + name + " | " + found);
  }

  @ParameterizedTest
  @EnumSource(MembershipTrial.Fault.class)
  void twentyFourFindWhoDiedAndAgreeInTheEnd(MembershipTrial.Fault fault) {
    MembershipTrial.Result result = MembershipTrial.play(24, fault, 5);
    assertTrue(result.convergedMs() >= 0, result::toString);
    assertTrue(result.detectMs().size() > 0, result::toString);
    if (fault == MembershipTrial.Fault.NONE
        || fault == MembershipTrial.Fault.ONE_WAY
        || fault == MembershipTrial.Fault.SLOW) {
      assertEquals(0, result.falseDeaths(), result::toString);
    }
  }

  @Test
  void theSameSeedPlaysTheSame() {
    assertEquals(
        MembershipTrial.play(16, MembershipTrial.Fault.ALL, 3).toString(),
        MembershipTrial.play(16, MembershipTrial.Fault.ALL, 3).toString());
  }

  @Test
  void aWordOfAnotherPartComesToAllAndTheNewestHolds() {
    MembershipCluster cluster = new MembershipCluster(40, 3, 1, 1_000_000, 400, 9);
    for (int i = 0; i < 40; i++) {
      cluster.start(i, 0);
    }
    cluster.pass(30_000_000);
    cluster.of(7).publish(cluster.now(), 2, new byte[] {1});
    cluster.of(7).publish(cluster.now(), 2, new byte[] {2});
    cluster.pass(30_000_000);
    for (int i = 0; i < 40; i++) {
      assertEquals(MemberState.ALIVE, i == 7 ? MemberState.ALIVE : cluster.holds(i, 7));
      assertTrue(
          i == 7
              || (cluster.of(i).payload("s7", 2).orElseThrow().bytes()[0] == 2
                  && cluster.of(i).payload("s7", 2).orElseThrow().version() == 2));
    }
    cluster.kill(9);
    cluster.start(9, 0); // who comes later hears of it as well
    cluster.pass(30_000_000);
    assertEquals(2, cluster.of(9).payload("s7", 2).orElseThrow().bytes()[0]);
  }
}
