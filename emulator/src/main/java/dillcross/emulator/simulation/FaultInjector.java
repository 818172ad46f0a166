package dillcross.emulator.simulation;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.Fault.Kind;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Draws the faults of a run in advance, each from its own random stream, and starts and ends them
 * at their times.
 */
public final class FaultInjector {
  /**
   * Virtual time in µs after the end of a fault during which sidecars may still send attempts that
   * no endpoint observes, for instance because connecting hangs.
   */
  private static final long HIDDEN_ATTEMPTS_TAIL_US = 2_000_000;

  /**
   * Interval in µs at which a restart of a sidecar checks whether the earlier process has ended.
   */
  private static final long RESTART_POLL_US = 50_000;

  private final SimulationContext context;
  private final EmulatedEndpoints endpoints;
  private final DiscoveryService discovery;
  private final SidecarProcesses sidecars;
  private final List<EmulatedClients> clients;

  /**
   * Creates the injector of a run; {@code clients} has the clients of each sidecar by its index.
   */
  FaultInjector(
      SimulationContext context,
      EmulatedEndpoints endpoints,
      DiscoveryService discovery,
      SidecarProcesses sidecars,
      List<EmulatedClients> clients) {
    this.context = context;
    this.endpoints = endpoints;
    this.discovery = discovery;
    this.sidecars = sidecars;
    this.clients = clients;
  }

  /** Draws the faults of one run, in the scenario's order, from child streams of {@code random}. */
  public static List<Drawn> draw(Scenario scenario, RandomStream random) {
    List<Drawn> drawn = new ArrayList<>();
    for (Fault fault : scenario.faults()) {
      for (int i = 0; i < fault.count(); i++) {
        String id = fault.count() == 1 ? fault.id() : fault.id() + "." + i;
        drawn.add(draw(scenario, fault, id, random.named("trouble " + id)));
      }
    }
    return drawn;
  }

  private static Drawn draw(Scenario scenario, Fault fault, String id, RandomStream draws) {
    long atUs = fault.atMs().drawUs(draws);
    long durationUs = fault.forMs().drawUs(draws);
    double factor = fault.factor().draw(draws);
    String target =
        fault.target().equals("any") ? drawTarget(scenario, fault.kind(), draws) : fault.target();
    Fault single =
        new Fault(
            id,
            fault.kind(),
            fault.atMs(),
            fault.forMs(),
            target,
            fault.factor(),
            fault.share(),
            fault.mode(),
            1);
    return new Drawn(single, atUs, durationUs, target, factor);
  }

  private static String drawTarget(Scenario scenario, Kind kind, RandomStream draws) {
    return switch (kind.targetType()) {
      case ENDPOINT -> "e" + draws.between(0, scenario.endpoints().count() - 1);
      case SIDECAR, CLIENTS -> "s" + draws.between(0, scenario.sidecars().count() - 1);
      case ZONE -> draws.oneOf(scenario.endpoints().zones());
      default -> "all";
    };
  }

  /** Schedules a fault, whose start is relative to {@code firstArrivalUs}. */
  void schedule(Drawn drawn, long firstArrivalUs) {
    context.at(firstArrivalUs + drawn.atUs(), () -> begin(drawn));
  }

  private void begin(Drawn drawn) {
    Fault fault = drawn.from();
    context.note(
        "trouble",
        "id",
        fault.id(),
        "kind",
        fault.kind().word(),
        "target",
        drawn.target(),
        "for",
        drawn.forUs());
    long endUs = context.now() + drawn.forUs();
    if (hidesAttempts(fault.kind())) {
      context.oracle().attemptsHidden(context.now(), endUs + HIDDEN_ATTEMPTS_TAIL_US);
    }
    if (disturbsList(fault.kind())) {
      context.oracle().listDisturbed(context.now(), endUs);
    }
    switch (fault.kind().targetType()) {
      case ENDPOINT ->
          endpoints
              .matching(drawn.target())
              .forEach(endpoint -> beginAtEndpoint(endpoint, drawn, endUs));
      case ENDPOINTS -> deploy(drawn);
      case LIST -> beginAtDiscovery(drawn, endUs);
      case ZONE, NETWORK -> beginInNetwork(drawn, endUs);
      case SIDECAR ->
          sidecars
              .matching(drawn.target())
              .forEach(sidecar -> beginAtSidecar(sidecar, drawn, endUs));
      case CLIENTS -> beginAtClients(drawn, endUs);
    }
  }

  /**
   * Whether sidecars may send attempts that no endpoint observes during a fault of this kind, for
   * instance because connecting fails or hangs.
   */
  private static boolean hidesAttempts(Kind kind) {
    return switch (kind) {
      case VANISH,
          CUT,
          BLACKHOLE,
          DIE,
          DRAIN,
          DEPLOY,
          LAG,
          NARROW,
          TERM,
          KILL,
          RESETS,
          GARBLE,
          LIST_RENUMBER,
          LIST_STALE,
          RUDE,
          WAKE,
          RELOAD ->
          true;
      default -> false;
    };
  }

  /** Whether a sidecar may be unable to read the current list during a fault of this kind. */
  private static boolean disturbsList(Kind kind) {
    return switch (kind) {
      case CUT, LAG, STALL, LIST_OUT, LIST_STALE -> true;
      default -> false;
    };
  }

  /** Activates a fault now, and deactivates it at {@code endUs}. */
  private void during(long endUs, Consumer<Boolean> setActive) {
    setActive.accept(true);
    context.at(endUs, () -> setActive.accept(false));
  }

  /** Starts a fault now, and ends it at {@code endUs}. */
  private void during(long endUs, Runnable start, Runnable end) {
    start.run();
    context.at(endUs, end);
  }

