package dillcross.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Logger;

/** The soft limit of open file descriptors of this process. */
final class DescriptorLimit {
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";
  private static final Logger LOG = Logger.getLogger(DescriptorLimit.class.getName());

  private DescriptorLimit() {}

  /** The limit; {@link Integer#MAX_VALUE} where it is unlimited or unknown. */
  static int read() {
    try {
      for (String line : Files.readAllLines(LIMITS)) {
        if (line.startsWith(OPEN_FILES)) {
          String[] columns = line.substring(OPEN_FILES.length()).trim().split(" +");
          return Integer.parseInt(columns[0]);
        }
      }
    } catch (IOException | NumberFormatException e) {
      LOG.fine("descriptor limit unknown: " + e);
    }
    return Integer.MAX_VALUE;
  }
}
