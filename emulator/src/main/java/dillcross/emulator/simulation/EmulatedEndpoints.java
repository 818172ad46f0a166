package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.oracle.EndpointLocation;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All endpoints of a run by their place, including replacements, and the groups that recognise
 * repeated work. Keeps the discovery service up to date about starts and departures.
 */
final class EmulatedEndpoints {

  private static final int ADDRESSES_PER_SUBNET = 250;
  private static final int FIRST_SUBNET = 20;
  private static final int GENERATION_SUBNETS = 200;
  private static final String PORT = ":9000";

  private final SimulationContext context;
  private final List<EmulatedEndpoint> byPlace = new ArrayList<>(); // the current one of each place
  private final List<Integer> generations = new ArrayList<>();
  private final Map<String, DeduplicationMemory> deduplicationGroups = new HashMap<>();
  private final DiscoveryService discovery;
  private SidecarProcesses sidecars;

  /** Starts all endpoints of the scenario, warm, and lists them. */
  EmulatedEndpoints(SimulationContext context, DiscoveryService discovery) {
    this.context = context;
    this.discovery = discovery;
    for (int place = 0; place < context.scenario().endpoints().count(); place++) {
      generations.add(0);
      EmulatedEndpoint endpoint = create(place);
      byPlace.add(endpoint);
      endpoint.start(0);
      discovery.put(endpoint, ListedEndpoint.IN_SERVICE, 0);
    }
  }

  /** Sets the sidecars, which are created after the endpoints. */
  void sidecars(SidecarProcesses all) {
    sidecars = all;
  }

  private EmulatedEndpoint create(int place) {
    Scenario.EndpointSettings settings = context.scenario().endpoints();
    int generation = generations.get(place);
    String id = "e" + place + (generation == 0 ? "" : "." + generation);
    String zone = settings.zones().get(place % settings.zones().size());
    EndpointLocation location = new EndpointLocation(id, zone, place % settings.cells());
    return new EmulatedEndpoint(context, this, location, address(place, generation));
  }

  private static String address(int place, int generation) {
    int subnet = FIRST_SUBNET + generation % GENERATION_SUBNETS;
    int thirdOctet = place / ADDRESSES_PER_SUBNET;
    int fourthOctet = 1 + place % ADDRESSES_PER_SUBNET;
    return "127." + subnet + "." + thirdOctet + "." + fourthOctet + PORT;
  }

  int count() {
    return byPlace.size();
  }

  EmulatedEndpoint at(int place) {
    return byPlace.get(place);
  }

  /** The current endpoints that a fault's target names: all, a zone, or one place. */
  List<EmulatedEndpoint> named(String target) {
    return byPlace.stream()
        .filter(
            endpoint ->
                target.equals("all")
                    || target.equals("zone " + endpoint.zone())
                    || target.equals(endpoint.id())
                    || endpoint.id().startsWith(target + "."))
        .toList();
  }

  /** Name of the sidecar process that runs on that machine. */
  String sidecarProcess(VirtualMachine host) {
    return sidecars.processNameOn(host);
  }

  /** Whether every running sidecar has read the endpoint's latest start from the endpoint list. */
  boolean allKnowStart(EmulatedEndpoint endpoint) {
    String id = endpoint.id();
    long startedMs = endpoint.startedMs();
    return sidecars.runningProcessNames().stream()
        .allMatch(process -> context.oracle().knowsStart(process, id, startedMs));
  }

  /** The memory of the group that the endpoint belongs to for that request class. */
  DeduplicationMemory deduplicationMemory(
      Scenario.RequestClass requestClass, EmulatedEndpoint endpoint) {
    String scopeSuffix =
        switch (requestClass.scope()) {
          case "all" -> "";
          case "zone" -> "/zone " + endpoint.zone();
          default -> "/cell " + endpoint.cell();
        };
    return deduplicationGroups.computeIfAbsent(
        requestClass.name() + scopeSuffix, name -> new DeduplicationMemory());
  }

  // ---- Faults

  /** Ends the endpoint's process if it runs. */
  void kill(EmulatedEndpoint endpoint) {
    if (endpoint.isRunning()) {
      context.note("die", "endpoint", endpoint.id());
      endpoint.kill();
    }
  }

  /** Turns the endpoint's machine off if its process runs. */
  void vanish(EmulatedEndpoint endpoint) {
    if (endpoint.isRunning()) {
      context.note("vanish", "endpoint", endpoint.id());
      endpoint.vanish();
    }
  }

  /** Starts the endpoint again, warming up, and lists its start time. */
  void restore(EmulatedEndpoint endpoint) {
    if (!endpoint.isRunning() && !endpoint.isRetired()) {
      context.note("back", "endpoint", endpoint.id());
      endpoint.restore();
      endpoint.start(context.nowMs());
      discovery.put(endpoint, ListedEndpoint.IN_SERVICE, context.nowMs());
    }
  }

  /**
   * Drains the endpoint, retires it after the grace period, and starts a replacement halfway. It
   * accepts requests for the first half, because sidecars may not have read of the drain yet.
   */
  void replace(EmulatedEndpoint endpoint) {
    int place = byPlace.indexOf(endpoint);
    if (place < 0 || endpoint.isDraining() || !endpoint.isRunning()) {
      return;
    }
    context.note("drain", "endpoint", endpoint.id());
    discovery.put(endpoint, ListedEndpoint.TERMINATING, endpoint.startedMs());
    long graceUs = TimeUnits.toMicros(context.scenario().endpoints().graceMs());
    context.after(graceUs / 2, endpoint::drain);
    context.after(graceUs, () -> retire(endpoint));
    generations.set(place, generations.get(place) + 1);
    EmulatedEndpoint replacement = create(place);
    byPlace.set(place, replacement);
    context.after(graceUs / 2, () -> join(replacement));
  }

  private void retire(EmulatedEndpoint endpoint) {
    endpoint.retire();
    kill(endpoint);
    discovery.remove(endpoint);
  }

  private void join(EmulatedEndpoint endpoint) {
    endpoint.start(context.nowMs());
    context.note("join", "endpoint", endpoint.id());
    discovery.put(endpoint, ListedEndpoint.IN_SERVICE, context.nowMs());
  }
}
