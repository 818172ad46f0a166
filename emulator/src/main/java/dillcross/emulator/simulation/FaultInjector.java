package dillcross.emulator.simulation;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What goes wrong in a day: drawn ahead, each from a stream of its own, then let loose when its
 * time comes.
 */
public final class FaultInjector {
  private final SimulationContext world;
  private final EmulatedEndpoints servers;
  private final DiscoveryService list;
  private final SidecarProcesses sidecars;
  private final List<EmulatedClients> clients;

  FaultInjector(
      SimulationContext world,
      EmulatedEndpoints servers,
      DiscoveryService list,
      SidecarProcesses sidecars,
      List<EmulatedClients> clients) {
    this.world = world;
    this.servers = servers;
    this.list = list;
    this.sidecars = sidecars;
    this.clients = clients;
  }

  /** The troubles of one day, in the order of the scenario; {@code chance} is the day's. */
  public static List<Drawn> draw(
      dillcross.emulator.scenario.Scenario scenario, RandomStream random) {
    List<Drawn> drawn = new ArrayList<>();
    for (Fault fault : scenario.faults()) {
      for (int i = 0; i < fault.count(); i++) {
        String id = fault.count() == 1 ? fault.id() : fault.id() + "." + i;
        RandomStream own = random.named("trouble " + id);
        long atUs = fault.atMs().drawUs(own);
        long forUs = fault.forMs().drawUs(own);
        double factor = fault.factor().draw(own);
        String target = fault.target();
        if (target.equals("any")) {
          target =
              switch (fault.kind().on) {
                case ENDPOINT -> "e" + own.between(0, scenario.endpoints().count() - 1);
                case SIDECAR, CLIENTS -> "s" + own.between(0, scenario.sidecars().count() - 1);
                case ZONE -> own.oneOf(scenario.endpoints().zones());
                default -> "all";
              };
        }
        Fault fixed =
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
        drawn.add(new Drawn(fixed, atUs, forUs, target, factor));
      }
    }
    return drawn;
  }

  /** Arranges one; times count from the first arrival. */
  void arrange(Drawn drawn, long firstUs) {
    world.time().at(firstUs + drawn.atUs(), () -> begin(drawn));
  }

  private void begin(Drawn drawn) {
    Fault fault = drawn.from();
    world
        .trace()
        .note(
            "trouble",
            "id",
            fault.id(),
            "kind",
            fault.kind().word(),
            "target",
            drawn.target(),
            "for",
            drawn.forUs());
    RandomStream own = world.random().named("strikes " + fault.id());
    long endUs = world.now() + drawn.forUs();
    switch (fault.kind()) {
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
          world.oracle().unseen(world.now(), endUs + 2_000_000);
      default -> {}
    }
    switch (fault.kind()) {
      case CUT, LAG, STALL, LIST_OUT, LIST_STALE -> world.oracle().deaf(world.now(), endUs);
      default -> {}
    }
    switch (fault.kind().on) {
      case ENDPOINT -> endpoints(drawn, endUs);
      case ENDPOINTS -> deploy(drawn);
      case LIST -> list(drawn, endUs);
      case ZONE, NETWORK -> network(drawn, endUs);
      case SIDECAR -> sidecars(drawn, endUs);
      case CLIENTS -> clients(drawn, endUs, own);
    }
  }

  /** What begins now ends at that time. */
  private void span(long endUs, Consumer<Boolean> does) {
    does.accept(true);
    world.time().at(endUs, () -> does.accept(false));
  }

