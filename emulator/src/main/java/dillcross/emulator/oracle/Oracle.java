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
  private static final long NOTIFIED_WITHIN_US =
      6_000_000; // after which news counts as told, whether or not it was had
  private static final long GONE_US =
      100_000; // after its client's close, by when nothing more of a request begins
  private static final int MOST = 50; // violations that are kept; a broken day has thousands

  /** What one sidecar knows of one endpoint, from what it has read of the list. */
  private record Notified(boolean inService, long atUs, long startedMs) {}

  private final LongSupplier now;
  private final long startUs;
  private final Scenario scenario;
  private final int maxAttempts;
  private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
  private final Map<String, Map<String, Notified>> notified =
      new HashMap<>(); // by sidecar's process, by endpoint
  private final Map<String, String> effects = new HashMap<>(); // by key, where it was carried out
  private final List<long[]> stalls = new ArrayList<>(); // sidecar, from, until
  private final Map<String, Long> left =
      new HashMap<>(); // by endpoint, when the list had it that it leaves
  private final Map<String, Long> started = new HashMap<>(); // by sidecar's process
  private final List<long[]> deaf =
      new ArrayList<>(); // from, until: times in which the list can't be reached, or tells old news
  private final List<long[]> unseen =
      new ArrayList<>(); // from, until: times in which endpoints can't see all attempts
  private final List<Violation> violations = new ArrayList<>();
  private long broken;

  /** Violations are told by the time since {@code startUs}. */
  public Oracle(LongSupplier now, long startUs, Scenario scenario) {
    this.now = now;
    this.startUs = startUs;
    this.scenario = scenario;
    maxAttempts = Integer.parseInt(scenario.sidecarSettings().get("limits.max_pushes"));
  }

  public List<Violation> violations() {
    return violations;
  }

  public long broken() {
    return broken;
  }

  public Map<String, ObservedRequest> requests() {
    return requests;
  }

  public ObservedRequest request(String id) {
    return id == null ? null : requests.get(id);
  }

  public void broke(Rule rule, ObservedRequest request, String what) {
    if (broken++ < MOST) {
      violations.add(
          new Violation(
              now.getAsLong() - startUs, rule, request == null ? null : request.id, what));
    }
  }

  // ---- Clients

  public void requested(ObservedRequest request) {
    requests.put(request.id, request);
  }

  /**
   * An answer has come whole, or has broken off where {@code whole} is false; its first byte was
   * sent then.
   */
  public void answered(
      ObservedRequest request, int status, long sentUs, boolean complete, boolean content) {
    request.answers++;
    if (request.answers > 1) {
      broke(Rule.ONE_ANSWER, request, "answer " + request.answers + ", " + status);
      return;
    }
    request.over = true;
    request.status = complete ? status : 0;
    request.answerUs = sentUs;
    long deadlineUs =
        request.sentUs == Long.MAX_VALUE
            ? Long.MAX_VALUE
            : request.sentUs + request.timeoutUs() + slackUs(request);
    if (sentUs > deadlineUs) {
      broke(
          Rule.IN_TIME,
          request,
          String.format(
              java.util.Locale.ROOT,
              "%d came %.1f ms after its TTL",
              status,
              (sentUs - request.sentUs - request.timeoutUs()) / 1000.0));
    }
    if (status == 200 && !content) {
      broke(Rule.TRUE_CONTENT, request, "an answer that no endpoint made for it");
    }
    if (status == 200 && complete && request.attempts.stream().noneMatch(p -> p.taken)) {
      broke(Rule.TRUE_CONTENT, request, "acked, and no endpoint had it");
    }
    if (!complete && request.attempts.stream().anyMatch(p -> p.read)) {
      broke(Rule.TRUE_CONTENT, request, "its answer was cut, and its endpoint had given all of it");
    }
    long idleUs = sentUs - request.busyUntilUs();
    if (status != 200
        && request.sentUs != Long.MAX_VALUE
        && idleUs > request.targetUs() + slackUs(request)
        && allSeen(request.bornUs, sentUs)) {
      broke(
          Rule.NOT_HELD,
          request,
          status + " after " + idleUs / 1000 + " ms in which nothing of it was out");
    }
    for (ObservedRequest.Attempt attempt : request.attempts) {
      if (attempt.sentUs > sentUs) {
        broke(
            Rule.NOTHING_AFTER,
            request,
            "a push to " + attempt.endpoint + " left after the answer");
      }
    }
  }

  /** Bytes that no request asked for. */
  public void unasked(ObservedRequest last, int bytes) {
    broke(Rule.ONE_ANSWER, last, bytes + " bytes that nobody asked for");
  }

  /** Its connection ended without an answer though nobody but the sidecar can have ended it. */
  public void dropped(ObservedRequest request) {
    request.over = true;
    broke(Rule.ONE_ANSWER, request, "its connection ended without an answer");
  }

  /** Time is up, and nothing has come. */
  public void silent(ObservedRequest request) {
    if (!request.over && !request.excused) {
      request.over = true;
      broke(
          Rule.ONE_ANSWER,
          request,
          "no answer " + (now.getAsLong() - request.sentUs) / 1000 + " ms after it was sent");
    }
  }

  private long slackUs(ObservedRequest request) {
    long slack = Math.round(scenario.rules().answerSlackMs() * 1000);
    for (long[] stall : stalls) {
      boolean during =
          stall[0] == request.sidecar && stall[1] <= now.getAsLong() && stall[2] >= request.bornUs;
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
  public void started(String process) {
    started.put(process, now.getAsLong());
  }

  /**
   * From when on a process is held to it that an endpoint leaves: so long after the list had it and
   * could be reached all the time.
   */
  private long dueUs(String process, String endpoint) {
    long fromUs = Math.max(left.get(endpoint), started.getOrDefault(process, 0L));
    for (boolean moved = true; moved; ) {
      moved = false;
      for (long[] span : deaf) {
        if (span[0] < fromUs + NOTIFIED_WITHIN_US && span[1] > fromUs) {
          fromUs = span[1];
          moved = true;
        }
      }
    }
    return fromUs + NOTIFIED_WITHIN_US;
  }

  /** A sidecar's process has read what the list says of an endpoint. */
  public void notified(String process, String endpoint, boolean inService, long startedMs) {
    Map<String, Notified> known = notified.computeIfAbsent(process, p -> new HashMap<>());
    Notified before = known.get(endpoint);
    if (before == null || before.inService != inService || before.startedMs != startedMs) {
      known.put(endpoint, new Notified(inService, now.getAsLong(), startedMs));
    }
  }

  /** ... and that was all of them. */
  public void notifiedOnly(String process, java.util.Set<String> endpoints) {
    Map<String, Notified> known = notified.computeIfAbsent(process, p -> new HashMap<>());
    known.replaceAll(
        (id, was) ->
            endpoints.contains(id) || !was.inService
                ? was
                : new Notified(false, now.getAsLong(), was.startedMs));
  }

  /** Whether a sidecar's process knows that an endpoint began anew then. */
  public boolean knowsStart(String process, String endpoint, long startedMs) {
    Notified last = notified.getOrDefault(process, Map.of()).get(endpoint);
    return last != null && last.startedMs == startedMs;
  }

  // ---- Endpoints

  /**
   * The head of an attempt has come to an endpoint; null where it belongs to no request, which is a
   * fault.
   */
  public ObservedRequest.Attempt pushed(
      ObservedRequest request,
      String process,
      String endpoint,
      String zone,
      int cell,
      long sentUs) {
    ObservedRequest.Attempt attempt = new ObservedRequest.Attempt(endpoint, zone, cell, sentUs);
    request.attempts.add(attempt);
    if (request.attempts.size() > maxAttempts) {
      broke(Rule.PUSH_LIMIT, request, "push " + request.attempts.size() + " to " + endpoint);
    }
    if (request.answerUs > 0 && sentUs > request.answerUs) {
      broke(
          Rule.NOTHING_AFTER,
          request,
          "a push to "
              + endpoint
              + " left "
              + (sentUs - request.answerUs)
              + " us after the answer");
    }
    if (request.sentUs != Long.MAX_VALUE
        && sentUs > request.sentUs + request.timeoutUs() + slackUs(request)) {
      broke(Rule.NOTHING_AFTER, request, "a push to " + endpoint + " left after its TTL");
    }
    if (request.leftUs > 0 && sentUs > request.leftUs + GONE_US + slackUs(request)) {
      broke(
          Rule.NOTHING_AFTER,
          request,
          "a push to "
              + endpoint
              + " left "
              + (sentUs - request.leftUs) / 1000
              + " ms after its client had gone");
    }
    Notified last = notified.getOrDefault(process, Map.of()).get(endpoint);
    if (last != null
        && !last.inService
        && sentUs > last.atUs + scenario.rules().drainSlackMs() * 1000) {
      broke(
          Rule.DRAIN_KEPT,
          request,
          "a push to "
              + endpoint
              + " left "
              + (sentUs - last.atUs) / 1000
              + " ms after it was told to drain");
    } else if (left.containsKey(endpoint)
        && sentUs > dueUs(process, endpoint) + scenario.rules().drainSlackMs() * 1000) {
      broke(
          Rule.DRAIN_KEPT,
          request,
          "a push to "
              + endpoint
              + " left "
              + (sentUs - dueUs(process, endpoint)) / 1000
              + " ms after its drain counted as told");
    }
    return attempt;
  }

  /** An attempt has come whole and may run from now on. */
  public void taken(ObservedRequest request, ObservedRequest.Attempt attempt) {
    attempt.taken = true;
    if (request.requestClass.effect().equals("idempotent")) {
      return;
    }
    for (ObservedRequest.Attempt before : request.attempts) {
      if (before != attempt && before.taken) {
        boolean same =
            switch (request.requestClass.scope()) {
              case "all" -> true;
              case "zone" -> before.zone.equals(attempt.zone);
              default -> before.cell == attempt.cell;
            };
        if (request.requestClass.effect().equals("at_most_once")) {
          broke(
              Rule.NO_EFFECT_TWICE,
              request,
              "pushed to " + before.endpoint + ", which may run it, and to " + attempt.endpoint);
        } else if (!same) {
          broke(
              Rule.NO_EFFECT_TWICE,
              request,
              "pushed to "
                  + before.endpoint
                  + ", which may run it, and to "
                  + attempt.endpoint
                  + " of another group");
        } else if (attempt.sentUs - before.sentUs > request.requestClass.windowMs() * 1000) {
          broke(
              Rule.NO_EFFECT_TWICE,
              request,
              "pushed again to " + attempt.endpoint + " when its group had forgotten it");
        }
      }
    }
  }

  /** A request is being carried out. */
  public void effect(ObservedRequest request, String endpoint) {
    if (!request.requestClass.effect().equals("idempotent")) {
      String before = effects.putIfAbsent(request.key, endpoint);
      if (before != null && !request.orphan) {
        broke(
            Rule.NO_EFFECT_TWICE,
            request,
            "carried out at " + before + " and again at " + endpoint);
      }
    }
  }
}
