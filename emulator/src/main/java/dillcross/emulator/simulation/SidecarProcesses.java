package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All sidecars of a run, in the order of their index. */
final class SidecarProcesses {
  private final List<SidecarProcess> all = new ArrayList<>();
  private final Map<VirtualMachine, SidecarProcess> byHost = new HashMap<>();

  /** Creates the sidecars of the scenario; none runs yet. */
  SidecarProcesses(SimulationContext context, DiscoveryService discovery) {
    for (int index = 0; index < context.scenario().sidecars().count(); index++) {
      SidecarProcess sidecar = new SidecarProcess(context, discovery, index);
      all.add(sidecar);
      byHost.put(sidecar.host(), sidecar);
    }
  }

  List<SidecarProcess> all() {
    return all;
  }

  /** Name of the sidecar process on that machine; the machine's name if it has no sidecar. */
  String processNameOn(VirtualMachine host) {
    SidecarProcess sidecar = byHost.get(host);
    return sidecar == null ? host.toString() : sidecar.processName();
  }

  /** Names of the running processes. */
  List<String> runningProcessNames() {
    return all.stream().filter(SidecarProcess::isRunning).map(SidecarProcess::processName).toList();
  }

  /** The sidecars that match a fault's target: all of them, or the one of that name. */
  List<SidecarProcess> matching(String target) {
    return all.stream()
        .filter(sidecar -> target.equals("all") || target.equals(sidecar.name()))
        .toList();
  }
}
