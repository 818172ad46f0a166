package dillcross.membership;

/**
 * A packet to send.
 *
 * @param receiver numeric address and port
 * @param packet what to send
 */
public record OutboundPacket(String receiver, Packet packet) {}
