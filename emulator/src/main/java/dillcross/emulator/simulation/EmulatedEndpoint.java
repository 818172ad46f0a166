package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.oracle.EndpointLocation;
import dillcross.emulator.random.RandomStream;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A simulated endpoint: a machine and the process on it, which can end and start again. Accepts
 * connections. {@link EndpointCores} executes the requests, {@link SlowStartMonitor} computes the
 * capacity in slow start, and {@link EndpointFaults} holds the active faults.
 */
final class EmulatedEndpoint implements VirtualNetwork.Acceptor {
  /**
   * Listens in place of the endpoint while it is unreachable: attempts to connect neither succeed
   * nor fail.
   */
  private static final VirtualNetwork.Acceptor UNREACHABLE =
      new VirtualNetwork.Acceptor() {
        private final VirtualMachine host = VirtualNetwork.unreachableMachine();

        @Override
        public VirtualMachine host() {
          return host;
        }

        @Override
        public void onConnection(SocketEndpoint end) {
          throw new IllegalStateException("an unreachable machine accepted a connection");
        }
      };

  private final EndpointLocation location;
  private final String address;
  private final SimulationContext context;
  private final EmulatedEndpoints endpoints;
  private final VirtualMachine host;
  private final RandomStream random;
  private final double speed;
  private final EndpointFaults faults = new EndpointFaults();
  private final SlowStartMonitor slowStart;
  private final EndpointCores cores;
  private final Set<EndpointConnection> connections = new LinkedHashSet<>();
  private int incarnation;
  private long startedMs;
  private boolean isRunning;
  private boolean isDraining;
  private boolean isRetired;

  /** Creates an endpoint whose process does not run yet; {@code address} is {@code ip:port}. */
  EmulatedEndpoint(
      SimulationContext context,
      EmulatedEndpoints endpoints,
      EndpointLocation location,
      String address) {
    this.context = context;
    this.endpoints = endpoints;
    this.location = location;
    this.address = address;
    host = new VirtualMachine(location.endpoint(), location.zone());
    random = context.random().named("endpoint " + location.endpoint());
    speed = context.scenario().endpoints().speed().draw(random);
    slowStart = new SlowStartMonitor(context, endpoints, this);
    EndpointResponder responder = new EndpointResponder(context, this, random);
    cores = new EndpointCores(context, endpoints, this, responder);
  }

  String id() {
    return location.endpoint();
  }

  String zone() {
    return location.zone();
  }

  int cell() {
    return location.cell();
  }

  EndpointLocation location() {
    return location;
  }

  String address() {
    return address;
  }

  @Override
  public VirtualMachine host() {
    return host;
  }

  /** Speed relative to a nominal endpoint; also its weight in the endpoint list. */
  double speed() {
    return speed;
  }

  EndpointFaults faults() {
    return faults;
  }

  SlowStartMonitor slowStart() {
    return slowStart;
  }

  EndpointCores cores() {
    return cores;
  }

  /** The endpoint's random stream. */
  RandomStream random() {
    return random;
  }

  /**
   * A number that changes whenever the process starts or ends. Timers compare it, and do nothing if
   * they belong to an earlier process.
   */
  int incarnation() {
    return incarnation;
  }

  /**
   * When the process started, in ms since 1970; 0 if it started before the run and has no slow
   * start.
   */
  long startedMs() {
    return startedMs;
  }

  boolean isWarmFromStart() {
    return startedMs == 0;
  }

  boolean isRunning() {
    return isRunning;
  }

  boolean isDraining() {
    return isDraining;
  }

  /** Whether the endpoint was removed for good, so that it must not start again. */
  boolean isRetired() {
    return isRetired;
  }

  int connectionCount() {
    return connections.size();
  }

  /** Name of the sidecar process on that machine; the machine's name if it has no sidecar. */
  String sidecarProcess(VirtualMachine sidecarHost) {
    return endpoints.sidecarProcess(sidecarHost);
  }

  // ---- Process

  /**
   * Starts the process. Its slow start begins at {@code atMs}, in ms since 1970; if that is 0, the
   * process has no slow start.
   */
  void start(long atMs) {
    startedMs = atMs;
    incarnation++;
    isRunning = true;
    isDraining = false;
    context.network().listen(address, this);
  }

  /** From now on rejects all requests and closes each connection after its response. */
  void drain() {
    isDraining = true;
  }

  /** Marks the endpoint as removed for good, so that it does not start again. */
  void retire() {
    isRetired = true;
  }

  /** Ends the process at once; its connections are reset. */
  void kill() {
    stop();
    context.network().resetConnections(host);
    connections.clear();
  }

  /** Turns the machine off: its open connections get neither answers nor resets. */
  void vanish() {
    stop();
    context.network().turnOff(host);
  }

  /** Turns the machine on again, so that a process may start on it. */
  void restore() {
    context.network().turnOn(host);
    connections.clear();
  }

  private void stop() {
    isRunning = false;
    incarnation++;
    cores.clear();
    slowStart.clear();
    context.network().unlisten(address);
  }

  // ---- Connections

  /** Sets whether attempts to connect are answered; open connections are not affected. */
  void setReachable(boolean isReachable) {
    context.network().unlisten(address);
    if (!isReachable) {
      context.network().listen(address, UNREACHABLE);
    } else if (isRunning) {
      context.network().listen(address, this);
    }
  }

  @Override
  public void onConnection(SocketEndpoint end) {
    EndpointConnection connection = new EndpointConnection(context, this, end);
    end.setOwner(connection);
    connections.add(connection);
    connection.startIdleTimer();
  }

  void removeConnection(EndpointConnection connection) {
    connections.remove(connection);
  }
}
