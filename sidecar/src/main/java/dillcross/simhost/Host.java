package dillcross.simhost;

import dillcross.Logic;
import dillcross.config.FaultyKey;
import dillcross.config.Given;
import dillcross.model.Decision;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import dillcross.model.Outcome;
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
    private final Map<Integer, Logic> instances = new HashMap<>();
    private final Map<Integer, List<Endpoint>> sheets = new HashMap<>();
    private final Map<Integer, Logic> touched = new LinkedHashMap<>(); // by this batch
    private final Map<Integer, String> broken = new LinkedHashMap<>(); // what went wrong in this batch
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
        for (String line; (line = in.readLine()) != null;) {
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
                Logic logic = open(f, seed);
                instances.put(sidecar, logic);
                touched.put(sidecar, logic);
            }
            case "shutdown" -> {
                int sidecar = f.small();
                instances.remove(sidecar);
                touched.remove(sidecar);
            }
            case "endpoints", "knock", "response", "opened", "withdrawn", "sampled", "peer_data", "fired" -> {
                int sidecar = f.small();
                Logic logic = instances.get(sidecar);
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

    private static Logic open(Fields f, long seed) {
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
            return given.instance(seed, given.subscribes());
        } catch (FaultyKey e) {
            throw f.malformed(e.getMessage(), e);
        }
    }

    private void tell(String name, Fields f, Logic logic) {
        switch (name) {
            case "endpoints" -> {
                f.whole(0);
                int sheet = f.small();
                String form = f.text();
                if (form.equals("Error")) {
                    logic.listFailed(now, Long.MAX_VALUE);
                } else {
                    List<Endpoint> entries = sheets.get(sheet);
                    if (entries == null) {
                        throw f.malformed("no such list", null);
                    }
                    logic.list(now, !form.equals("Partial"), entries);
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
                logic.arrive(now, op, tenant, category, ttl, (marks & 2) != 0);
            }
            case "response" -> {
                long op = f.whole(0);
                Outcome outcome = outcome(f);
                String endpoint = f.text();
                boolean over = f.flag();
                long took = f.micros(0);
                int push = f.small();
                reported(logic, endpoint, f.more() ? f.textOrNull() : null);
                logic.ended(now, op, push, outcome, took, over);
            }
            case "opened" -> {
                long op = f.whole(0);
                f.text();
                f.micros(0);
                logic.streaming(now, op, f.small());
            }
            case "withdrawn" -> logic.left(now, f.whole(0));
            case "fired" -> logic.woken(now);
            default -> { } // nothing asks for probes or for other sidecars' messages
        }
    }

    /** Tells what an endpoint holds, where its load report says so. */
    private void reported(Logic logic, String endpoint, String report) {
        for (String part : report == null ? new String[0] : report.split(",")) {
            if (part.startsWith(HELD)) {
                logic.reported(now, endpoint, new Fields(part.substring(HELD.length()), lineNumber).real(0));
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
            entries.add(new Endpoint(id, health.equals("up") ? Health.UP
                    : health.equals("draining") ? Health.DRAINING : Health.GONE, started, cell,
                    zone == null ? "" : zone, weight > 0 ? weight : 1));
        }
        return entries;
    }

    private static Outcome outcome(Fields f) {
        int reason = f.small();
        return switch (reason) {
            case 0 -> Outcome.ACKED;
            case 13 -> Outcome.ERROR;
            case 8 -> Outcome.FULL;
            case 4 -> Outcome.TIMED_OUT;
            case 14 -> Outcome.CONNECT_FAILED;
            case 10 -> Outcome.RESET;
            case 1 -> Outcome.CANCELLED;
            case 9 -> Outcome.MOOT;
            default -> throw f.malformed("unknown outcome " + reason, null);
        };
    }

    private void answer() throws IOException {
        touched.forEach((sidecar, logic) -> {
            try {
                for (Decision d; !broken.containsKey(sidecar) && (d = logic.next()) != null;) {
                    encode(sidecar, d);
                }
            } catch (RuntimeException e) {
                broken.put(sidecar, described(e));
            }
        });
        broken.forEach((sidecar, what) ->
                reply.append("bug ").append(sidecar).append(' ').append(what).append('\n'));
        reply.append("next\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        reply.setLength(0);
        touched.clear();
        broken.clear();
    }

    private void encode(int sidecar, Decision d) {
        switch (d.kind()) {
            case PUSH -> {
                line("forward", sidecar, d.op()).append(' ');
                if (d.us() == 0) {
                    reply.append('-');
                } else {
                    millis(d.us());
                }
                reply.append(' ').append(d.endpoint());
            }
            case NACK -> {
                line("not_now", sidecar, d.op()).append(' ');
                millis(d.us());
            }
            case DEAD_LETTER -> line("report_failure", sidecar, d.op());
            case CANCEL -> line("undo_send", sidecar, d.op()).append(' ').append(d.push());
            case RELEASE -> reply.append("close_idle ").append(sidecar).append(' ').append(d.endpoint());
            case LISTEN -> line("listen", sidecar, 1);
            case WAKE -> {
                reply.append("wake_at ").append(sidecar).append(' ');
                millis(d.us());
                reply.append(" w");
            }
        }
        reply.append('\n');
    }

    private StringBuilder line(String name, int sidecar, long value) {
        return reply.append(name).append(' ').append(sidecar).append(' ').append(value);
    }

    private void millis(long us) {
        reply.append(us / 1000).append('.');
        long rest = us % 1000;
        reply.append((char) ('0' + rest / 100)).append((char) ('0' + rest / 10 % 10))
                .append((char) ('0' + rest % 10));
    }

    private static String described(RuntimeException e) {
        StackTraceElement[] at = e.getStackTrace();
        String where = at.length > 0 ? " at " + at[0] : "";
        return (e + where).replaceAll("\\s+", " ");
    }
}
