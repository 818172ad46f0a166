package dillcross.emulator.scenario;

import java.util.List;
import java.util.Map;

/** A day as a file words it: the parts of the world and what goes wrong. */
public record Scenario(
    String name,
    double seconds,
    Fleet sidecars,
    Map<String, String> notified,
    List<Kind> requestClasses,
    EmulatedClients clients,
    Endpoints endpoints,
    DiscoveryService list,
    Net network,
    Rules rules,
    List<Fault> faults) {

  /** The sidecars; those with the same index modulo the zones share a zone. */
  public record Fleet(
      int count,
      List<String> zones,
      long turnUs,
      Range startMs,
      int descriptors,
      int memoryMb,
      int calls) {}

  /** One request class, as the sidecars are told it and as endpoints carry it out. */
  public record Kind(
      String name,
      String effect,
      String scope,
      double windowMs,
      double targetMs,
      double timeoutMs,
      double priorityWeight,
      double share,
      double workMs,
      double spread,
      int bodyBytes,
      int answerBytes) {}

  /** The clients of each sidecar. */
  public record EmulatedClients(
      double perS,
      String retry,
      int retries,
      double leaveShare,
      Range leaveMs,
      double pieceShare,
      double closeShare,
      int resting,
      double patienceMs) {}

  public record Endpoints(
      int count,
      List<String> zones,
      int cells,
      double cores,
      int queue,
      int connections,
      double idleMs,
      double chokeAbove,
      double choke,
      Range speed,
      double graceMs,
      double reportShare,
      boolean chunks) {}

  public record DiscoveryService(Range delayMs, double tellMs) {}

  public record Net(double nearUs, double farUs, double jitterUs) {}

  /** What the oracle allows beside the rules themselves. */
  public record Rules(double answerSlackMs, double drainSlackMs, double slowStartSlack) {}
}
