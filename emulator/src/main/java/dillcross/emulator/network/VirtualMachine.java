package dillcross.emulator.network;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A process on the emulated network, one after another of them, and the machine that it runs on.
 */
public final class VirtualMachine {
  final String name;
  final String zone;
  final Set<SocketEndpoint> ends = new LinkedHashSet<>(); // of the process that runs on it
  boolean isSilent; // the machine is off or cut off for good: it says nothing

  private final VirtualMachine machine;

  public VirtualMachine(String name, String zone) {
    this.name = name;
    this.zone = zone;
    machine = this;
  }

  /** Beside another, on the same machine. */
  public VirtualMachine(String name, VirtualMachine beside) {
    this.name = name;
    zone = beside.zone;
    machine = beside.machine;
  }

  boolean beside(VirtualMachine other) {
    return machine == other.machine;
  }

  public String zone() {
    return zone;
  }

  /** Connections that its process holds. */
  public int connections() {
    return ends.size();
  }

  @Override
  public String toString() {
    return name;
  }
}
