package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All sidecars. */
final class SidecarProcesses {
  private final List<SidecarProcess> all = new ArrayList<>();
  private final Map<VirtualMachine, SidecarProcess> byHost = new HashMap<>();

  SidecarProcesses(SimulationContext world, DiscoveryService list) {
    for (int i = 0; i < world.scenario().sidecars().count(); i++) {
      SidecarProcess one = new SidecarProcess(world, list, i);
      all.add(one);
      byHost.put(one.host, one);
    }
  }

  List<SidecarProcess> all() {
    return all;
  }

  String process(VirtualMachine host) {
    SidecarProcess one = byHost.get(host);
    return one == null ? host.toString() : one.process();
  }

  /** Of those that run. */
  List<String> processes() {
    return all.stream().filter(SidecarProcess::running).map(SidecarProcess::process).toList();
  }

  List<SidecarProcess> named(String target) {
    return all.stream().filter(i -> target.equals("all") || target.equals(i.name)).toList();
  }
}
