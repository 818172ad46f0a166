package dillcross.emulator.oracle;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Checks the rules from the world's side alone: what clients sent and got, what came to endpoints
 * and when it was sent, what the list told whom. It never looks into the sidecars' books.
 */
public final class Oracle {
  private static final long TOLD_US =
      6_000_000; // after which news counts as told, whether or not it was had
  private static final long GONE_US =
      100_000; // after its client's close, by when nothing more of an op begins
  private static final int MOST = 50; // violations that are kept; a broken day has thousands

  /** What one sidecar knows of one endpoint, from what it has read of the list. */
  private record Told(boolean inService, long atUs, long startedMs) {}

  private final LongSupplier now;
  private final long startUs;
  private final Scenario scenario;
  private final int mostPushes;
  private final Map<String, Ask> asks = new LinkedHashMap<>();
  private final Map<String, Map<String, Told>> told =
      new HashMap<>(); // by sidecar's process, by endpoint
  private final Map<String, String> effects = new HashMap<>(); // by key, where it was carried out
  private final List<long[]> stalls = new ArrayList<>(); // sidecar, from, until
  private final Map<String, Long> left =
      new HashMap<>(); // by endpoint, when the list had it that it leaves
  private final Map<String, Long> begun = new HashMap<>(); // by sidecar's process
  private final List<long[]> deaf =
      new ArrayList<>(); // from, until: times in which the list can't be reached, or tells old news
  private final List<long[]> unseen =
      new ArrayList<>(); // from, until: times in which endpoints can't see all pushes
  private final List<Violation> violations = new ArrayList<>();
  private long broken;

  /** Violations are told by the time since {@code startUs}. */
  public Oracle(LongSupplier now, long startUs, Scenario scenario) {
    this.now = now;
    this.startUs = startUs;
    this.scenario = scenario;
    mostPushes = Integer.parseInt(scenario.told().get("limits.max_pushes"));
  }

  public List<Violation> violations() {
    return violations;
  }

  public long broken() {
    return broken;
  }

  public Map<String, Ask> asks() {
    return asks;
  }

  public Ask ask(String id) {
    return id == null ? null : asks.get(id);
  }

  public void broke(Rule rule, Ask ask, String what) {
    if (broken++ < MOST) {
      violations.add(
          new Violation(now.getAsLong() - startUs, rule, ask == null ? null : ask.id, what));
    }
  }

  // ---- Clients

  public void asked(Ask ask) {
    asks.put(ask.id, ask);
  }

  /**
   * An answer has come whole, or has broken off where {@code whole} is false; its first byte was
   * sent then.
   */
  public void answered(Ask ask, int status, long sentUs, boolean whole, boolean content) {
    ask.answers++;
    if (ask.answers > 1) {
      broke(Rule.ONE_ANSWER, ask, "answer " + ask.answers + ", " + status);
      return;
    }
    ask.over = true;
    ask.status = whole ? status : 0;
    ask.answerUs = sentUs;
    long deadlineUs =
        ask.sentUs == Long.MAX_VALUE ? Long.MAX_VALUE : ask.sentUs + ask.ttlUs() + slackUs(ask);
    if (sentUs > deadlineUs) {
      broke(
          Rule.IN_TIME,
          ask,
          String.format(
              java.util.Locale.ROOT,
              "%d came %.1f ms after its TTL",
              status,
              (sentUs - ask.sentUs - ask.ttlUs()) / 1000.0));
    }
    if (status == 200 && !content) {
      broke(Rule.TRUE_CONTENT, ask, "an answer that no endpoint made for it");
    }
    if (status == 200 && whole && ask.pushes.stream().noneMatch(p -> p.taken)) {
      broke(Rule.TRUE_CONTENT, ask, "acked, and no endpoint had it");
    }
    if (!whole && ask.pushes.stream().anyMatch(p -> p.read)) {
      broke(Rule.TRUE_CONTENT, ask, "its answer was cut, and its endpoint had given all of it");
    }
    long idleUs = sentUs - ask.busyUntilUs();
    if (status != 200
        && ask.sentUs != Long.MAX_VALUE
        && idleUs > ask.targetUs() + slackUs(ask)
        && allSeen(ask.bornUs, sentUs)) {
      broke(
          Rule.NOT_HELD,
          ask,
          status + " after " + idleUs / 1000 + " ms in which nothing of it was out");
    }
    for (Ask.Push push : ask.pushes) {
      if (push.sentUs > sentUs) {
        broke(Rule.NOTHING_AFTER, ask, "a push to " + push.endpoint + " left after the answer");
      }
    }
  }

