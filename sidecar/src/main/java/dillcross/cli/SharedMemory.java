package dillcross.cli;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Memory that processes share which have the same folder for temporary files. */
final class SharedMemory {
  private SharedMemory() {}

  /**
   * Maps a file, which is created if there is none.
   *
   * @throws IOException if the folder can't hold it; nothing of the file is used then
   */
  static MappedByteBuffer map(Path file, int bytes) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      allocate(channel, bytes);
      return channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
    }
  }

  /** Writes what the file lacks: an access to mapped memory that has no block ends the process. */
  private static void allocate(FileChannel channel, int bytes) throws IOException {
    long size = channel.size();
    if (size < bytes) {
      ByteBuffer zeros = ByteBuffer.allocate((int) (bytes - size));
      while (zeros.hasRemaining()) {
        channel.write(zeros, size + zeros.position());
      }
    }
  }
}