  private void endpoints(Drawn drawn, long endUs) {
    Fault fault = drawn.from();
    double factor = drawn.factor();
    for (EmulatedEndpoint s : servers.named(drawn.target())) {
      EmulatedEndpoint.Faults faults = s.faults;
      switch (fault.kind()) {
        case DIE ->
            span(
                endUs,
                now -> {
                  if (now) {
                    servers.die(s);
                  } else {
                    servers.back(s);
                  }
                });
        case VANISH ->
            span(
                endUs,
                now -> {
                  if (now) {
                    servers.vanish(s);
                  } else {
                    servers.back(s);
                  }
                });
        case SILENCE -> span(endUs, now -> faults.silent += now ? 1 : -1);
        case SLOW -> span(endUs, now -> faults.slow *= now ? factor : 1 / factor);
        case ERRORS -> span(endUs, now -> faults.errors = now ? fault.share() : 0);
        case GARBLE -> span(endUs, now -> faults.garbled = now ? fault.share() : 0);
        case RESETS ->
            span(
                endUs,
                now -> {
                  faults.resetsWhen = fault.mode();
                  faults.resets = now ? fault.share() : 0;
                });
        case PAUSE -> span(endUs, s::pause);
        case NARROW ->
            span(endUs, now -> faults.connections = now ? (int) factor : Integer.MAX_VALUE);
        case BLACKHOLE -> span(endUs, now -> s.listens(!now));
        case DRAIN -> servers.replace(s);
        default -> throw new IllegalStateException(fault.kind().word());
      }
    }
  }

  private void deploy(Drawn drawn) {
    for (int i = 0; i < servers.count(); i++) {
      int place = i;
      world
          .time()
          .after(drawn.forUs() * i / servers.count(), () -> servers.replace(servers.at(place)));
    }
  }

  private void list(Drawn drawn, long endUs) {
    Fault fault = drawn.from();
    switch (fault.kind()) {
      case LIST_OUT ->
          span(
              endUs,
              now ->
                  list.out(
                      fault.mode().equals("silent") || fault.mode().equals("error")
                          ? fault.mode()
                          : "refuse",
                      now));
      case LIST_SLOW -> span(endUs, now -> list.slow(now ? drawn.factor() : -drawn.factor()));
      case LIST_STALE -> span(endUs, list::stale);
      case LIST_RENUMBER -> list.renumber();
      default -> throw new IllegalStateException(fault.kind().word());
    }
  }

  private void network(Drawn drawn, long endUs) {
    Set<String> others = new LinkedHashSet<>(world.scenario().endpoints().zones());
    others.addAll(world.scenario().sidecars().zones());
    others.remove(drawn.target());
    switch (drawn.from().kind()) {
      case CUT ->
          span(endUs, now -> others.forEach(zone -> world.fabric().cut(drawn.target(), zone, now)));
      case LAG -> {
        long us = Math.round(drawn.factor() * 1000);
        span(
            endUs,
            now ->
                others.forEach(zone -> world.fabric().lag(drawn.target(), zone, now ? us : -us)));
      }
      case PIECES ->
          span(
              endUs,
              now ->
                  world
                      .fabric()
                      .pieces(now ? (int) Math.max(1, drawn.factor()) : Integer.MAX_VALUE));
      default -> throw new IllegalStateException(drawn.from().kind().word());
    }
  }

  private void sidecars(Drawn drawn, long endUs) {
    for (SidecarProcess s : sidecars.named(drawn.target())) {
      switch (drawn.from().kind()) {
        case STALL -> s.stall(drawn.forUs());
        case RELOAD -> s.reload();
        case DOOR -> span(endUs, now -> s.callAdmin(now ? "/-/drain" : "/-/resume"));
        case KILL -> {
          s.kill();
          world.time().at(endUs, s::boot);
        }
        case TERM -> {
          s.term();
          world.time().at(endUs, () -> again(s));
        }
        default -> throw new IllegalStateException(drawn.from().kind().word());
      }
    }
  }

  /** A new process begins when the old one has gone. */
  private void again(SidecarProcess s) {
    if (s.running()) {
      world.time().after(50_000, () -> again(s));
    } else {
      s.boot();
    }
  }

  private void clients(Drawn drawn, long endUs, RandomStream own) {
    for (SidecarProcess s : sidecars.named(drawn.target())) {
      EmulatedClients of = clients.get(s.index);
      switch (drawn.from().kind()) {
        case BURST -> span(endUs, now -> of.times(now ? drawn.factor() : 1 / drawn.factor()));
        case WAKE -> of.wake((int) drawn.factor(), drawn.forUs(), own);
        case RUDE -> of.rude((int) drawn.factor(), drawn.forUs(), own);
        case LEAVE -> span(endUs, now -> of.leaves(drawn.from().share(), now));
        default -> throw new IllegalStateException(drawn.from().kind().word());
      }
    }
  }
}
