package dillcross.config;

import dillcross.common.NumericAddress;
import dillcross.membership.MembershipSettings;
import java.net.InetSocketAddress;

/**
 * The table {@code [membership]} of the operators' file.
 *
 * @param fleet datagrams of members of other fleets are ignored
 * @param name of this member, unique in the fleet
 * @param zone of this member; empty for none
 * @param bind numeric address and port where datagrams are received; port 0 for any
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
  /** Where datagrams are received. */
  public InetSocketAddress bindAddress() {
    return NumericAddress.parse(bind).orElseThrow();
  }

  /** The numeric address and port that other members send to. */
  public String advertisedAddress() {
    return advertise.isEmpty() ? bind : advertise;
  }
}
