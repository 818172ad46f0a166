package dillcross.emulator.scenario;

import java.util.Locale;

/**
 * A fault of a scenario, from which each run draws {@code count} instances.
 *
 * @param id identifier, from which the random stream of the fault is derived
 * @param kind what happens
 * @param atMs start in milliseconds after the first arrival
 * @param forMs duration in milliseconds
 * @param target name of the affected endpoint, sidecar or zone; {@code any} draws one
 * @param factor a factor, count or time, depending on the kind
 * @param share affected share of requests or connections, from 0 to 1
 * @param mode variant of the kind
 * @param count number of instances in each run
 */
public record Fault(
    String id,
    Kind kind,
    Range atMs,
    Range forMs,
    String target,
    Range factor,
    double share,
    String mode,
    int count) {
  /** The kinds of faults. */
  public enum Kind {
    /** The endpoint's process terminates; it restarts in slow start. */
    DIE(TargetType.ENDPOINT),
    /** The endpoint's machine stops responding; it restarts in slow start. */
    VANISH(TargetType.ENDPOINT),
    /** The endpoint accepts requests and never responds. */
    SILENCE(TargetType.ENDPOINT),
    /** The endpoint takes {@code factor} times as long. */
    SLOW(TargetType.ENDPOINT),
    /** The endpoint responds with an error to a share of its requests. */
    ERRORS(TargetType.ENDPOINT),
    /** The endpoint is suspended and then continues. */
    PAUSE(TargetType.ENDPOINT),
    /** The endpoint drains, stops after its grace period and is replaced. */
    DRAIN(TargetType.ENDPOINT),
    /** All endpoints are drained and replaced, one after another within the duration. */
    DEPLOY(TargetType.ENDPOINTS),
    /**
     * The endpoint resets a share of its connections. By {@code mode}, that is before or after the
     * request is executed, or within the response ({@code answer}).
     */
    RESETS(TargetType.ENDPOINT),
    /** A share of the endpoint's responses is malformed. */
    GARBLE(TargetType.ENDPOINT),
    /** The endpoint accepts at most {@code factor} connections. */
    NARROW(TargetType.ENDPOINT),
    /** Connection attempts to the endpoint never complete. */
    BLACKHOLE(TargetType.ENDPOINT),
    /** The discovery service is unavailable; {@code mode} is refuse, silent or error. */
    LIST_OUT(TargetType.LIST),
    /** The discovery service responds {@code factor} milliseconds later. */
    LIST_SLOW(TargetType.LIST),
    /** The discovery service returns the endpoints as they were when the fault began. */
    LIST_STALE(TargetType.LIST),
    /** The discovery service restarts its version numbers. */
    LIST_RENUMBER(TargetType.LIST),
    /** A zone is partitioned from the others. */
    CUT(TargetType.ZONE),
    /** Adds {@code factor} milliseconds of delay between a zone and the others. */
    LAG(TargetType.ZONE),
    /** Data arrives in segments of at most {@code factor} bytes. */
    PIECES(TargetType.NETWORK),
    /** A sidecar receives SIGTERM and is restarted later. */
    TERM(TargetType.SIDECAR),
    /** A sidecar's process is killed and restarted later. */
    KILL(TargetType.SIDECAR),
    /** A sidecar's process is suspended. */
    STALL(TargetType.SIDECAR),
    /** A sidecar is drained through its admin endpoint and resumed later. */
    DOOR(TargetType.SIDECAR),
    /**
     * A sidecar reloads its configuration, which now names the other one of the discovery service's
     * two addresses.
     */
    RELOAD(TargetType.SIDECAR),
    /** Clients send {@code factor} times as many requests. */
    BURST(TargetType.CLIENTS),
    /** {@code factor} idle connections of a sidecar send a request within the duration. */
    WAKE(TargetType.CLIENTS),
    /** {@code factor} clients send invalid data, half a request, or nothing. */
    RUDE(TargetType.CLIENTS),
    /** A share of the clients disconnects before the response. */
    LEAVE(TargetType.CLIENTS);

    private final TargetType targetType;

    Kind(TargetType targetType) {
      this.targetType = targetType;
    }

    /** What this kind of fault affects. */
    public TargetType targetType() {
      return targetType;
    }

    /** The name in scenario files. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** What a fault affects, which determines the targets it accepts. */
  public enum TargetType {
    ENDPOINT,
    ENDPOINTS,
    LIST,
    ZONE,
    NETWORK,
    SIDECAR,
    CLIENTS
  }

  /**
   * A fault as drawn for one run.
   *
   * @param from the fault of the scenario that this was drawn from
   * @param atUs start in µs after the first arrival
   * @param forUs duration in µs
   * @param target the affected endpoint, sidecar or zone
   * @param factor see {@link Kind}
   */
  public record Drawn(Fault from, long atUs, long forUs, String target, double factor) {}
}
