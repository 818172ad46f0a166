package dillcross.emulator.trace;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests, which identify a simulation run by its trace. */
public final class Sha256 {
  private static final String PREFIX = "sha256:";

  private Sha256() {}

  /** A digest that has no input yet. */
  public static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform provides SHA-256
    }
  }

  /** The digest as text. This resets the digest. */
  public static String format(MessageDigest digest) {
    return PREFIX + HexFormat.of().formatHex(digest.digest());
  }
}
