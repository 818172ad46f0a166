package dillcross.emulator.trace;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The digests by which simulations are compared. */
public final class Sha256 {
  private static final String PREFIX = "sha256:";

  private Sha256() {}

  /** A digest over nothing yet. */
  public static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform has it
    }
  }

  /** The digest as text; it begins anew. */
  public static String format(MessageDigest digest) {
    return PREFIX + HexFormat.of().formatHex(digest.digest());
  }
}
