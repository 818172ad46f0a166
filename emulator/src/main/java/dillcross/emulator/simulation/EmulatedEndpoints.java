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
 * The endpoints of a run, and the groups of endpoints that recognise duplicate requests. A place is
 * the index of an endpoint in the scenario; a replacement takes the place of its predecessor.
 * Starts and removals of endpoints are reported to the discovery service.
 */
final class EmulatedEndpoints {

  private static final int ADDRESSES_PER_SUBNET = 250;
  private static final int FIRST_SUBNET = 20;
  private static final int GENERATION_SUBNETS = 200;
  private static final String PORT = ":9000";

  private final SimulationContext context;
  private final List<EmulatedEndpoint> byPlace = new ArrayList<>(); // current endpoint per place
  private final List<Integer> generations = new ArrayList<>(); // replacements so far, by place
  private final Map<String, DeduplicationMemory> deduplicationGroups = new HashMap<>();
  private final DiscoveryService discovery;
  private SidecarProcesses sidecars;

  /**
   * Starts all endpoints of the scenario without a slow start, and adds them to the endpoint list.
   */
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

  /**
   * The current endpoints that match a fault's target: {@code all}, {@code zone} with a name, or
   * the id of the first endpoint of a place.
   */
  List<EmulatedEndpoint> matching(String target) {
    return byPlace.stream()
        .filter(
            endpoint ->
                target.equals("all")
                    || target.equals("zone " + endpoint.zone())
                    || target.equals(endpoint.id())
                    || endpoint.id().startsWith(target + "."))
        .toList();
  }

  /** Name of the sidecar process on that machine; the machine's name if it has no sidecar. */
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

  /**
   * The memory that the endpoint shares, for requests of that class, with the other endpoints in
   * the deduplication scope of the class.
   */
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

  /** Kills the endpoint's process if it runs. */
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

  /**
   * Starts the endpoint again in slow start and publishes its start time. Does nothing if it runs
   * or was removed for good.
   */
  void restore(EmulatedEndpoint endpoint) {
    if (!endpoint.isRunning() && !endpoint.isRetired()) {
      context.note("back", "endpoint", endpoint.id());
      endpoint.restore();
      endpoint.start(context.nowMs());
      discovery.put(endpoint, ListedEndpoint.IN_SERVICE, context.nowMs());
    }
  }

  /**
   * Publishes that the endpoint drains, starts a replacement after half of the grace period, and
   * removes the endpoint at the end of the grace period. The endpoint accepts requests during the
   * first half of the period, because sidecars may not know of the drain yet.
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
