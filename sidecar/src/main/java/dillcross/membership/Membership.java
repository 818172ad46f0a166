package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who else is there: SWIM's probes, suspicion and incarnations with Lifeguard's local health,
 * without leader or agreement. No I/O, no clock, no threads. How to call it: tell it what came
 * ({@link #received}) and that time passes ({@link #tick}), each with a clock in microseconds that
 * never goes back; then pull {@link #next} until it is null and send each packet. {@link #dueUs}
 * says when it wants to be told of time again; told much later it takes itself for paused.
 * docs/membership.md has the protocol and its bounds.
 */
public final class Membership {
  private static final int HELPERS = 3; // who are asked to probe in our place
  private static final double SUSPECTED =
      4; // intervals, times the logarithm of the size: the shortest suspicion
  private static final double ALONE = 4; // times that, where nobody else suspects it
  private static final int CONFIRM = 3; // others that make it the shortest
  private static final int WORST = 8; // local health: how many times slower we judge
  private static final int TELLS = 3; // times the logarithm of the size that news are told by each
  private static final int SYNC = 10; // intervals between two digests
  private static final int REACH = 4; // ... between two tries to reach one who was lost
  private static final int DEAD_KEPT = 600; // ... that the dead are remembered
  private static final int BUCKETS = 32; // of a digest
  private static final int ANSWERS = 3; // datagrams to one digest, at the most
  private static final int RELAYS = 64; // probes for others at a time
  private static final long LARGEST = 1L << 60; // boots and incarnations beyond are not believed

  /** What is held of another. */
  private static final class Held {
    Claim claim;
    long sinceUs;
    long deadUs; // when a suspect is given up
    long suspectedUs;
    final Set<String> accusers = new HashSet<>(); // CONFIRM and one at the most
    final Map<Integer, Payload> payloads = new TreeMap<>();

    Held(Claim claim) {
      this.claim = claim;
    }
  }

  /** Our probe that is out, or one that we make for another. */
  private static final class Probe {
    final Claim of;
    long helpUs; // when others are asked
    long endUs;
    boolean helped;
    int unheard; // helpers that answered at all
    int helpers;
    final String asker; // null where it is ours
    final long askersSequence;

    Probe(Claim of, String asker, long askersSequence) {
      this.of = of;
      this.asker = asker;
      this.askersSequence = askersSequence;
    }
  }

  /** What was counted since the start. */
  public static final class Counts {
    public long sent;
    public long bytes;
    public long heard;
    public long probes;
    public long unanswered;
    public long suspicions;
    public long deaths; // that were found here
    public long refuted; // what was said of us
    public long paused; // times that we found ourselves late
    public long collisions;
    public long refused; // members that found no room
    public long muted; // answers not given, for want of bytes
  }

  private final Random random;
  private final long intervalUs;
  private final long timeoutUs;
  private final int most;
  private final int datagram;
  private final double bytesPerUs;
  private final List<String> seeds;
  private final Map<String, Held> table = new LinkedHashMap<>();
  private final Rumours rumours = new Rumours();
  private final Map<Long, Probe> probes =
      new LinkedHashMap<>(); // by sequence; ours and those for others
  private final Map<Integer, Payload> own = new TreeMap<>();
  private final ArrayDeque<Sent> ready = new ArrayDeque<>();
  private final ArrayDeque<String> round = new ArrayDeque<>(); // whom to probe next
  private final Set<String> addresses = new HashSet<>(); // of live members
  private final Counts counts = new Counts();
  private Claim self;
  private long now;
  private long expectedUs = Long.MAX_VALUE; // when we asked to be told of time
  private long probeUs;
  private long syncUs;
  private long reachUs;
  private long sequence;
  private int health; // 0 is well
  private int live; // others that are
  private double budget; // bytes that may go out now
  private long budgetUs;
  private int turned; // which part of a bucket is told next
  private boolean gone;

  /**
   * @param boot microseconds since 1970 at the start of this process
   * @param seeds addresses that are asked until somebody answers, and again when nobody there is
   *     known any more
   * @param intervalUs between two probes
   * @param timeoutUs for an answer until others are asked to probe; less than half the interval
   * @param most members that are kept, the remembered dead among them
   * @param datagram bytes of the largest packet, the name of the fleet not counted
   * @param bytesPerS that are sent in the mean, at the most
   */
  public Membership(
      long seed,
      long nowUs,
      String name,
      String address,
      String zone,
      long boot,
      List<String> seeds,
      long intervalUs,
      long timeoutUs,
      int most,
      int datagram,
      long bytesPerS) {
    random = new Random(seed);
    self = new Claim(name, address, zone, boot, 0, State.ALIVE, "");
    this.seeds = List.copyOf(seeds);
    this.intervalUs = intervalUs;
    this.timeoutUs = timeoutUs;
    this.most = most;
    this.datagram = datagram;
    bytesPerUs = bytesPerS / 1e6;
    now = nowUs;
    budget = bytesPerS;
    budgetUs = nowUs;
    probeUs =
        nowUs + (long) (0.2 * intervalUs * random.nextDouble()); // all may have started at once
    syncUs = probeUs + SYNC * intervalUs;
    reachUs = probeUs;
    rumours.add(self);
  }

  // ======== Inputs

  /** A packet has come from there. */
  public void received(long nowUs, String address, Packet packet) {
    passes(nowUs);
    counts.heard++;
    if (gone
        || packet.from().name().equals(self.name())
            && packet.from().boot() == self.boot()
            && packet.from().address().equals(self.address())) {
      return; // our own
    }
    boolean alone = live == 0;
    hear(packet.from());
    packet.claims().forEach(this::hear);
    packet.payloads().forEach(this::hear);
    String to = packet.from().address();
    Claim known = about(packet.from());
    switch (packet.kind()) {
      case PING -> answer(to, Packet.Kind.ACK, packet.sequence(), null, known);
      case PROBE -> relay(packet);
      case ACK -> acked(packet);
      case UNHEARD -> {
        Probe probe = probes.get(packet.sequence());
        if (probe != null && probe.asker == null) {
          probe.unheard++;
        }
      }
      case DIGEST, TOLD -> compare(to, packet);
    }
    if (alone && live > 0) { // the first that we hear of: what it holds we want now
      send(to, Packet.Kind.DIGEST, 0, null, digest(), List.of());
    }
  }

  /** Time has passed. */
  public void tick(long nowUs) {
    passes(nowUs);
    if (gone) {
      expectedUs = Long.MAX_VALUE;
      return;
    }
    for (long number : List.copyOf(probes.keySet())) {
      Probe probe = probes.get(number);
      if (probe.asker == null && !probe.helped && now >= probe.helpUs) {
        ask(number, probe);
      }
      if (now >= probe.endUs) {
        probes.remove(number);
        ended(probe);
      }
    }
    for (Held held : List.copyOf(table.values())) {
      if (held.claim.state() == State.SUSPECT && now >= held.deadUs) {
        counts.deaths++;
        change(held, held.claim.as(State.DEAD, ""));
      } else if (!held.claim.state().live() && now - held.sinceUs >= DEAD_KEPT * intervalUs) {
        forget(held);
      }
    }
    if (now >= probeUs) {
      probeUs = now + (long) (intervalUs * (1 + health) * (0.9 + 0.2 * random.nextDouble()));
      probe();
    }
    if (now >= reachUs) {
      reachUs = now + (long) (intervalUs * (live == 0 ? 1 : REACH) * (0.5 + random.nextDouble()));
      reach();
    }
    if (now >= syncUs) {
      syncUs = now + (long) (SYNC * intervalUs * (0.5 + random.nextDouble()));
      List<Claim> others = others();
      if (!others.isEmpty()) {
        send(
            others.get(random.nextInt(others.size())).address(),
            Packet.Kind.DIGEST,
            0,
            null,
            digest(),
            List.of());
      }
    }
    expectedUs = due();
  }

  /** Says good-bye: some are told, and tell the others. Nothing is answered from here on. */
  public void leave(long nowUs) {
    passes(nowUs);
    if (!gone) {
      self = self.as(State.LEFT, "");
      List<Claim> others = new ArrayList<>(others());
      Collections.shuffle(others, random);
      others.stream()
          .limit(2 * HELPERS)
          .forEach(c -> send(c.address(), Packet.Kind.ACK, 0, null, new int[0], List.of()));
      gone = true;
    }
  }

  /** Has all hear a word of another part; it takes the place of the last one of its type. */
  public void publish(long nowUs, int type, byte[] bytes) {
    passes(nowUs);
    if (type < 0 || type >= Payload.MOST_TYPES || bytes.length > Payload.MOST_BYTES) {
      throw new IllegalArgumentException("type " + type + " of " + bytes.length + " bytes");
    }
    Payload last = own.get(type);
    Payload next =
        new Payload(
            self.name(), self.boot(), type, last == null ? 1 : last.version() + 1, bytes.clone());
    own.put(type, next);
    rumours.add(next);
  }

  // ======== Outputs

  /** The next packet to send, or null. */
  public Sent next() {
    return ready.poll();
  }

  /** When time has to be told at the latest, by the clock that is told. */
  public long dueUs() {
    return ready.isEmpty() ? expectedUs == Long.MAX_VALUE && !gone ? now : expectedUs : now;
  }

  public Claim self() {
    return self;
  }

  /** All others that are held, in the order in which they were first heard of. */
  public List<Member> members() {
    return table.values().stream().map(h -> new Member(h.claim, h.sinceUs)).toList();
  }

  /** How many others are alive or suspect. */
  public int live() {
    return live;
  }

  /** Whether a live member is at that address. */
  public boolean knows(String address) {
    return addresses.contains(address);
  }

  /** The newest word of that type from another; null where there is none. */
  public Payload payload(String origin, int type) {
    Held held = table.get(origin);
    return held == null ? null : held.payloads.get(type);
  }

  /** 0 is well; each more makes our own verdicts slower by as much again. */
  public int health() {
    return health;
  }

  public Counts counts() {
    return counts;
  }

  // ======== Time

  /**
   * One that was paused or starved finds all its timers run out at once. What it did not hear
   * meanwhile is no word on others, so all that waits for an answer waits on, and it judges slowly
   * for a while. Guards too against a clock that is told late.
   */
  private void passes(long nowUs) {
    now = Math.max(now, nowUs);
    long late = expectedUs == Long.MAX_VALUE ? 0 : now - expectedUs;
    if (late > timeoutUs / 2) {
      counts.paused++;
      health = Math.min(WORST, health + 1 + (int) (late / intervalUs));
      probes
          .values()
          .removeIf(p -> p.asker == null); // its answer may be lost in our own full buffer
      table.values().forEach(h -> h.deadUs += late + intervalUs);
      probeUs = now + (long) (intervalUs * random.nextDouble());
      expectedUs = now;
    }
    budget = Math.min(1e6 * bytesPerUs, budget + (now - budgetUs) * bytesPerUs);
    budgetUs = now;
  }

  private long due() {
    long due = Math.min(probeUs, Math.min(syncUs, reachUs));
    for (Probe probe : probes.values()) {
      due =
          Math.min(
              due,
              probe.helped || probe.asker != null
                  ? probe.endUs
                  : Math.min(probe.helpUs, probe.endUs));
    }
    for (Held held : table.values()) {
      if (held.claim.state() == State.SUSPECT) {
        due = Math.min(due, held.deadUs);
      }
    }
    return due;
  }

  // ======== Probes

  private void probe() {
    Held held = null;
    for (int i = 0; i <= table.size() && held == null; i++) {
      if (round.isEmpty()) {
        List<String> names = new ArrayList<>(table.keySet());
        Collections.shuffle(names, random);
        round.addAll(names);
      }
      Held one = round.isEmpty() ? null : table.get(round.poll());
      held = one != null && one.claim.state().live() ? one : null;
    }
    if (held != null) {
      counts.probes++;
      Probe probe = new Probe(held.claim, null, 0);
      probe.helpUs = now + timeoutUs * (1 + health);
      probe.endUs =
          Math.max(now + (long) (0.85 * intervalUs) * (1 + health), probe.helpUs + timeoutUs);
      probes.put(++sequence, probe);
      ping(held.claim, sequence);
    }
  }

  /** What we hold against it goes along, so that it can refute it. */
  private void ping(Claim to, long number) {
    send(
        to.address(),
        Packet.Kind.PING,
        number,
        null,
        new int[0],
        to.state() == State.ALIVE ? List.of() : List.of(to));
  }

  /** Others see other paths: those of other zones first, one of each. */
  private void ask(long number, Probe probe) {
    probe.helped = true;
    List<Claim> others =
        new ArrayList<>(
            others().stream()
                .filter(c -> !c.name().equals(probe.of.name()) && c.state() == State.ALIVE)
                .toList());
    Collections.shuffle(others, random);
    Map<String, Integer> ofZone = new HashMap<>();
    Map<Claim, Integer> rank = new HashMap<>();
    others.forEach(
        c ->
            rank.put(
                c,
                ofZone.merge(c.zone(), 1, Integer::sum) * 2
                    + (c.zone().equals(self.zone()) ? 1 : 0)));
    others.sort(Comparator.comparing(rank::get));
    for (Claim helper : others.subList(0, Math.min(HELPERS, others.size()))) {
      probe.helpers++;
      send(helper.address(), Packet.Kind.PROBE, number, probe.of, new int[0], List.of());
    }
    ping(probe.of, number); // the first may have been lost alone
  }

  private void relay(Packet packet) {
    long forOthers = probes.values().stream().filter(p -> p.asker != null).count();
    if (packet.about() != null && forOthers < RELAYS && budget > 0) {
      Probe probe = new Probe(packet.about(), packet.from().address(), packet.sequence());
      probe.endUs = now + timeoutUs;
      probes.put(++sequence, probe);
      ping(packet.about(), sequence);
    } else {
      counts.muted++;
    }
  }

  private void acked(Packet packet) {
    Probe probe = probes.get(packet.sequence());
    boolean helper = probe != null && probe.asker == null && probe.helped;
    if (probe == null
        || !packet.from().name().equals(probe.of.name()) && !(helper && told(packet, probe))) {
      return; // too late, or somebody else lives at that address now
    }
    probes.remove(packet.sequence());
    if (probe.asker != null) {
      Held held = table.get(probe.of.name()); // its own word goes along as the proof
      answer(
          probe.asker,
          Packet.Kind.ACK,
          probe.askersSequence,
          packet.from(),
          held == null ? null : held.claim);
    } else {
      health = Math.max(0, health - 1);
    }
  }

  /** Whether a helper brings the word of whom we probe. */
  private static boolean told(Packet packet, Probe probe) {
    return packet.about() != null
        && packet.about().name().equals(probe.of.name())
        && packet.about().boot() >= probe.of.boot();
  }

  private void ended(Probe probe) {
    if (probe.asker != null) {
      answer(probe.asker, Packet.Kind.UNHEARD, probe.askersSequence, null, null);
      return;
    }
    counts.unanswered++;
    // Helpers that did not even say that they heard nothing: then it is rather us who hear nothing.
    health =
        Math.min(
            WORST, health + (probe.helpers == 0 ? 1 : Math.max(0, probe.helpers - probe.unheard)));
    Held held = table.get(probe.of.name());
    if (held != null
        && held.claim.boot() == probe.of.boot()
        && held.claim.incarnation() == probe.of.incarnation()
        && held.claim.state().live()) {
      counts.suspicions += held.claim.state() == State.ALIVE ? 1 : 0;
      hear(
          held.claim.as(
              State.SUSPECT, self.name())); // where another said so before us it confirms that
    }
  }

  /**
   * One who was lost may be there again, and nobody else would ask: a part that was cut off for
   * long, or a seed.
   */
  private void reach() {
    List<String> lost =
        new ArrayList<>(
            table.values().stream()
                .filter(h -> h.claim.state() == State.DEAD)
                .map(h -> h.claim.address())
                .toList());
    seeds.stream()
        .filter(s -> !s.equals(self.address()) && !addresses.contains(s))
        .forEach(lost::add);
    Collections.shuffle(lost, random);
    for (String address : lost.subList(0, Math.min(live == 0 ? 2 * HELPERS : 1, lost.size()))) {
      List<Claim> held =
          table.values().stream()
              .map(h -> h.claim)
              .filter(c -> c.state() == State.DEAD && c.address().equals(address))
              .limit(1)
              .toList();
      send(address, Packet.Kind.PING, 0, null, new int[0], held);
    }
  }

  // ======== The table

  private void hear(Claim claim) {
    if (claim.boot() > LARGEST || claim.incarnation() > LARGEST) {
      return;
    }
    if (claim.name().equals(self.name())) {
      ofUs(claim);
      return;
    }
    Held held = table.get(claim.name());
    if (held == null) {
      if (claim.state().live() && room()) { // of the dead only who knew them keeps a word
        held = new Held(claim);
        table.put(claim.name(), held);
        round.add(claim.name());
        change(held, claim);
      }
    } else if (claim.supersedes(held.claim)) {
      if (claim.boot() != held.claim.boot()) {
        held.payloads.clear();
      }
      change(held, claim);
    } else if (claim.state() == State.SUSPECT
        && held.claim.state() == State.SUSPECT
        && claim.boot() == held.claim.boot()
        && claim.incarnation() == held.claim.incarnation()
        && held.accusers.size() <= CONFIRM
        && held.accusers.add(claim.by())) {
      held.deadUs = held.suspectedUs + suspicion(held.accusers.size() - 1);
      rumours.add(claim);
    }
  }

  private void hear(Payload payload) {
    Held held = table.get(payload.origin());
    if (held != null
        && payload.boot() == held.claim.boot()
        && payload.type() >= 0
        && payload.type() < Payload.MOST_TYPES
        && payload.bytes().length <= Payload.MOST_BYTES) {
      Payload last = held.payloads.get(payload.type());
      if (last == null || payload.supersedes(last)) {
        held.payloads.put(payload.type(), payload);
        rumours.add(payload);
      }
    }
  }

  /** What is said of our name. */
  private void ofUs(Claim claim) {
    boolean same = claim.address().equals(self.address());
    boolean older =
        claim.boot() < self.boot()
            || claim.boot() == self.boot()
                && !same
                && claim.address().compareTo(self.address()) < 0;
    if (claim.boot() == self.boot() && same) {
      if (claim.state() != State.ALIVE && claim.incarnation() >= self.incarnation()) {
        counts.refuted++;
        health = Math.min(WORST, health + 1);
        raise(self.boot(), claim.incarnation() + 1);
      } else if (claim.incarnation() > self.incarnation()) {
        raise(self.boot(), claim.incarnation());
      }
    } else if (older) {
      rumours.add(self); // of who had the name before us
    } else if (same || !claim.state().live()) { // ourselves, before the wall clock went back
      raise(claim.boot() + 1, 0);
    } else { // two processes bear the name: who came first, by its own clock, goes by another from
      // now on
      counts.collisions++;
      String name =
          self.name().replaceAll("~.*", "") + "~" + Long.toHexString(self.boot() & 0xffffffL);
      self =
          new Claim(
              name,
              self.address(),
              self.zone(),
              self.boot(),
              self.incarnation() + 1,
              self.state(),
              "");
      rumours.add(self);
      own.replaceAll((type, p) -> new Payload(name, p.boot(), type, p.version(), p.bytes()));
      own.values().forEach(rumours::add);
      hear(claim);
    }
  }

  private void raise(long boot, long incarnation) {
    self = new Claim(self.name(), self.address(), self.zone(), boot, incarnation, self.state(), "");
    own.replaceAll((type, p) -> new Payload(p.origin(), boot, type, p.version(), p.bytes()));
    rumours.add(self);
  }

  private void change(Held held, Claim claim) {
    Claim was = held.claim;
    held.claim = claim;
    held.sinceUs = now;
    held.accusers.clear();
    if (claim.state() == State.SUSPECT) {
      held.accusers.add(claim.by());
      held.suspectedUs = now;
      held.deadUs = now + suspicion(0);
    } else if (!claim.state().live()) {
      held.payloads.clear();
    }
    rumours.add(claim);
    if (was == claim
        || was.state().live() != claim.state().live()
        || !was.address().equals(claim.address())) {
      count();
    }
  }

  private void count() {
    addresses.clear();
    List<Claim> others = others();
    others.forEach(c -> addresses.add(c.address()));
    live = others.size();
  }

  /**
   * Long enough for a refutation to come round, and longer while we alone say so or are not well
   * ourselves.
   */
  private long suspicion(int confirmed) {
    double least = SUSPECTED * intervalUs * Math.max(1, Math.log10(live + 1.0));
    double share = Math.log(Math.min(CONFIRM, confirmed) + 1.0) / Math.log(CONFIRM + 1.0);
    return (long) ((ALONE * least - (ALONE - 1) * least * share) * (1 + Math.min(1, health)));
  }

  private boolean room() {
    if (table.size() >= most) {
      Held oldest =
          table.values().stream()
              .filter(h -> !h.claim.state().live())
              .min(Comparator.comparingLong(h -> h.sinceUs))
              .orElse(null);
      if (oldest == null) {
        counts.refused++;
        return false;
      }
      forget(oldest);
    }
    return true;
  }

  private void forget(Held held) {
    table.remove(held.claim.name());
    rumours.forget(held.claim.name());
  }

  private List<Claim> others() {
    return table.values().stream().map(h -> h.claim).filter(c -> c.state().live()).toList();
  }

  /** What we hold against one who spoke to us, for it to refute; null where nothing. */
  private Claim about(Claim speaker) {
    Held held = table.get(speaker.name());
    return held == null || !held.claim.supersedes(speaker) ? null : held.claim;
  }

  // ======== Digests

  private int[] digest() {
    int[] sums = new int[BUCKETS];
    for (Held held : table.values()) {
      if (held.claim.state().live()) { // the dead are forgotten at times of each one's own
        add(sums, held.claim, held.payloads);
      }
    }
    add(sums, self, own);
    return sums;
  }

  private static void add(int[] sums, Claim claim, Map<Integer, Payload> payloads) {
    long mix =
        claim.name().hashCode() * 31L
            + claim.boot() * 0x9E3779B97F4A7C15L
            + claim.incarnation() * 0xC2B2AE3D27D4EB4FL;
    for (Payload payload : payloads.values()) {
      mix += (payload.version() * 8 + payload.type()) * 0x165667B19E3779F9L;
    }
    mix = (mix ^ mix >>> 29) * 0xBF58476D1CE4E5B9L;
    sums[bucket(claim.name())] += (int) (mix >>> 32);
  }

  private static int bucket(String name) {
    int hash = name.hashCode() * 0x9E3779B9;
    return hash >>> 27;
  }

  /**
   * Tells what is in the buckets that differ, as far as some datagrams carry it, another part of it
   * each time.
   */
  private void compare(String to, Packet packet) {
    if (packet.digest().length != BUCKETS) {
      return;
    }
    int[] own = digest();
    List<Held> differ =
        new ArrayList<>(
            table.values().stream()
                .filter(h -> own[bucket(h.claim.name())] != packet.digest()[bucket(h.claim.name())])
                .toList());
    boolean wants =
        packet.kind() == Packet.Kind.DIGEST && !java.util.Arrays.equals(own, packet.digest());
    if (differ.isEmpty() && !wants) {
      return;
    }
    Collections.rotate(differ, -(differ.isEmpty() ? 0 : turned % differ.size()));
    ArrayDeque<Held> rest = new ArrayDeque<>(differ);
    for (int i = 0; i < ANSWERS && budget > 0 && (i == 0 || !rest.isEmpty()); i++) {
      int[] with = i == 0 && wants ? own : new int[0];
      List<Claim> claims = new ArrayList<>();
      List<Payload> payloads = new ArrayList<>();
      int room =
          datagram - new Packet(Packet.Kind.TOLD, 0, self, null, with, List.of(), List.of()).size();
      for (Held held; (held = rest.peek()) != null; ) {
        int size =
            held.claim.size() + held.payloads.values().stream().mapToInt(Payload::size).sum();
        if (size > room && !claims.isEmpty()) {
          break;
        }
        room -= held.claim.size();
        claims.add(held.claim);
        for (Payload payload : held.payloads.values()) {
          room -= payload.size();
          if (room >= 0) {
            payloads.add(payload);
          }
        }
        rest.poll();
        turned++;
      }
      if (i == 0) {
        for (Payload payload : this.own.values()) {
          room -= payload.size();
          if (room >= 0) {
            payloads.add(payload);
          }
        }
      }
      put(to, new Packet(Packet.Kind.TOLD, 0, self, null, with, claims, payloads));
    }
  }

  // ======== Sending

  /** An answer; not given while others make us send more than we may. */
  private void answer(String to, Packet.Kind kind, long number, Claim about, Claim first) {
    if (budget > 0) {
      send(to, kind, number, about, new int[0], first == null ? List.of() : List.of(first));
    } else {
      counts.muted++;
    }
  }

  /** What there is of news rides along while the budget has bytes for it. */
  private void send(
      String to, Packet.Kind kind, long number, Claim about, int[] digest, List<Claim> first) {
    List<Claim> claims = new ArrayList<>(first);
    List<Payload> payloads = new ArrayList<>();
    int room =
        (int) Math.min(datagram, Math.max(0, budget))
            - new Packet(kind, number, self, about, digest, claims, payloads).size();
    int times = TELLS * (int) Math.ceil(Math.log(live + 2.0) / Math.log(2));
    rumours.take(Math.max(0, room), times, claims, payloads);
    put(to, new Packet(kind, number, self, about, digest, claims, payloads));
  }

  private void put(String to, Packet packet) {
    int size = packet.size();
    budget -= size;
    counts.sent++;
    counts.bytes += size;
    ready.add(new Sent(to, packet));
  }
}
