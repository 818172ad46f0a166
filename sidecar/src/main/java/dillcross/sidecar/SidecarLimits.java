package dillcross.sidecar;

/**
 * The limits of a sidecar's process, fixed at its start.
 *
 * @param maxDescriptors how many file descriptors the process may have open
 * @param maxBodyBytes the size of the largest request or response body, in bytes
 * @param bufferBytes how much memory all buffers may take together, in bytes
 */
public record SidecarLimits(int maxDescriptors, long maxBodyBytes, long bufferBytes) {
  /**
   * These limits, lowered to {@code descriptors} and to {@code buffers} bytes where they exceed
   * them.
   */
  public SidecarLimits atMost(int descriptors, long buffers) {
    return new SidecarLimits(
        Math.min(maxDescriptors, descriptors), maxBodyBytes, Math.min(buffers, bufferBytes));
  }
}
