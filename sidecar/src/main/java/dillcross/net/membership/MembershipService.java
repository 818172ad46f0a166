package dillcross.net.membership;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.common.NumericAddress;
import dillcross.membership.Member;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Membership;
import dillcross.membership.MembershipCounters;
import dillcross.membership.OutboundPacket;
import dillcross.membership.Packet;
import dillcross.net.transport.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Logger;

/**
 * Sends and receives the datagrams of a {@link Membership}, logs its changes, and renders it as
 * JSON for operators. Belongs to the selector thread.
 */
public final class MembershipService implements Network.DatagramHandler {
  private static final Logger LOG = Logger.getLogger(MembershipService.class.getName());
  private static final int MIN_BUFFER_BYTES = 1500;
  private static final int FRAME_BYTES = 128; // at most, for the fleet's name and the CBOR framing
  private static final long LOG_INTERVAL_US = 500_000; // changes within it share one log line
  private static final int MAX_LOGGED_CHANGES = 8;
  private static final int MICROS_PER_MILLI = 1000;

  private final Membership membership;
  private final PacketCodec codec;
  private final InetSocketAddress bindAddress;
  private final byte[] buffer;
  private final DatagramLimiter limiter = new DatagramLimiter();
  private final Map<String, MemberState> loggedStates = new HashMap<>();
  private Network.DatagramTransport transport;
  private long nowUs; // the time that the selector loop last passed in
  private long loggedUs;
  private long malformed; // datagrams that could not be decoded
  private long flooded; // datagrams that were dropped unread by the limiter
  private boolean hasChanged; // since the last check for changes to log

  /**
   * Creates a service whose socket is not open yet.
   *
   * @param datagramBytes maximum bytes of a packet, without the name of the fleet
   */
  public MembershipService(
      Membership membership, PacketCodec codec, InetSocketAddress bindAddress, int datagramBytes) {
    this.membership = membership;
    this.codec = codec;
    this.bindAddress = bindAddress;
    buffer = new byte[Math.max(MIN_BUFFER_BYTES, datagramBytes + FRAME_BYTES)];
  }

  /**
   * Binds the datagram socket.
   *
   * @throws IOException if the address cannot be bound
   */
  public void open(Network network) throws IOException {
    transport = network.bindDatagrams(bindAddress, buffer.length, this);
    MemberRecord self = membership.self();
    LOG.info(
        () ->
            "membership on "
                + transport.address()
                + " as "
                + self.name()
                + " at "
                + self.address());
  }

  @Override
  public void onDatagram(InetSocketAddress sender, ByteBuffer bytes) {
    String address = NumericAddress.format(sender);
    if (!limiter.tryAcquire(membership.hasLiveAddress(address))) {
      flooded++;
      return;
    }
    int length = Math.min(bytes.remaining(), buffer.length);
    bytes.get(buffer, 0, length);
    Optional<Packet> packet = codec.decode(buffer, 0, length);
    if (packet.isEmpty()) {
      malformed++;
    } else {
      membership.onPacket(nowUs, packet.get());
      hasChanged = true;
    }
  }

  /** Sets the time at which this iteration's datagrams count as received; call before them. */
  public void beforeEvents(long nowUs) {
    this.nowUs = nowUs;
    limiter.refill(nowUs);
  }

  /** Does the periodic work that is due, sends the queued packets, and logs changes. */
  public void afterEvents(long nowUs) {
    this.nowUs = nowUs;
    if (nowUs >= membership.nextDueUs()) {
      membership.onTime(nowUs);
      hasChanged = true;
    }
    sendPackets();
    if (hasChanged && nowUs - loggedUs > LOG_INTERVAL_US) {
      loggedUs = nowUs;
      hasChanged = false;
      logChanges();
    }
  }

  private void sendPackets() {
    OutboundPacket next = membership.next();
    while (next != null) {
      InetSocketAddress receiver = NumericAddress.parse(next.receiver()).orElseThrow();
      transport.send(receiver, codec.encode(next.packet()));
      next = membership.next();
    }
  }

  private void logChanges() {
    List<String> changes = new ArrayList<>();
    Map<String, MemberState> states = new HashMap<>();
    for (Member member : membership.members()) {
      String name = member.record().name();
      MemberState state = member.record().state();
      states.put(name, state);
      if (loggedStates.get(name) != state && changes.size() < MAX_LOGGED_CHANGES) {
        changes.add(name + " " + stateName(state));
      }
    }
    loggedStates.clear();
    loggedStates.putAll(states);
    if (!changes.isEmpty()) {
      int live = membership.liveCount();
      LOG.info(() -> "members: " + String.join(", ", changes) + "; " + live + " others live");
    }
  }

  /** Announces to other members that this one leaves. */
  public void leave(long nowUs) {
    membership.leave(nowUs);
    sendPackets();
  }

  /** The time at which {@link #afterEvents} has to be called, in microseconds. */
  public long nextDueUs() {
    return membership.nextDueUs();
  }

  private static String stateName(MemberState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }

  /**
   * The membership as JSON, for operators: this member, each other member with its state and the
   * time spent in it, and the counters.
   */
  public byte[] view() {
    Map<String, Object> view = new LinkedHashMap<>();
    Map<String, Object> self = row(membership.self());
    self.put("health", membership.localHealth());
    view.put("self", self);
    List<Object> members = new ArrayList<>();
    for (Member member : membership.members()) {
      Map<String, Object> row = row(member.record());
      row.put("for_ms", Math.max(0, nowUs - member.sinceUs()) / MICROS_PER_MILLI);
      members.add(row);
    }
    view.put("members", members);
    view.put("counts", counts());
    try {
      return JSON.std.asString(view).getBytes(StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException(e); // not expected, as the JSON is written to memory
    }
  }

  private Map<String, Object> counts() {
    MembershipCounters counters = membership.counters();
    Map<String, Object> counts = new LinkedHashMap<>();
    counts.put("sent", counters.sent());
    counts.put("bytes", counters.bytes());
    counts.put("heard", counters.received());
    counts.put("probes", counters.probes());
    counts.put("unanswered", counters.unanswered());
    counts.put("suspicions", counters.suspicions());
    counts.put("deaths", counters.deaths());
    counts.put("refuted", counters.refutations());
    counts.put("paused", counters.pauses());
    counts.put("collisions", counters.collisions());
    counts.put("refused", counters.refusedMembers());
    counts.put("muted", counters.suppressedReplies());
    counts.put("malformed", malformed);
    counts.put("flooded", flooded);
    return counts;
  }

  private static Map<String, Object> row(MemberRecord record) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("name", record.name());
    row.put("state", stateName(record.state()));
    row.put("zone", record.zone());
    row.put("address", record.address());
    row.put("boot", record.boot());
    row.put("incarnation", record.incarnation());
    return row;
  }
}
