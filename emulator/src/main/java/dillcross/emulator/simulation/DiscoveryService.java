package dillcross.emulator.simulation;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.random.RandomStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The service that knows the endpoints: a list, watches of it, and what can be wrong with both. */
final class DiscoveryService implements VirtualNetwork.Entry {
  static final String ADDRESS = "127.10.0.1:8500";
  static final String OTHER_ADDRESS = "127.10.0.2:8500"; // of the same service

  private record Entry(
      String id,
      String address,
      String zone,
      int cell,
      String state,
      double weight,
      long startedMs,
      long version) {
    Map<String, Object> words() {
      Map<String, Object> words = new LinkedHashMap<>();
      words.put("id", id);
      words.put("addr", address);
      words.put("zone", zone);
      words.put("kind", "any");
      words.put("cell", cell);
      words.put("state", state);
      words.put("weight", weight);
      words.put("started_ms", startedMs);
      return words;
    }
  }

  private final SimulationContext world;
  private final VirtualMachine host;
  private final RandomStream random;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Set<Call> calls = new LinkedHashSet<>();
  private final Set<Call> watches = new LinkedHashSet<>(); // those that wait for news
  private final Map<String, Integer> numbers = new LinkedHashMap<>(); // of calls, by who calls
  private SidecarProcesses sidecars;
  private long version = 100;
  private Map<String, Entry> stale; // what is told in place of the list
  private long staleVersion;
  private int stales;
  private int outs;
  private String outMode;
  private double slowMs;
  private boolean telling; // is arranged

  DiscoveryService(SimulationContext world) {
    this.world = world;
    host = new VirtualMachine("list", world.scenario().endpoints().zones().get(0));
    random = world.random().named("list");
    listens(true);
  }

  private void listens(boolean now) {
    for (String address : List.of(ADDRESS, OTHER_ADDRESS)) {
      world.fabric().unlisten(address);
      if (now) {
        world.fabric().listen(address, this);
      }
    }
  }

  void sidecars(SidecarProcesses all) {
    sidecars = all;
  }

  @Override
  public VirtualMachine host() {
    return host;
  }

  // ---- What is known

  void put(EmulatedEndpoint server, String state, long startedMs) {
    version++;
    world.oracle().has(server.id, state.equals("in_service"));
    entries.put(
        server.id,
        new Entry(
            server.id,
            server.address,
            server.zone,
            server.cell,
            state,
            Math.round(server.weight() * 100) / 100.0,
            startedMs,
            version));
    news();
  }

  void remove(EmulatedEndpoint server) {
    version++;
    Entry was = entries.get(server.id);
    world.oracle().has(server.id, false);
    entries.put(
        server.id,
        new Entry(
            was.id,
            was.address,
            was.zone,
            was.cell,
            "terminated",
            was.weight,
            was.startedMs,
            version));
    news();
  }

  private void news() {
    if (!telling) {
      telling = true;
      world
          .time()
          .after(
              Math.round(world.scenario().list().tellMs() * 1000),
              () -> {
                telling = false;
                for (Call call : List.copyOf(watches)) {
                  call.tell();
                }
              });
    }
  }

  // ---- Troubles

  void out(String mode, boolean now) {
    outs += now ? 1 : -1;
    outMode = mode;
    if (now && !mode.equals("silent")) {
      world.fabric().kill(host);
      calls.clear();
      watches.clear();
    }
    if (now && mode.equals("silent")) {
      watches.clear(); // they stay open, and nothing comes on them any more
    }
    listens(outs == 0 || !outMode.equals("refuse"));
  }

  void slow(double ms) {
    slowMs += ms;
  }

  void stale(boolean now) {
    stales += now ? 1 : -1;
    if (now && stales == 1) {
      stale = new LinkedHashMap<>(entries);
      staleVersion = version;
    } else if (stales == 0) {
      stale = null;
      news();
    }
  }

  /**
   * Its numbers begin anew, as with a service that lost its memory: all it knows is of the first
   * version.
   */
  void renumber() {
    version = 1;
    entries.values().removeIf(e -> e.state.equals("terminated"));
    entries.replaceAll(
        (id, e) -> new Entry(e.id, e.address, e.zone, e.cell, e.state, e.weight, e.startedMs, 1));
    stale = null;
    world.fabric().kill(host);
    calls.clear();
    watches.clear();
  }

  // ---- Calls

