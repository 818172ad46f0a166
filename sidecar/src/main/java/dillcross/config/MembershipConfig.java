package dillcross.config;

import dillcross.common.NumericAddress;
import dillcross.membership.MembershipSettings;
import java.net.InetSocketAddress;

/**
 * The table {@code [membership]} of the operators' file.
 *
 * @param fleet the fleet's name; datagrams of members of other fleets are ignored
 * @param name this member's name, unique in the fleet
 * @param zone this member's zone; empty for none
 * @param bind numeric address and port where datagrams are received; port 0 for any free port
 * @param advertise numeric address and port that other members send to; empty for {@code bind}
 * @param settings the timing and the bounds of the protocol
 */
public record MembershipConfig(
    String fleet,
    String name,
    String zone,
    String bind,
    String advertise,
    MembershipSettings settings) {
  /** The address where datagrams are received. */
  public InetSocketAddress bindAddress() {
    return NumericAddress.parse(bind).orElseThrow();
  }

  /** The numeric address and port that other members send to. */
  public String advertisedAddress() {
    return advertise.isEmpty() ? bind : advertise;
  }
}
