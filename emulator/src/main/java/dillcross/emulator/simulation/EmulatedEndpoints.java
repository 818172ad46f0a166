package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All endpoints, those that took the place of others among them, and the groups that recognise
 * repeats.
 */
final class EmulatedEndpoints {
  private final SimulationContext world;
  private final List<EmulatedEndpoint> places = new ArrayList<>(); // who is there now, by place
  private final List<Integer> generations = new ArrayList<>();
  private final Map<String, DeduplicationMemory> groups = new HashMap<>();
  private final DiscoveryService list;
  private SidecarProcesses sidecars;

  EmulatedEndpoints(SimulationContext world, DiscoveryService list) {
    this.world = world;
    this.list = list;
    for (int i = 0; i < world.scenario().endpoints().count(); i++) {
      generations.add(0);
      places.add(make(i));
      places.get(i).start(0);
      list.put(places.get(i), "in_service", 0);
    }
  }

  void sidecars(SidecarProcesses all) {
    sidecars = all;
  }

  private EmulatedEndpoint make(int place) {
    Scenario.EndpointSettings settings = world.scenario().endpoints();
    int generation = generations.get(place);
    String id = "e" + place + (generation == 0 ? "" : "." + generation);
    String address =
        "127." + (20 + generation % 200) + "." + place / 250 + "." + (1 + place % 250) + ":9000";
    return new EmulatedEndpoint(
        world,
        this,
        id,
        settings.zones().get(place % settings.zones().size()),
        place % settings.cells(),
        address);
  }

  int count() {
    return places.size();
  }

  EmulatedEndpoint at(int place) {
    return places.get(place);
  }

  /** Those that a trouble's target names. */
  List<EmulatedEndpoint> named(String target) {
    return places.stream()
        .filter(
            s ->
                target.equals("all")
                    || target.equals("zone " + s.zone)
                    || target.equals(s.id)
                    || s.id.startsWith(target + "."))
        .toList();
  }

  /** The name of the process that runs on a sidecar's machine. */
  String process(VirtualMachine host) {
    return sidecars.process(host);
  }

  /** Every sidecar that runs has been told that it began anew then. */
  boolean allKnow(String id, long startedMs) {
    return sidecars.processes().stream().allMatch(p -> world.oracle().knowsStart(p, id, startedMs));
  }

  DeduplicationMemory group(Scenario.RequestClass requestClass, EmulatedEndpoint server) {
    String name =
        requestClass.name()
            + switch (requestClass.scope()) {
              case "all" -> "";
              case "zone" -> "/zone " + server.zone;
              default -> "/cell " + server.cell;
            };
    return groups.computeIfAbsent(name, n -> new DeduplicationMemory());
  }

  // ---- What happens to them

  void die(EmulatedEndpoint server) {
    if (server.up()) {
      world.trace().note("die", "endpoint", server.id);
      server.die();
    }
  }

  void vanish(EmulatedEndpoint server) {
    if (server.up()) {
      world.trace().note("vanish", "endpoint", server.id);
      server.vanish();
    }
  }

  /** It starts again, warming up, and the list says when. */
  void back(EmulatedEndpoint server) {
    if (!server.up() && !server.left) {
      world.trace().note("back", "endpoint", server.id);
      server.back();
      server.start(world.nowMs());
      list.put(server, "in_service", world.nowMs());
    }
  }

  /** It is told to drain, leaves after its grace, and another has taken its place by then. */
  void replace(EmulatedEndpoint server) {
    int place = places.indexOf(server);
    if (place < 0 || server.draining || !server.up()) {
      return;
    }
    world.trace().note("drain", "endpoint", server.id);
    list.put(server, "terminating", server.startedMs);
    long graceUs = Math.round(world.scenario().endpoints().graceMs() * 1000);
    world
        .time()
        .after(
            graceUs / 2, () -> server.draining = true); // until then the list may not have told all
    world
        .time()
        .after(
            graceUs,
            () -> {
              server.left = true;
              die(server);
              list.remove(server);
            });
    generations.set(place, generations.get(place) + 1);
    EmulatedEndpoint next = make(place);
    places.set(place, next);
    world
        .time()
        .after(
            graceUs / 2,
            () -> {
              next.start(world.nowMs());
              world.trace().note("join", "endpoint", next.id);
              list.put(next, "in_service", world.nowMs());
            });
  }
}
