package dillcross.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Logger;

/** Reads the soft limit on the number of file descriptors that this process may open. */
final class DescriptorLimit {
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";
  private static final Logger LOG = Logger.getLogger(DescriptorLimit.class.getName());

  private DescriptorLimit() {}

  /** The number of descriptors; {@link Integer#MAX_VALUE} if unlimited or not readable. */
  static int read() {
    try {
      for (String line : Files.readAllLines(LIMITS)) {
        if (line.startsWith(OPEN_FILES)) {
          String[] columns = line.substring(OPEN_FILES.length()).trim().split(" +");
          return Integer.parseInt(columns[0]);
        }
      }
    } catch (IOException | NumberFormatException e) {
      LOG.fine("limit on open file descriptors could not be read, none is assumed: " + e);
    }
    return Integer.MAX_VALUE;
  }
}
