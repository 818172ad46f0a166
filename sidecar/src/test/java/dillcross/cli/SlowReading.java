package dillcross.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;

/** Reads 64 kB a second without a pause. */
final class SlowReading {
  private static final int PIECE_BYTES = 6_400;
  private static final long PIECE_INTERVAL_MS = 100;

  private SlowReading() {}

  /**
   * Reads {@code bytes}: slowly at first, and at full speed after {@code slowMs}. Returns how many
   * bytes were read, which is less if the stream ends early.
   */
  static int read(InputStream in, int bytes, long slowMs) throws IOException, InterruptedException {
    long startNs = System.nanoTime();
    byte[] piece = new byte[PIECE_BYTES];
    int taken = 0;
    int count = 0;
    while (taken < bytes && count >= 0) {
      count = in.read(piece, 0, Math.min(piece.length, bytes - taken));
      taken += Math.max(0, count);
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
      long aheadMs = taken * PIECE_INTERVAL_MS / PIECE_BYTES - elapsedMs;
      if (elapsedMs < slowMs && aheadMs > 0) {
        Thread.sleep(aheadMs);
      }
    }
    return taken;
  }
}
