package dillcross.sidecar;

/**
 * The limits of a sidecar's process, fixed at its start.
 *
 * @param maxDescriptors that the process may have open
 * @param maxBodyBytes of the largest body that is taken or forwarded
 * @param bufferBytes that all buffers may take together
 */
public record SidecarLimits(int maxDescriptors, long maxBodyBytes, long bufferBytes) {
  /** With at most so many descriptors, and so many bytes of buffers. */
  public SidecarLimits atMost(int descriptors, long buffers) {
    return new SidecarLimits(
        Math.min(maxDescriptors, descriptors), maxBodyBytes, Math.min(buffers, bufferBytes));
  }
}