  private void beginAtEndpoint(EmulatedEndpoint endpoint, Drawn drawn, long endUs) {
    Fault fault = drawn.from();
    double factor = drawn.factor();
    EndpointFaults faults = endpoint.faults();
    switch (fault.kind()) {
      case DIE -> during(endUs, () -> endpoints.kill(endpoint), () -> endpoints.restore(endpoint));
      case VANISH ->
          during(endUs, () -> endpoints.vanish(endpoint), () -> endpoints.restore(endpoint));
      case SILENCE -> during(endUs, faults::setSilent);
      case SLOW ->
          during(
              endUs,
              () -> faults.multiplySlowdown(factor),
              () -> faults.multiplySlowdown(1 / factor));
      case ERRORS -> during(endUs, active -> faults.setErrorShare(active ? fault.share() : 0));
      case GARBLE -> during(endUs, active -> faults.setMalformedShare(active ? fault.share() : 0));
      case RESETS -> beginResets(faults, fault, endUs);
      case PAUSE -> during(endUs, endpoint.cores()::setPaused);
      case NARROW ->
          during(
              endUs, active -> faults.setMaxConnections(active ? (int) factor : Integer.MAX_VALUE));
      case BLACKHOLE -> during(endUs, active -> endpoint.setReachable(!active));
      case DRAIN -> endpoints.replace(endpoint);
      default -> throw new IllegalStateException("unexpected fault: " + fault.kind().word());
    }
  }

  private void beginResets(EndpointFaults faults, Fault fault, long endUs) {
    EndpointFaults.ResetMoment moment = EndpointFaults.ResetMoment.of(fault.mode());
    during(endUs, active -> faults.setResets(moment, active ? fault.share() : 0));
  }

  private void deploy(Drawn drawn) {
    for (int i = 0; i < endpoints.count(); i++) {
      int place = i;
      long delayUs = drawn.forUs() * i / endpoints.count();
      context.after(delayUs, () -> endpoints.replace(endpoints.at(place)));
    }
  }

  private void beginAtDiscovery(Drawn drawn, long endUs) {
    Fault fault = drawn.from();
    double factor = drawn.factor();
    switch (fault.kind()) {
      case LIST_OUT -> {
        DiscoveryService.Outage outage = DiscoveryService.Outage.of(fault.mode());
        during(endUs, active -> discovery.setOutage(outage, active));
      }
      case LIST_SLOW ->
          during(endUs, () -> discovery.addDelay(factor), () -> discovery.addDelay(-factor));
      case LIST_STALE -> during(endUs, discovery::setStale);
      case LIST_RENUMBER -> discovery.renumber();
      default -> throw new IllegalStateException("unexpected fault: " + fault.kind().word());
    }
  }

  private void beginInNetwork(Drawn drawn, long endUs) {
    String zone = drawn.target();
    Set<String> otherZones = new LinkedHashSet<>(context.scenario().endpoints().zones());
    otherZones.addAll(context.scenario().sidecars().zones());
    otherZones.remove(zone);
    switch (drawn.from().kind()) {
      case CUT ->
          during(
              endUs,
              active ->
                  otherZones.forEach(other -> context.network().partition(zone, other, active)));
      case LAG -> {
        long lagUs = TimeUnits.toMicros(drawn.factor());
        during(
            endUs,
            () -> otherZones.forEach(other -> context.network().addLag(zone, other, lagUs)),
            () -> otherZones.forEach(other -> context.network().addLag(zone, other, -lagUs)));
      }
      case PIECES -> {
        int maxSegmentBytes = (int) Math.max(1, drawn.factor());
        during(
            endUs,
            active ->
                context.network().setMaxSegmentBytes(active ? maxSegmentBytes : Integer.MAX_VALUE));
      }
      default -> throw new IllegalStateException("unexpected fault: " + drawn.from().kind().word());
    }
  }

  private void beginAtSidecar(SidecarProcess sidecar, Drawn drawn, long endUs) {
    switch (drawn.from().kind()) {
      case STALL -> sidecar.stall(drawn.forUs());
      case RELOAD -> sidecar.reload();
      case DOOR -> during(endUs, active -> sidecar.callAdmin(active ? "/-/drain" : "/-/resume"));
      case KILL -> during(endUs, sidecar::kill, sidecar::boot);
      case TERM -> during(endUs, sidecar::terminate, () -> bootOnceEnded(sidecar));
      default -> throw new IllegalStateException("unexpected fault: " + drawn.from().kind().word());
    }
  }

  private void bootOnceEnded(SidecarProcess sidecar) {
    if (sidecar.isRunning()) {
      context.after(RESTART_POLL_US, () -> bootOnceEnded(sidecar));
    } else {
      sidecar.boot();
    }
  }

  private void beginAtClients(Drawn drawn, long endUs) {
    RandomStream draws = context.random().named("strikes " + drawn.from().id());
    for (SidecarProcess sidecar : sidecars.matching(drawn.target())) {
      beginAtClients(clients.get(sidecar.index()), drawn, endUs, draws);
    }
  }

  private void beginAtClients(
      EmulatedClients affected, Drawn drawn, long endUs, RandomStream draws) {
    Fault fault = drawn.from();
    double factor = drawn.factor();
    switch (fault.kind()) {
      case BURST ->
          during(
              endUs, () -> affected.multiplyRate(factor), () -> affected.multiplyRate(1 / factor));
      case WAKE -> affected.wakeReserved((int) factor, drawn.forUs(), draws);
      case RUDE -> affected.startInvalid((int) factor, drawn.forUs(), draws);
      case LEAVE -> during(endUs, active -> affected.setLeaveShare(fault.share(), active));
      default -> throw new IllegalStateException("unexpected fault: " + fault.kind().word());
    }
  }
}
