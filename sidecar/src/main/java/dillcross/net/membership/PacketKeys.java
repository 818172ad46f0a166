package dillcross.net.membership;

/** Keys of the map that is an encoded packet. They are part of the wire protocol. */
final class PacketKeys {
  static final String VERSION = "v";
  static final String FLEET = "n";
  static final String KIND = "k";
  static final String SEQUENCE = "s";
  static final String SENDER = "f";
  static final String TARGET = "a";
  static final String DIGEST = "d";
  static final String RECORDS = "c";
  static final String PAYLOADS = "p";

  private PacketKeys() {}
}
