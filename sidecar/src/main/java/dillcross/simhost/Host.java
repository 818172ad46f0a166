package dillcross.simhost;

import dillcross.balancer.LoadBalancer;
import dillcross.config.FaultyKey;
import dillcross.config.Given;
import dillcross.model.AttemptOutcome;
import dillcross.model.Decision;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Hosts many instances, sharing nothing between them, and speaks the simulator's wire for each. */
public final class Host {
  private static final String HELD = "active:"; // in a load report: the ops that an endpoint holds
  private final BufferedReader in;
  private final OutputStream out;
  private final Map<Integer, LoadBalancer> instances = new HashMap<>();
  private final Map<Integer, List<Endpoint>> sheets = new HashMap<>();
  private final Map<Integer, LoadBalancer> touched = new LinkedHashMap<>(); // by this batch
  private final Map<Integer, String> broken =
      new LinkedHashMap<>(); // what went wrong in this batch
  private final StringBuilder reply = new StringBuilder(1 << 12);
  private long lineNumber;
  private long now;

  public Host(InputStream in, OutputStream out) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = out;
  }

  /** Answers batches until the input ends. */
  public void run() throws IOException {
    boolean open = false;
    for (String line; (line = in.readLine()) != null; ) {
      Fields f = new Fields(line, ++lineNumber);
      String name = f.text();
      if (name.equals("tick")) {
        if (open) {
          throw f.malformed("a batch begins within a batch", null);
        }
        now = f.micros(0);
        open = true;
      } else if (!open) {
        throw f.malformed("outside a batch", null);
      } else if (name.equals("commit")) {
        answer();
        open = false;
      } else {
        event(name, f);
      }
    }
    if (open) {
      throw new WireException("line " + lineNumber + ": the input ends within a batch");
    }
  }

  private void event(String name, Fields f) throws IOException {
    switch (name) {
      case "snapshot_rows" -> sheets.put(f.small(), rows(f.small()));
      case "open_instance" -> {
        int sidecar = f.small();
        long seed = f.whole(0);
        LoadBalancer logic = open(f, seed);
        instances.put(sidecar, logic);
        touched.put(sidecar, logic);
      }
      case "shutdown" -> {
        int sidecar = f.small();
        instances.remove(sidecar);
        touched.remove(sidecar);
      }
      case "endpoints",
          "knock",
          "response",
          "opened",
          "withdrawn",
          "sampled",
          "peer_data",
          "fired" -> {
        int sidecar = f.small();
        LoadBalancer logic = instances.get(sidecar);
        if (logic == null) {
          throw f.malformed("no such instance is open", null);
        }
        touched.put(sidecar, logic);
        try {
          tell(name, f, logic);
        } catch (WireException e) {
          throw e;
        } catch (RuntimeException e) {
          broken.putIfAbsent(sidecar, described(e));
        }
      }
      default -> throw f.malformed("unknown message", null);
    }
  }

  private static LoadBalancer open(Fields f, long seed) {
    Map<String, String> pairs = new HashMap<>();
    while (f.more()) {
      String pair = f.textOrNull();
      int cut = pair == null ? -1 : pair.indexOf('=');
      if (cut > 0) {
        pairs.put(pair.substring(0, cut), pair.substring(cut + 1));
      }
    }
    try {
      Given given = Given.pairs(pairs);
      return new LoadBalancer(seed, given.balancerSettings(given.subscribes()));
    } catch (FaultyKey e) {
      throw f.malformed(e.getMessage(), e);
    }
  }

  private void tell(String name, Fields f, LoadBalancer logic) {
    switch (name) {
      case "endpoints" -> {
        f.whole(0);
        int sheet = f.small();
        String form = f.text();
        if (form.equals("Error")) {
          logic.onEndpointListFailure(now, Long.MAX_VALUE);
        } else {
          List<Endpoint> entries = sheets.get(sheet);
          if (entries == null) {
            throw f.malformed("no such list", null);
          }
          logic.onEndpointList(now, !form.equals("Partial"), entries);
        }
      }
      case "knock" -> {
        long op = f.whole(0);
        String tenant = f.textOrNull();
        long ttl = f.micros(0);
        f.textOrNull();
        f.textOrNull();
        long marks = f.whole(0);
        String category = f.text();
        logic.onRequest(now, op, tenant, category, ttl, (marks & 2) != 0);
      }
      case "response" -> {
        long op = f.whole(0);
        AttemptOutcome outcome = outcome(f);
        String endpoint = f.text();
        boolean over = f.flag();
        long took = f.micros(0);
        int push = f.small();
        reported(logic, endpoint, f.more() ? f.textOrNull() : null);
        logic.onAttemptEnded(now, op, push, outcome, took, over);
      }
      case "opened" -> {
        long op = f.whole(0);
        f.text();
        f.micros(0);
        logic.onResponseStarted(now, op, f.small());
      }
      case "withdrawn" -> logic.onClientDisconnected(now, f.whole(0));
      case "fired" -> logic.onTimer(now);
      default -> {} // nothing asks for probes or for other sidecars' messages
    }
  }

  /** Tells what an endpoint holds, where its load report says so. */
  private void reported(LoadBalancer logic, String endpoint, String report) {
    for (String part : report == null ? new String[0] : report.split(",")) {
      if (part.startsWith(HELD)) {
        logic.onLoadReport(
            now, endpoint, new Fields(part.substring(HELD.length()), lineNumber).real(0));
      }
    }
  }

  private List<Endpoint> rows(int count) throws IOException {
    List<Endpoint> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String line = in.readLine();
      Fields f = new Fields(line == null ? "" : line, ++lineNumber);
      if (line == null || !f.text().equals("row")) {
        throw f.malformed("a row of the list is missing", null);
      }
      f.textOrNull();
      String id = f.text();
      long started = f.micros(0);
      String health = f.text();
      double weight = f.real(1);
      int cell = f.small();
      String zone = f.textOrNull();
      entries.add(
          new Endpoint(
              id,
              health.equals("up")
                  ? Health.UP
                  : health.equals("draining") ? Health.DRAINING : Health.REMOVED,
              started,
              cell,
              zone == null ? "" : zone,
              weight > 0 ? weight : 1));
    }
    return entries;
  }

  private static AttemptOutcome outcome(Fields f) {
    int reason = f.small();
    return switch (reason) {
      case 0 -> AttemptOutcome.SUCCEEDED;
      case 13 -> AttemptOutcome.ERROR;
      case 8 -> AttemptOutcome.OVERLOADED;
      case 4 -> AttemptOutcome.TIMED_OUT;
      case 14 -> AttemptOutcome.CONNECT_FAILED;
      case 10 -> AttemptOutcome.RESET;
      case 1 -> AttemptOutcome.CANCELLED;
      case 9 -> AttemptOutcome.NOT_SENT;
      default -> throw f.malformed("unknown outcome " + reason, null);
    };
  }

  private void answer() throws IOException {
    touched.forEach(
        (sidecar, logic) -> {
          Encoder encoder = new Encoder(sidecar);
          try {
            Decision decision = broken.containsKey(sidecar) ? null : logic.next();
            while (decision != null) {
              decision.accept(encoder);
              decision = logic.next();
            }
          } catch (RuntimeException e) {
            broken.put(sidecar, described(e));
          }
        });
    broken.forEach(
        (sidecar, what) ->
            reply.append("bug ").append(sidecar).append(' ').append(what).append('\n'));
    reply.append("next\n");
    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
    reply.setLength(0);
    touched.clear();
    broken.clear();
  }

  /** Writes decisions of one instance as lines of the wire. */
  private final class Encoder implements Decision.Handler {
    private final int sidecar;

    Encoder(int sidecar) {
      this.sidecar = sidecar;
    }

    @Override
    public void onSendAttempt(Decision.SendAttempt decision) {
      line("forward", sidecar, decision.requestId()).append(' ');
      if (decision.deadlineUs() == 0) {
        reply.append('-');
      } else {
        millis(decision.deadlineUs());
      }
      reply.append(' ').append(decision.endpoint()).append('\n');
    }

    @Override
    public void onReject(Decision.Reject decision) {
      line("not_now", sidecar, decision.requestId()).append(' ');
      millis(decision.retryAfterUs());
      reply.append('\n');
    }

    @Override
    public void onFail(Decision.Fail decision) {
      line("report_failure", sidecar, decision.requestId()).append('\n');
    }

    @Override
    public void onCancelAttempt(Decision.CancelAttempt decision) {
      line("undo_send", sidecar, decision.requestId())
          .append(' ')
          .append(decision.attempt())
          .append('\n');
    }

    @Override
    public void onReleaseConnections(Decision.ReleaseConnections decision) {
      reply
          .append("close_idle ")
          .append(sidecar)
          .append(' ')
          .append(decision.endpoint())
          .append('\n');
    }

    @Override
    public void onWatchEndpoints(Decision.WatchEndpoints decision) {
      line("listen", sidecar, 1).append('\n');
    }

    @Override
    public void onScheduleTimer(Decision.ScheduleTimer decision) {
      reply.append("wake_at ").append(sidecar).append(' ');
      millis(decision.delayUs());
      reply.append(" w\n");
    }
  }

  private StringBuilder line(String name, int sidecar, long value) {
    return reply.append(name).append(' ').append(sidecar).append(' ').append(value);
  }

  private void millis(long us) {
    reply.append(us / 1000).append('.');
    long rest = us % 1000;
    reply
        .append((char) ('0' + rest / 100))
        .append((char) ('0' + rest / 10 % 10))
        .append((char) ('0' + rest % 10));
  }

  private static String described(RuntimeException e) {
    StackTraceElement[] at = e.getStackTrace();
    String where = at.length > 0 ? " at " + at[0] : "";
    return (e + where).replaceAll("\\s+", " ");
  }
}
