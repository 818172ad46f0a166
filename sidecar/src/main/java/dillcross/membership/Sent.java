package dillcross.membership;

/** A packet on its way out. */
public record Sent(String to, Packet packet) {}
