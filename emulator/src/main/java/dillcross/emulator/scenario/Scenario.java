package dillcross.emulator.scenario;

import java.util.List;
import java.util.Map;

/** A day as a file words it: the parts of the world and what goes wrong. */
public record Scenario(
    String name,
    double seconds,
    Fleet sidecars,
    Map<String, String> told,
    List<Kind> categories,
    Clients clients,
    Endpoints endpoints,
    Directory list,
    Net network,
    Rules rules,
    List<Trouble> troubles) {

  /** The sidecars; those with the same index modulo the zones share a zone. */
  public record Fleet(
      int count,
      List<String> zones,
      long turnUs,
      Range startMs,
      int descriptors,
      int memoryMb,
      int calls) {}

  /** One category, as the sidecars are told it and as endpoints carry it out. */
  public record Kind(
      String name,
      String effect,
      String scope,
      double windowMs,
      double targetMs,
      double ttlMs,
      double benefit,
      double share,
      double workMs,
      double spread,
      int bodyBytes,
      int answerBytes) {}

  /** The clients of each sidecar. */
  public record Clients(
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

  public record Directory(Range delayMs, double tellMs) {}

  public record Net(double nearUs, double farUs, double jitterUs) {}

  /** What the oracle allows beside the rules themselves. */
  public record Rules(double answerSlackMs, double drainSlackMs, double coldSlack) {}
}
