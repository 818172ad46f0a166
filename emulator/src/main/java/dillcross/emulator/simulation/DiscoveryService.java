package dillcross.emulator.simulation;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.TimeUnits;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The simulated discovery service. Serves the endpoint list and watches of it at two addresses.
 * Faults make it unavailable, slow or outdated.
 */
final class DiscoveryService implements VirtualNetwork.Acceptor {
  /** The address that sidecars are configured with initially. */
  static final String ADDRESS = "127.10.0.1:8500";

  /** A second address of the same service; a reload of a sidecar switches between the two. */
  static final String OTHER_ADDRESS = "127.10.0.2:8500";

  /** How an unavailable service behaves. */
  enum Outage {
    /** Refuses connections. */
    REFUSE,
    /** Accepts connections and never answers. */
    SILENT,
    /** Answers each request with an error. */
    ERROR;

    /** The behaviour that a scenario's {@code mode} names; {@link #REFUSE} for any other word. */
    static Outage of(String mode) {
      return switch (mode) {
        case "silent" -> SILENT;
        case "error" -> ERROR;
        default -> REFUSE;
      };
    }
  }

  private final SimulationContext context;
  private final VirtualMachine host;
  private final RandomStream random;
  private final EndpointRegistry registry = new EndpointRegistry();
  private final Set<DiscoveryCall> calls = new LinkedHashSet<>();
  private final Set<DiscoveryCall> watches = new LinkedHashSet<>();
  private final Map<String, Integer> callCounts = new LinkedHashMap<>(); // by calling machine
  private SidecarProcesses sidecars;
  private int outageCount;
  private Outage outage = Outage.REFUSE; // the kind that applies while outageCount > 0
  private int staleCount;
  private double extraDelayMs;
  private boolean isNotificationScheduled;

  /** Starts to listen at both addresses, with an empty list. */
  DiscoveryService(SimulationContext context) {
    this.context = context;
    host = new VirtualMachine("list", context.scenario().endpoints().zones().get(0));
    random = context.random().named("list");
    setListening(true);
  }

  private void setListening(boolean isListening) {
    for (String address : List.of(ADDRESS, OTHER_ADDRESS)) {
      context.network().unlisten(address);
      if (isListening) {
        context.network().listen(address, this);
      }
    }
  }

  /** Sets the sidecars, which are created after the service. */
  void sidecars(SidecarProcesses all) {
    sidecars = all;
  }

  @Override
  public VirtualMachine host() {
    return host;
  }

  EndpointRegistry registry() {
    return registry;
  }

  // ---- List

  /** Adds or changes the entry of an endpoint, and notifies watches. */
  void put(EmulatedEndpoint endpoint, String state, long startedMs) {
    context.oracle().listChanged(endpoint.id(), state.equals(ListedEndpoint.IN_SERVICE));
    registry.put(endpoint, state, startedMs);
    notifyWatches();
  }

  /** Removes an endpoint, and notifies watches. */
  void remove(EmulatedEndpoint endpoint) {
    context.oracle().listChanged(endpoint.id(), false);
    registry.remove(endpoint.id());
    notifyWatches();
  }

  private void notifyWatches() {
    if (isNotificationScheduled) {
      return;
    }
    isNotificationScheduled = true;
    context.after(
        TimeUnits.toMicros(context.scenario().discovery().notificationDelayMs()),
        () -> {
          isNotificationScheduled = false;
          List.copyOf(watches).forEach(DiscoveryCall::answerIfChanged);
        });
  }

  // ---- Faults

  /**
   * Starts or ends one outage. Outages may overlap; the kind given by the latest call then applies.
   */
  void setOutage(Outage kind, boolean isStarting) {
    outageCount += isStarting ? 1 : -1;
    outage = kind;
    if (isStarting && kind == Outage.SILENT) {
      watches.clear(); // watches are never answered; their connections stay open
    } else if (isStarting) {
      dropCalls();
    }
    setListening(outageCount == 0 || outage != Outage.REFUSE);
  }

  /** Adds a delay in ms to each answer; a negative value removes a delay that was added before. */
  void addDelay(double millis) {
    extraDelayMs += millis;
  }

  /**
   * Starts or ends one period in which the service publishes the list as it was at the start of the
   * period. Periods may overlap; the list is current again after the last one has ended.
   */
  void setStale(boolean isStarting) {
    staleCount += isStarting ? 1 : -1;
    if (isStarting && staleCount == 1) {
      registry.freeze();
    } else if (staleCount == 0) {
      registry.unfreeze();
      notifyWatches();
    }
  }

  /** Restarts the service: its connections are reset and version numbers start anew. */
  void renumber() {
    registry.renumber();
    dropCalls();
  }

  private void dropCalls() {
    context.network().resetConnections(host);
    calls.clear();
    watches.clear();
  }

  // ---- Calls

  @Override
  public void onConnection(SocketEndpoint end) {
    DiscoveryCall call = new DiscoveryCall(context, this, end);
    end.setOwner(call);
    calls.add(call);
  }

  boolean isUnavailable() {
    return outageCount > 0;
  }

  Outage outage() {
    return outage;
  }

  /**
   * Draws the delay in ms of the caller's next answer. Each call of each caller has its own random
   * stream, so that calls do not affect the delays of others.
   */
  double drawDelayMs(VirtualMachine caller) {
    int callNumber = callCounts.merge(caller.toString(), 1, Integer::sum);
    RandomStream draws = random.named(caller + " " + callNumber);
    return context.scenario().discovery().delayMs().draw(draws) + extraDelayMs;
  }

  boolean isOpen(DiscoveryCall call) {
    return calls.contains(call);
  }

  /** Removes a call whose connection has ended. */
  void remove(DiscoveryCall call) {
    calls.remove(call);
    watches.remove(call);
  }

  void addWatch(DiscoveryCall call) {
    watches.add(call);
  }

  void removeWatch(DiscoveryCall call) {
    watches.remove(call);
  }

  boolean isWatching(DiscoveryCall call) {
    return watches.contains(call);
  }

  // ---- Lists that sidecars have read

  /** Reports to the oracle that the process on the caller's machine has read the update. */
  void onUpdateRead(VirtualMachine caller, EndpointRegistry.Update update) {
    String process = sidecars.processNameOn(caller);
    reportRead(process, update.entries());
    if (update.isFull()) {
      List<String> ids = update.entries().stream().map(ListedEndpoint::id).toList();
      context.oracle().fullListRead(process, new LinkedHashSet<>(ids));
    }
    if (!update.entries().isEmpty()) {
      context.note(
          "told",
          "sidecar",
          caller.toString(),
          "version",
          update.version(),
          "full",
          update.isFull(),
          "entries",
          update.entries().size());
    }
  }

  /** The current list in JSON, as a sidecar reads it from its cache when it starts. */
  Map<String, Object> cachedList() {
    return registry.current().toJson();
  }

  /** Reports to the oracle that a starting process has read the cached list. */
  void onCachedListRead(String process) {
    reportRead(process, registry.current().entries());
  }

  private void reportRead(String process, List<ListedEndpoint> entries) {
    for (ListedEndpoint entry : entries) {
      context.oracle().entryRead(process, entry.id(), entry.isInService(), entry.startedMs());
    }
  }

  /** Formats the object as JSON in UTF-8. */
  static byte[] toJsonBytes(Map<String, Object> json) {
    try {
      return JSON.std.asBytes(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
