package dillcross.common;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Converts numeric IP addresses with a port from and to text: {@code 127.0.0.1:80} or {@code
 * [::1]:80}. Host names are refused, as resolving them would block the selector thread. Stateless.
 */
public final class NumericAddress {
  private static final String FORM = "([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}";
  private static final int MAX_PORT = 65_535;

  private NumericAddress() {}

  /** The address as text, in the form that {@link #parse} reads; it must be resolved. */
  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    String bracketed = host.indexOf(':') < 0 ? host : "[" + host + "]";
    return bracketed + ":" + address.getPort();
  }

  /** Whether the text has the form of a numeric address and port; it may still be out of range. */
  public static boolean hasForm(String text) {
    return text.matches(FORM);
  }

  /** The address that the text holds; empty where it is null or not a numeric address and port. */
  public static Optional<InetSocketAddress> parse(String text) {
    if (text == null || !hasForm(text)) {
      return Optional.empty();
    }
    int colon = text.lastIndexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > MAX_PORT) {
      return Optional.empty();
    }
    try {
      InetAddress host = InetAddress.getByName(text.substring(0, colon));
      return Optional.of(new InetSocketAddress(host, port));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }
}