  @Override
  public void connected(SocketEndpoint end) {
    Call call = new Call(end);
    end.owner(call);
    calls.add(call);
  }

  /** One connection, and the call on it. */
  private final class Call implements SocketEndpoint.Owner {
    private final SocketEndpoint end;
    private final HttpStreamReader incoming = new HttpStreamReader();
    private long since;
    private boolean requested;

    Call(SocketEndpoint end) {
      this.end = end;
    }

    @Override
    public void readable(SocketEndpoint same) {
      byte[] bytes = end.readAll();
      if (bytes.length > 0) {
        incoming.add(bytes, end.firstSentUs());
      }
      if (incoming.complete() && !requested) {
        requested = true;
        int number = numbers.merge(end.other().toString(), 1, Integer::sum);
        double delayMs =
            world.scenario().list().delayMs().draw(random.named(end.other() + " " + number))
                + slowMs;
        world.time().after(Math.round(delayMs * 1000), this::begin);
      }
      if (end.over()) {
        calls.remove(this);
        watches.remove(this);
        end.close();
      }
    }

    private void begin() {
      if (!calls.contains(this)) {
        return;
      }
      if (outs > 0) {
        if (outMode.equals("error")) {
          send(503, "{}".getBytes(StandardCharsets.US_ASCII), null);
        }
        return;
      }
      String target = incoming.word(1);
      since = number(target, "since=");
      long timeoutMs = Math.min(60_000, number(target, "timeout_ms="));
      if (news(since)) {
        tell();
      } else {
        watches.add(this);
        world
            .time()
            .after(
                timeoutMs * 1000,
                () -> {
                  if (watches.contains(this)) {
                    answer();
                  }
                });
      }
    }

    private boolean news(long of) {
      return of != (stale == null ? version : staleVersion);
    }

    void tell() {
      if (outs == 0 && news(since)) {
        answer();
      }
    }

    private void answer() {
      watches.remove(this);
      Map<String, Entry> known = stale == null ? entries : stale;
      long at = stale == null ? version : staleVersion;
      boolean full = since == 0 || since > at;
      List<Entry> listed =
          known.values().stream()
              .filter(e -> full ? !e.state.equals("terminated") : e.version > since)
              .toList();
      Map<String, Object> words = new LinkedHashMap<>();
      words.put("version", at);
      words.put("full", full);
      words.put("servers", listed.stream().map(Entry::words).toList());
      send(
          200,
          json(words),
          () -> {
            String process = sidecars.process(end.other());
            listed.forEach(
                e ->
                    world
                        .oracle()
                        .notified(process, e.id, e.state.equals("in_service"), e.startedMs));
            if (full) {
              world
                  .oracle()
                  .notifiedOnly(
                      process, new LinkedHashSet<>(listed.stream().map(Entry::id).toList()));
            }
            if (!listed.isEmpty()) {
              world
                  .trace()
                  .note(
                      "told",
                      "sidecar",
                      end.other().toString(),
                      "version",
                      at,
                      "full",
                      full,
                      "entries",
                      listed.size());
            }
          });
    }

    private void send(int status, byte[] body, Runnable read) {
      end.send(
          HttpStreamReader.message(
              "HTTP/1.1 " + status + " x", body, false, "Content-Type", "application/json"),
          read);
      requested = false;
      incoming.next();
    }
  }

  /** All of it, as a sidecar knew it before it started. */
  Map<String, Object> known() {
    List<Map<String, Object>> all = new ArrayList<>();
    entries.values().stream()
        .filter(e -> !e.state.equals("terminated"))
        .forEach(e -> all.add(e.words()));
    return Map.of("version", version, "full", true, "servers", all);
  }

  /** What a process knows that starts from it. */
  void knows(String process) {
    entries.values().stream()
        .filter(e -> !e.state.equals("terminated"))
        .forEach(
            e -> world.oracle().notified(process, e.id, e.state.equals("in_service"), e.startedMs));
  }

  private static byte[] json(Map<String, Object> words) {
    try {
      return JSON.std.asBytes(words);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long number(String target, String name) {
    int at = target.indexOf(name);
    if (at < 0) {
      return 0;
    }
    int end = at + name.length();
    while (end < target.length() && Character.isDigit(target.charAt(end))) {
      end++;
    }
    return Long.parseLong(target.substring(at + name.length(), end));
  }
}