  /** Bytes that no request asked for. */
  public void unasked(Ask last, int bytes) {
    broke(Rule.ONE_ANSWER, last, bytes + " bytes that nobody asked for");
  }

  /** Its connection ended without an answer though nobody but the sidecar can have ended it. */
  public void dropped(Ask ask) {
    ask.over = true;
    broke(Rule.ONE_ANSWER, ask, "its connection ended without an answer");
  }

  /** Time is up, and nothing has come. */
  public void silent(Ask ask) {
    if (!ask.over && !ask.excused) {
      ask.over = true;
      broke(
          Rule.ONE_ANSWER,
          ask,
          "no answer " + (now.getAsLong() - ask.sentUs) / 1000 + " ms after it was sent");
    }
  }

  private long slackUs(Ask ask) {
    long slack = Math.round(scenario.rules().answerSlackMs() * 1000);
    for (long[] stall : stalls) {
      boolean during =
          stall[0] == ask.sidecar && stall[1] <= now.getAsLong() && stall[2] >= ask.bornUs;
      slack += during ? stall[2] - stall[1] : 0;
    }
    return slack;
  }

  /** A sidecar's process stands still: no fault of what it decides. */
  public void stalled(int sidecar, long fromUs, long untilUs) {
    stalls.add(new long[] {sidecar, fromUs, untilUs});
  }

  /** Connects may fail or hang, which endpoints do not see. */
  public void unseen(long fromUs, long untilUs) {
    unseen.add(new long[] {fromUs, untilUs});
  }

  private boolean allSeen(long fromUs, long untilUs) {
    return unseen.stream().noneMatch(span -> span[0] <= untilUs && span[1] >= fromUs);
  }

  // ---- The list

  /** The list has it that an endpoint is in service, or leaves. */
  public void has(String endpoint, boolean inService) {
    if (inService) {
      left.remove(endpoint);
    } else {
      left.putIfAbsent(endpoint, now.getAsLong());
    }
  }

  /** The list can't be reached, by some at the least, or tells what is old. */
  public void deaf(long fromUs, long untilUs) {
    deaf.add(new long[] {fromUs, untilUs});
  }

  /** A sidecar's process has begun. */
  public void begun(String process) {
    begun.put(process, now.getAsLong());
  }

  /**
   * From when on a process is held to it that an endpoint leaves: so long after the list had it and
   * could be reached all the time.
   */
  private long dueUs(String process, String endpoint) {
    long fromUs = Math.max(left.get(endpoint), begun.getOrDefault(process, 0L));
    for (boolean moved = true; moved; ) {
      moved = false;
      for (long[] span : deaf) {
        if (span[0] < fromUs + TOLD_US && span[1] > fromUs) {
          fromUs = span[1];
          moved = true;
        }
      }
    }
    return fromUs + TOLD_US;
  }

  /** A sidecar's process has read what the list says of an endpoint. */
  public void told(String process, String endpoint, boolean inService, long startedMs) {
    Map<String, Told> known = told.computeIfAbsent(process, p -> new HashMap<>());
    Told before = known.get(endpoint);
    if (before == null || before.inService != inService || before.startedMs != startedMs) {
      known.put(endpoint, new Told(inService, now.getAsLong(), startedMs));
    }
  }

  /** ... and that was all of them. */
  public void toldOnly(String process, java.util.Set<String> endpoints) {
    Map<String, Told> known = told.computeIfAbsent(process, p -> new HashMap<>());
    known.replaceAll(
        (id, was) ->
            endpoints.contains(id) || !was.inService
                ? was
                : new Told(false, now.getAsLong(), was.startedMs));
  }

