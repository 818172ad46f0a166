package dillcross.emulator.network;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A machine on the emulated network, with the sockets of the process that runs on it. A process
 * that is restarted uses the same instance again. A further instance represents a second process on
 * the same machine.
 */
public final class VirtualMachine {
  private final String name;
  private final String zone;
  private final VirtualMachine machine; // this, or the instance whose machine it shares
  private final Set<SocketEndpoint> sockets = new LinkedHashSet<>();
  private boolean isOff;

  /** Creates a machine in the zone. */
  public VirtualMachine(String name, String zone) {
    this.name = name;
    this.zone = zone;
    machine = this;
  }

  /** Creates an instance for a second process on the machine of {@code other}. */
  public VirtualMachine(String name, VirtualMachine other) {
    this.name = name;
    zone = other.zone;
    machine = other.machine;
  }

  String name() {
    return name;
  }

  /** Name of the zone that the machine is in; empty if it is in none. */
  public String zone() {
    return zone;
  }

  boolean isSameMachine(VirtualMachine other) {
    return machine == other.machine;
  }

  /** Whether the machine is off, so that it neither sends nor receives anything. */
  boolean isOff() {
    return isOff;
  }

  void setOff(boolean isNowOff) {
    isOff = isNowOff;
  }

  /** Number of open or pending connections of the machine's process. */
  public int connectionCount() {
    return sockets.size();
  }

  /** The sockets of the machine's process, in the order in which they were opened. */
  List<SocketEndpoint> sockets() {
    return List.copyOf(sockets);
  }

  void add(SocketEndpoint socket) {
    sockets.add(socket);
  }

  void remove(SocketEndpoint socket) {
    sockets.remove(socket);
  }

  /** Closes all sockets without notifying their peers. */
  void discardSockets() {
    sockets.forEach(SocketEndpoint::discard);
    sockets.clear();
  }

  @Override
  public String toString() {
    return name;
  }
}
