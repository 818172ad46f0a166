package dillcross.emulator.world;

import dillcross.emulator.chance.Chance;
import dillcross.emulator.scenario.Trouble;
import dillcross.emulator.scenario.Trouble.Drawn;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What goes wrong in a day: drawn ahead, each from a stream of its own, then let loose when its
 * time comes.
 */
public final class Troubles {
  private final World world;
  private final Servers servers;
  private final Directory list;
  private final Instances sidecars;
  private final List<Clients> clients;

  Troubles(
      World world, Servers servers, Directory list, Instances sidecars, List<Clients> clients) {
    this.world = world;
    this.servers = servers;
    this.list = list;
    this.sidecars = sidecars;
    this.clients = clients;
  }

  /** The troubles of one day, in the order of the scenario; {@code chance} is the day's. */
  public static List<Drawn> draw(dillcross.emulator.scenario.Scenario scenario, Chance chance) {
    List<Drawn> drawn = new ArrayList<>();
    for (Trouble trouble : scenario.troubles()) {
      for (int i = 0; i < trouble.count(); i++) {
        String id = trouble.count() == 1 ? trouble.id() : trouble.id() + "." + i;
        Chance own = chance.named("trouble " + id);
        long atUs = trouble.atMs().drawUs(own);
        long forUs = trouble.forMs().drawUs(own);
        double factor = trouble.factor().draw(own);
        String target = trouble.target();
        if (target.equals("any")) {
          target =
              switch (trouble.kind().on) {
                case ENDPOINT -> "e" + own.between(0, scenario.endpoints().count() - 1);
                case SIDECAR, CLIENTS -> "s" + own.between(0, scenario.sidecars().count() - 1);
                case ZONE -> own.oneOf(scenario.endpoints().zones());
                default -> "all";
              };
        }
        Trouble fixed =
            new Trouble(
                id,
                trouble.kind(),
                trouble.atMs(),
                trouble.forMs(),
                target,
                trouble.factor(),
                trouble.share(),
                trouble.mode(),
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
    Trouble is = drawn.from();
    world
        .trace()
        .note(
            "trouble",
            "id",
            is.id(),
            "kind",
            is.kind().word(),
            "target",
            drawn.target(),
            "for",
            drawn.forUs());
    Chance own = world.chance().named("strikes " + is.id());
    long endUs = world.now() + drawn.forUs();
    switch (is.kind()) {
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
    switch (is.kind()) {
      case CUT, LAG, STALL, LIST_OUT, LIST_STALE -> world.oracle().deaf(world.now(), endUs);
      default -> {}
    }
    switch (is.kind().on) {
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
    Trouble is = drawn.from();
    double factor = drawn.factor();
    for (Server s : servers.named(drawn.target())) {
      Server.Ills ills = s.ills;
      switch (is.kind()) {
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
        case SILENCE -> span(endUs, now -> ills.silent += now ? 1 : -1);
        case SLOW -> span(endUs, now -> ills.slow *= now ? factor : 1 / factor);
        case ERRORS -> span(endUs, now -> ills.errors = now ? is.share() : 0);
        case GARBLE -> span(endUs, now -> ills.garbled = now ? is.share() : 0);
        case RESETS ->
            span(
                endUs,
                now -> {
                  ills.resetsWhen = is.mode();
                  ills.resets = now ? is.share() : 0;
                });
        case PAUSE -> span(endUs, s::pause);
        case NARROW ->
            span(endUs, now -> ills.connections = now ? (int) factor : Integer.MAX_VALUE);
        case BLACKHOLE -> span(endUs, now -> s.listens(!now));
        case DRAIN -> servers.replace(s);
        default -> throw new IllegalStateException(is.kind().word());
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
    Trouble is = drawn.from();
    switch (is.kind()) {
      case LIST_OUT ->
          span(
              endUs,
              now ->
                  list.out(
                      is.mode().equals("silent") || is.mode().equals("error")
                          ? is.mode()
                          : "refuse",
                      now));
      case LIST_SLOW -> span(endUs, now -> list.slow(now ? drawn.factor() : -drawn.factor()));
      case LIST_STALE -> span(endUs, list::stale);
      case LIST_RENUMBER -> list.renumber();
      default -> throw new IllegalStateException(is.kind().word());
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
    for (Instance s : sidecars.named(drawn.target())) {
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
  private void again(Instance s) {
    if (s.running()) {
      world.time().after(50_000, () -> again(s));
    } else {
      s.boot();
    }
  }

  private void clients(Drawn drawn, long endUs, Chance own) {
    for (Instance s : sidecars.named(drawn.target())) {
      Clients of = clients.get(s.index);
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
