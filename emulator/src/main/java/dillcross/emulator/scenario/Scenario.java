package dillcross.emulator.scenario;

import java.util.List;
import java.util.Map;

/** A day as a file words it: the parts of the world and what goes wrong. */
public record Scenario(
    String name,
    double seconds,
    SidecarGroup sidecars,
    Map<String, String> sidecarSettings,
    List<RequestClass> requestClasses,
    ClientSettings clients,
    EndpointSettings endpoints,
    DiscoverySettings list,
    NetworkSettings network,
    Rules rules,
    List<Fault> faults) {

  /** The sidecars; those with the same index modulo the zones share a zone. */
  public record SidecarGroup(
      int count,
      List<String> zones,
      long turnUs,
      Range startMs,
      int descriptors,
      int memoryMb,
      int calls) {}

  /** One request class, as the sidecars are told it and as endpoints carry it out. */
  public record RequestClass(
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
  public record ClientSettings(
      double perS,
      String retry,
      int retries,
      double leaveShare,
      Range leaveMs,
      double pieceShare,
      double closeShare,
      int resting,
      double patienceMs) {}

  public record EndpointSettings(
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

  public record DiscoverySettings(Range delayMs, double tellMs) {}

  public record NetworkSettings(double nearUs, double farUs, double jitterUs) {}

  /** What the oracle allows beside the rules themselves. */
  public record Rules(double answerSlackMs, double drainSlackMs, double slowStartSlack) {}
}
