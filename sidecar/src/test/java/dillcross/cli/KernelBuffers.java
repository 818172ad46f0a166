package dillcross.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel holds for one connection at most. */
final class KernelBuffers {
  private static final Path SEND_BUFFER_LIMITS = Path.of("/proc/sys/net/ipv4/tcp_wmem");
  private static final int MAXIMUM_FIELD = 2; // after the minimum and the default

  private KernelBuffers() {}

  /** The size in bytes to which the kernel lets a send buffer grow. */
  static int largestSendBuffer() throws IOException {
    String limits = Files.readAllLines(SEND_BUFFER_LIMITS).get(0); // a /proc file: read at once
    return Integer.parseInt(limits.split("\\s+")[MAXIMUM_FIELD]);
  }
}
