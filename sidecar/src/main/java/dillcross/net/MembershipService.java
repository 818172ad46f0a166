package dillcross.net;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.common.NumericAddress;
import dillcross.membership.Claim;
import dillcross.membership.Member;
import dillcross.membership.Membership;
import dillcross.membership.Packet;
import dillcross.membership.Sent;
import dillcross.membership.State;
import dillcross.net.transport.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * The datagrams of a membership, in and out, on the one thread; and its view, for the admin
 * endpoint.
 */
public final class MembershipService implements Network.DatagramHandler {
  private static final Logger LOG = Logger.getLogger(MembershipService.class.getName());
  private static final double FROM_MEMBERS =
      2000; // datagrams a second that are read: at most some hundredths of a core
  private static final double FROM_OTHERS = 100;
  private static final long TOLD_US = 500_000; // changes are logged together

  private final Membership membership;
  private final PacketCodec codec;
  private final InetSocketAddress at;
  private final Map<String, State> logged = new HashMap<>();
  private final byte[] space;
  private Network.DatagramTransport datagrams;
  private double known = FROM_MEMBERS / 10;
  private double unknown = FROM_OTHERS / 2;
  private long allowedUs;
  private long now;
  private long loggedUs;
  private long malformed;
  private long flooded;
  private boolean changed;

  public MembershipService(
      Membership membership, PacketCodec codec, InetSocketAddress at, int datagram) {
    this.membership = membership;
    this.codec = codec;
    this.at = at;
    space = new byte[Math.max(1500, datagram + 128)];
  }

  void open(Network network) throws IOException {
    datagrams = network.bindDatagrams(at, space.length, this);
    LOG.info(
        () ->
            "membership on "
                + datagrams.address()
                + " as "
                + membership.self().name()
                + " at "
                + membership.self().address());
  }

  /**
   * What comes faster is thrown away unread: a flood must not take the thread from the ops.
   * Members' own addresses have room of their own.
   */
  @Override
  public void onDatagram(InetSocketAddress from, java.nio.ByteBuffer bytes) {
    String address = NumericAddress.format(from);
    boolean ours = membership.knows(address);
    if ((ours ? known : unknown) < 1) {
      flooded++;
      return;
    }
    known -= ours ? 1 : 0;
    unknown -= ours ? 0 : 1;
    int length = Math.min(bytes.remaining(), space.length);
    bytes.get(space, 0, length);
    Packet packet = codec.read(space, 0, length);
    if (packet == null) {
      malformed++;
    } else {
      membership.received(now, address, packet);
      changed = true;
    }
  }

  /** Before what has come is read. */
  void beforeEvents(long nowUs) {
    now = nowUs;
    long passed = nowUs - allowedUs;
    allowedUs = nowUs;
    known = Math.min(FROM_MEMBERS / 10, known + passed * FROM_MEMBERS / 1e6);
    unknown = Math.min(FROM_OTHERS / 2, unknown + passed * FROM_OTHERS / 1e6);
  }

  void afterEvents(long nowUs) {
    now = nowUs;
    if (nowUs >= membership.dueUs()) {
      membership.tick(nowUs);
      changed = true;
    }
    flush();
    if (changed && nowUs - loggedUs > TOLD_US) {
      loggedUs = nowUs;
      changed = false;
      tell();
    }
  }

  private void flush() {
    for (Sent sent; (sent = membership.next()) != null; ) {
      datagrams.send(NumericAddress.parse(sent.to()).orElseThrow(), codec.write(sent.packet()));
    }
  }

  private void tell() {
    List<String> news = new ArrayList<>();
    Map<String, State> is = new HashMap<>();
    for (Member member : membership.members()) {
      is.put(member.claim().name(), member.claim().state());
      if (logged.get(member.claim().name()) != member.claim().state() && news.size() < 8) {
        news.add(member.claim().name() + " " + word(member.claim().state()));
      }
    }
    logged.clear();
    logged.putAll(is);
    if (!news.isEmpty()) {
      LOG.info(
          () -> "members: " + String.join(", ", news) + "; " + membership.live() + " others live");
    }
  }

  void leave(long nowUs) {
    membership.leave(nowUs);
    flush();
  }

  long nextDueUs() {
    return membership.dueUs();
  }

  private static String word(State state) {
    return state.name().toLowerCase(java.util.Locale.ROOT);
  }

  /**
   * As JSON, for {@code GET /-/members}: who we are, whom we hold for what and for how long, and
   * what was counted.
   */
  byte[] view() {
    Map<String, Object> all = new LinkedHashMap<>();
    Claim self = membership.self();
    Membership.Counts counts = membership.counts();
    Map<String, Object> own = row(self);
    own.put("health", membership.health());
    all.put("self", own);
    List<Object> members = new ArrayList<>();
    for (Member member : membership.members()) {
      Map<String, Object> row = row(member.claim());
      row.put("for_ms", Math.max(0, now - member.sinceUs()) / 1000);
      members.add(row);
    }
    all.put("members", members);
    Map<String, Object> counted = new LinkedHashMap<>();
    counted.put("sent", counts.sent);
    counted.put("bytes", counts.bytes);
    counted.put("heard", counts.heard);
    counted.put("probes", counts.probes);
    counted.put("unanswered", counts.unanswered);
    counted.put("suspicions", counts.suspicions);
    counted.put("deaths", counts.deaths);
    counted.put("refuted", counts.refuted);
    counted.put("paused", counts.paused);
    counted.put("collisions", counts.collisions);
    counted.put("refused", counts.refused);
    counted.put("muted", counts.muted);
    counted.put("malformed", malformed);
    counted.put("flooded", flooded);
    all.put("counts", counted);
    try {
      return JSON.std.asString(all).getBytes(StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException(e); // into memory nothing fails
    }
  }

  private static Map<String, Object> row(Claim claim) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("name", claim.name());
    row.put("state", word(claim.state()));
    row.put("zone", claim.zone());
    row.put("address", claim.address());
    row.put("boot", claim.boot());
    row.put("incarnation", claim.incarnation());
    return row;
  }
}
