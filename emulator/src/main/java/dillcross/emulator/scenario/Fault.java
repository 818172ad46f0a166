package dillcross.emulator.scenario;

/**
 * What goes wrong in a day, as a scenario words it. Times are milliseconds from the first arrival.
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
  /** What a trouble can be, and what it strikes. */
  public enum Kind {
    /** The endpoint's process dies and comes back warming up after a while. */
    DIE(On.ENDPOINT),
    /** The endpoint's machine says nothing, and is back warming up after a while. */
    VANISH(On.ENDPOINT),
    /** The endpoint takes requests and answers none. */
    SILENCE(On.ENDPOINT),
    /** It takes {@code factor} times as long. */
    SLOW(On.ENDPOINT),
    /** It answers a share with an error. */
    ERRORS(On.ENDPOINT),
    /** It stands still and goes on. */
    PAUSE(On.ENDPOINT),
    /** It is told to drain, leaves after its grace, and another takes its place. */
    DRAIN(On.ENDPOINT),
    /** All endpoints are replaced so, one after another within the time. */
    DEPLOY(On.ENDPOINTS),
    /** It resets a share of its connections; {@code mode}: before, after or answer. */
    RESETS(On.ENDPOINT),
    /** A share of its answers can't be read. */
    GARBLE(On.ENDPOINT),
    /** It takes no more connections than {@code factor}. */
    NARROW(On.ENDPOINT),
    /** Connects to it never come up. */
    BLACKHOLE(On.ENDPOINT),
    /** The list can't be had; {@code mode}: refuse, silent or error. */
    LIST_OUT(On.LIST),
    /** The list takes {@code factor} milliseconds more. */
    LIST_SLOW(On.LIST),
    /** The list tells what it knew when this began. */
    LIST_STALE(On.LIST),
    /** The list begins its numbers anew. */
    LIST_RENUMBER(On.LIST),
    /** A zone hears nothing of the others. */
    CUT(On.ZONE),
    /** {@code factor} milliseconds more between a zone and the others. */
    LAG(On.ZONE),
    /** What is sent comes in pieces of {@code factor} bytes at the most. */
    PIECES(On.NETWORK),
    /** A sidecar is told to stop and started again after a while. */
    TERM(On.SIDECAR),
    /** A sidecar's process is killed and started again after a while. */
    KILL(On.SIDECAR),
    /** A sidecar's process stands still. */
    STALL(On.SIDECAR),
    /** A sidecar is told to drain at its admin endpoint, and to resume after a while. */
    DOOR(On.SIDECAR),
    /**
     * A sidecar's configuration is read again, and the list is at its other address from then on.
     */
    RELOAD(On.SIDECAR),
    /** Clients ask {@code factor} times as often. */
    BURST(On.CLIENTS),
    /** {@code factor} connections of a sidecar that rested ask within the time. */
    WAKE(On.CLIENTS),
    /** {@code factor} clients that send what is no request, half of one, or nothing. */
    RUDE(On.CLIENTS),
    /** A share of the clients leaves before its answer. */
    LEAVE(On.CLIENTS);

    public final On on;

    Kind(On on) {
      this.on = on;
    }

    public String word() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /** What a trouble strikes, and so what its target may name. */
  public enum On {
    ENDPOINT,
    ENDPOINTS,
    LIST,
    ZONE,
    NETWORK,
    SIDECAR,
    CLIENTS
  }

  /** One that was drawn: when, for how long and whom it strikes. */
  public record Drawn(Fault from, long atUs, long forUs, String target, double factor) {}
}
