package dillcross.emulator.network;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;

/**
 * CRC-32C over all bytes that arrived, with their arrival times, connections and directions. Used
 * to detect that the traffic of two runs differs.
 */
final class TrafficChecksum {
  private static final int HEADER_BYTES = 2 * Long.BYTES + 1;

  private final CRC32C checksum = new CRC32C();
  private final ByteBuffer header =
      ByteBuffer.allocate(HEADER_BYTES).order(ByteOrder.LITTLE_ENDIAN);

  /** Adds bytes that arrived at the given time from one side of a connection. */
  void add(long nowUs, SocketEndpoint from, byte[] bytes) {
    header.clear();
    header.putLong(nowUs).putLong(from.connectionId()).put((byte) (from.isInitiator() ? 1 : 0));
    checksum.update(header.array(), 0, HEADER_BYTES);
    checksum.update(bytes, 0, bytes.length);
  }

  long value() {
    return checksum.getValue();
  }
}
