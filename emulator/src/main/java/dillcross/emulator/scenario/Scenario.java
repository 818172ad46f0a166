package dillcross.emulator.scenario;

import java.util.List;
import java.util.Map;

/**
 * The content of a scenario file: the simulated components and the faults.
 *
 * @param name name of the scenario
 * @param seconds time in seconds in which requests arrive
 * @param sidecars the sidecars
 * @param sidecarSettings configuration values of the sidecars by path
 * @param requestClasses the request classes, at least one
 * @param clients the clients of each sidecar
 * @param endpoints the endpoints
 * @param discovery the discovery service
 * @param network delays of the network
 * @param rules tolerances of the oracle
 * @param faults the faults, in the order of the file
 */
public record Scenario(
    String name,
    double seconds,
    SidecarGroup sidecars,
    Map<String, String> sidecarSettings,
    List<RequestClass> requestClasses,
    ClientSettings clients,
    EndpointSettings endpoints,
    DiscoverySettings discovery,
    NetworkSettings network,
    Rules rules,
    List<Fault> faults) {

  /**
   * The sidecars, distributed over the zones in turn by index.
   *
   * @param count number of sidecars
   * @param zones names of the zones
   * @param iterationUs duration of an event loop iteration in µs
   * @param startMs start-up time in milliseconds
   * @param descriptors limit on file descriptors
   * @param memoryMb memory limit in MiB
   * @param warmUpRequests number of warm-up requests that a sidecar sends to itself
   */
  public record SidecarGroup(
      int count,
      List<String> zones,
      long iterationUs,
      Range startMs,
      int descriptors,
      int memoryMb,
      int warmUpRequests) {}

  /**
   * One request class, as configured in the sidecars and executed by the endpoints.
   *
   * @param name name of the class
   * @param effect idempotent, deduplicated or at_most_once
   * @param scope deduplication scope: all, zone or cell
   * @param windowMs deduplication window in milliseconds
   * @param targetMs latency objective in milliseconds
   * @param timeoutMs timeout of a request in milliseconds
   * @param priorityWeight weight of a request that is answered in time, in the sums that measure a
   *     run's benefit
   * @param share share of the arrivals, relative to the other classes
   * @param workMs mean processing time in milliseconds on a core of nominal speed
   * @param spread standard deviation of the logarithm of the processing time
   * @param bodyBytes size of the request body in bytes
   * @param answerBytes size of the response body in bytes
   */
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

  /**
   * The clients of each sidecar.
   *
   * @param requestsPerSecond mean rate of arrivals at one sidecar
   * @param retry whether and when clients retry a rejected request: none, at_once, or after (once
   *     the time in the Retry-After field of the rejection has passed)
   * @param retries maximum number of retries of a request
   * @param leaveShare share of requests whose client disconnects early
   * @param leaveMs time in milliseconds until such a client disconnects
   * @param pieceShare share of requests sent in several parts
   * @param closeShare share of requests after which the connection closes
   * @param idleConnections number of connections kept idle until the fault {@code wake}
   * @param extraWaitMs time in milliseconds that clients wait beyond the timeout of a request
   */
  public record ClientSettings(
      double requestsPerSecond,
      String retry,
      int retries,
      double leaveShare,
      Range leaveMs,
      double pieceShare,
      double closeShare,
      int idleConnections,
      double extraWaitMs) {}

  /**
   * The endpoints.
   *
   * @param count number of endpoints
   * @param zones names of the zones
   * @param cells number of cells
   * @param cores processor cores of each endpoint
   * @param queue maximum number of queued requests
   * @param connections maximum number of connections
   * @param idleMs time in milliseconds after which an idle connection closes
   * @param overloadThreshold number of requests in flight above which an endpoint slows down
   * @param overloadSlowdown share, divided by {@code cores}, by which each request above {@code
   *     overloadThreshold} increases the processing time
   * @param speed speed relative to a nominal endpoint, drawn for each endpoint
   * @param graceMs grace period of a drain in milliseconds
   * @param reportShare share of responses that carry a load report
   * @param chunks whether responses are chunked
   */
  public record EndpointSettings(
      int count,
      List<String> zones,
      int cells,
      double cores,
      int queue,
      int connections,
      double idleMs,
      double overloadThreshold,
      double overloadSlowdown,
      Range speed,
      double graceMs,
      double reportShare,
      boolean chunks) {}

  /**
   * The discovery service.
   *
   * @param delayMs response delay in milliseconds
   * @param notificationDelayMs time in milliseconds until watches are notified of a change of the
   *     endpoints
   */
  public record DiscoverySettings(Range delayMs, double notificationDelayMs) {}

  /**
   * Network delays.
   *
   * @param sameZoneDelayUs one-way delay within a zone in µs
   * @param otherZoneDelayUs one-way delay between zones in µs
   * @param jitterUs random additional delay in µs
   */
  public record NetworkSettings(double sameZoneDelayUs, double otherZoneDelayUs, double jitterUs) {}

  /**
   * Tolerances of the oracle.
   *
   * @param answerSlackMs time in milliseconds allowed after the deadline of a request
   * @param drainSlackMs time in milliseconds allowed for attempts to a draining endpoint
   * @param slowStartSlack factor on the amount of work that sidecars may send to an endpoint in
   *     slow start before the oracle reports a violation
   */
  public record Rules(double answerSlackMs, double drainSlackMs, double slowStartSlack) {}
}
