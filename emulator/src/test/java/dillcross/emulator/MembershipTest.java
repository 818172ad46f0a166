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

/**
 * The membership protocol in virtual time: all short sequences of steps of three members, and
 * larger clusters under each fault.
 */
class MembershipTest {
  private static final int DEPTH =
      2; // steps in each build; 3 and 4 are run by hand, see docs/membership.md
  @TempDir private Path folder;

  @Test
  void shortSequencesOfStepsBreakNoRule() {
    AtomicLong explored = new AtomicLong();
    assertNull(Explorer.explore(DEPTH, 11, explored));
    assertEquals(Explorer.sequences(DEPTH), explored.get());
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "a refutation that does not raise the incarnation | LocalMember | raise(self.boot(), record.incarnation() + 1) | raise(self.boot(), record.incarnation())",
        "a suspicion that never ends in a death | MemberEntry | isSuspect() && nowUs >= suspicionDeadlineUs | isSuspect() && nowUs < 0",
        "an older process taken for the newer one | MemberRecord | boot > other.boot | boot < other.boot",
        "a failed probe that causes no suspicion | RecordMerger | merge(entry.record().withState(MemberState.SUSPECT, local.self().name()), nowUs); | entry.record().withState(MemberState.SUSPECT, local.self().name());",
        "a pause of the process that is not noticed | PauseDetector | lateUs > toleranceUs | lateUs > Long.MAX_VALUE / 2",
        "no indirect probes | Probe | isOwn() && !isIndirect && nowUs >= indirectAtUs | isOwn() && !isIndirect && nowUs < 0",
        "a clock set back that does not raise the boot number | LocalMember | raise(record.boot() + 1, 0) | raise(self.boot(), 0)",
        "dead members probed instead of live ones | ProbeTargets | if (entry != null && entry.isLive()) { | if (entry != null && !entry.isLive()) {",
        "a member that never probes | ProtocolSchedule | nowUs >= probeAtUs | nowUs < 0",
        "seeds that are never contacted again | Reconnector | Math.min(wanted, lost.size()) | 0",
        "a refutation that is not accepted | MemberRecord | incarnation > other.incarnation | incarnation < other.incarnation"
      })
  void aPlantedFaultIsFound(String name, String file, String original, String replacement)
      throws Exception {
    String found = null;
    try (URLClassLoader loader =
        PlantedFault.loader(folder, "membership/" + file + ".java", original, replacement)) {
      @SuppressWarnings("unchecked")
      IntFunction<String> search =
          (IntFunction<String>)
              loader
                  .loadClass(MembershipSearch.class.getName())
                  .getDeclaredConstructor()
                  .newInstance();
      for (int depth = 1; depth <= 3 && found == null; depth++) {
        found = search.apply(depth);
      }
    }
    assertNotNull(found, "no sequence of up to 3 steps reveals the fault");
    System.out.println("planted: " + name + " | " + found);
  }

  @ParameterizedTest
  @EnumSource(MembershipTrial.Fault.class)
  void clusterDetectsDeathsAndConvergesUnderEachFault(MembershipTrial.Fault fault) {
    MembershipTrial.Result result = MembershipTrial.run(24, fault, 5);
    assertTrue(result.convergedMs() >= 0, result::toString);
    assertTrue(result.detectMs().size() > 0, result::toString);
    if (fault == MembershipTrial.Fault.NONE
        || fault == MembershipTrial.Fault.ONE_WAY
        || fault == MembershipTrial.Fault.SLOW) {
      assertEquals(0, result.falseDeaths(), result::toString);
    }
  }

  @Test
  void sameSeedGivesTheSameResult() {
    assertEquals(
        MembershipTrial.run(16, MembershipTrial.Fault.ALL, 3).toString(),
        MembershipTrial.run(16, MembershipTrial.Fault.ALL, 3).toString());
  }

  @Test
  void publishedPayloadReachesAllMembersInItsNewestVersion() {
    MembershipCluster cluster = new MembershipCluster(40, 3, 1, 1_000_000, 400, 9);
    for (int i = 0; i < 40; i++) {
      cluster.start(i, 0);
    }
    cluster.advance(30_000_000);
    cluster.membership(7).publish(cluster.now(), 2, new byte[] {1});
    cluster.membership(7).publish(cluster.now(), 2, new byte[] {2});
    cluster.advance(30_000_000);
    for (int i = 0; i < 40; i++) {
      assertEquals(MemberState.ALIVE, i == 7 ? MemberState.ALIVE : cluster.stateSeenBy(i, 7));
      assertTrue(
          i == 7
              || (cluster.membership(i).payload("s7", 2).orElseThrow().bytes()[0] == 2
                  && cluster.membership(i).payload("s7", 2).orElseThrow().version() == 2));
    }
    cluster.kill(9);
    cluster.start(9, 0); // a member that joins later receives the payload as well
    cluster.advance(30_000_000);
    assertEquals(2, cluster.membership(9).payload("s7", 2).orElseThrow().bytes()[0]);
  }
}