  /** Whether a sidecar's process knows that an endpoint began anew then. */
  public boolean knowsStart(String process, String endpoint, long startedMs) {
    Told is = told.getOrDefault(process, Map.of()).get(endpoint);
    return is != null && is.startedMs == startedMs;
  }

  // ---- Endpoints

  /**
   * The head of a push has come to an endpoint; null where it belongs to no op, which is a fault.
   */
  public Ask.Push pushed(
      Ask ask, String process, String endpoint, String zone, int cell, long sentUs) {
    Ask.Push push = new Ask.Push(endpoint, zone, cell, sentUs);
    ask.pushes.add(push);
    if (ask.pushes.size() > mostPushes) {
      broke(Rule.PUSH_LIMIT, ask, "push " + ask.pushes.size() + " to " + endpoint);
    }
    if (ask.answerUs > 0 && sentUs > ask.answerUs) {
      broke(
          Rule.NOTHING_AFTER,
          ask,
          "a push to " + endpoint + " left " + (sentUs - ask.answerUs) + " us after the answer");
    }
    if (ask.sentUs != Long.MAX_VALUE && sentUs > ask.sentUs + ask.ttlUs() + slackUs(ask)) {
      broke(Rule.NOTHING_AFTER, ask, "a push to " + endpoint + " left after its TTL");
    }
    if (ask.leftUs > 0 && sentUs > ask.leftUs + GONE_US + slackUs(ask)) {
      broke(
          Rule.NOTHING_AFTER,
          ask,
          "a push to "
              + endpoint
              + " left "
              + (sentUs - ask.leftUs) / 1000
              + " ms after its client had gone");
    }
    Told is = told.getOrDefault(process, Map.of()).get(endpoint);
    if (is != null && !is.inService && sentUs > is.atUs + scenario.rules().drainSlackMs() * 1000) {
      broke(
          Rule.DRAIN_KEPT,
          ask,
          "a push to "
              + endpoint
              + " left "
              + (sentUs - is.atUs) / 1000
              + " ms after it was told to drain");
    } else if (left.containsKey(endpoint)
        && sentUs > dueUs(process, endpoint) + scenario.rules().drainSlackMs() * 1000) {
      broke(
          Rule.DRAIN_KEPT,
          ask,
          "a push to "
              + endpoint
              + " left "
              + (sentUs - dueUs(process, endpoint)) / 1000
              + " ms after its drain counted as told");
    }
    return push;
  }

  /** A push has come whole and may run from now on. */
  public void taken(Ask ask, Ask.Push push) {
    push.taken = true;
    if (ask.kind.effect().equals("idempotent")) {
      return;
    }
    for (Ask.Push before : ask.pushes) {
      if (before != push && before.taken) {
        boolean same =
            switch (ask.kind.scope()) {
              case "all" -> true;
              case "zone" -> before.zone.equals(push.zone);
              default -> before.cell == push.cell;
            };
        if (ask.kind.effect().equals("at_most_once")) {
          broke(
              Rule.NO_EFFECT_TWICE,
              ask,
              "pushed to " + before.endpoint + ", which may run it, and to " + push.endpoint);
        } else if (!same) {
          broke(
              Rule.NO_EFFECT_TWICE,
              ask,
              "pushed to "
                  + before.endpoint
                  + ", which may run it, and to "
                  + push.endpoint
                  + " of another group");
        } else if (push.sentUs - before.sentUs > ask.kind.windowMs() * 1000) {
          broke(
              Rule.NO_EFFECT_TWICE,
              ask,
              "pushed again to " + push.endpoint + " when its group had forgotten it");
        }
      }
    }
  }

  /** An op is being carried out. */
  public void effect(Ask ask, String endpoint) {
    if (!ask.kind.effect().equals("idempotent")) {
      String before = effects.putIfAbsent(ask.key, endpoint);
      if (before != null && !ask.orphan) {
        broke(Rule.NO_EFFECT_TWICE, ask, "carried out at " + before + " and again at " + endpoint);
      }
    }
  }
}
