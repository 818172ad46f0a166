package dillcross.membership;

/**
 * A packet to send.
 *
 * @param receiver a numeric address and a port
 */
public record OutboundPacket(String receiver, Packet packet) {}
