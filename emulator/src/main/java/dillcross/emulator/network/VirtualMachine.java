package dillcross.emulator.network;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A machine on the emulated network, or one of several process slots on it. Processes follow each
 * other in a slot; the slot holds the sockets of the one that runs.
 */
public final class VirtualMachine {
  private final String name;
  private final String zone;
  private final VirtualMachine machine; // itself, or the machine that it is a further slot of
  private final Set<SocketEndpoint> sockets = new LinkedHashSet<>();
  private boolean isSilent;

  /** A machine of its own in that zone. */
  public VirtualMachine(String name, String zone) {
    this.name = name;
    this.zone = zone;
    machine = this;
  }

  /** A further process slot on the same machine as another. */
  public VirtualMachine(String name, VirtualMachine beside) {
    this.name = name;
    zone = beside.zone;
    machine = beside.machine;
  }

  String name() {
    return name;
  }

  /** The zone that it is in; empty for none. */
  public String zone() {
    return zone;
  }

  boolean isSameMachine(VirtualMachine other) {
    return machine == other.machine;
  }

  /** Whether the machine is off, so that nothing is sent or received. */
  boolean isSilent() {
    return isSilent;
  }

  void setSilent(boolean isOff) {
    isSilent = isOff;
  }

  /** Number of connections that its process holds. */
  public int connectionCount() {
    return sockets.size();
  }

  /** The sockets of its process, in the order in which they were opened. */
  List<SocketEndpoint> sockets() {
    return List.copyOf(sockets);
  }

  void add(SocketEndpoint socket) {
    sockets.add(socket);
  }

  void remove(SocketEndpoint socket) {
    sockets.remove(socket);
  }

  /** Forgets all sockets without a word to their peers. */
  void discardSockets() {
    sockets.forEach(SocketEndpoint::discard);
    sockets.clear();
  }

  @Override
  public String toString() {
    return name;
  }
}
