package dillcross.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as text: a number and a port. Looking up a name would stop the one thread. */
public final class Address {
  private Address() {}

  /** As {@link #parse} reads it. */
  public static String text(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
  }

  /** Null where it is none. */
  public static InetSocketAddress parse(String text) {
    if (text == null || !text.matches("([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}")) {
      return null;
    }
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port > 65_535
          ? null
          : new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
    } catch (UnknownHostException notANumber) {
      return null;
    }
  }
}
