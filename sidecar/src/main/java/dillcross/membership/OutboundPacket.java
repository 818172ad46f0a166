package dillcross.membership;

/**
 * A packet to send.
 *
 * @param receiver numeric address and port of the receiver
 * @param packet the packet, still to be encoded
 */
public record OutboundPacket(String receiver, Packet packet) {}
