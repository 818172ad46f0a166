package dillcross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.MappedByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedMemoryTest {
  private static final int BYTES = 4096;

  @TempDir Path folder;

  /** Guards against: a file that a kill has left half written ends the process that maps it. */
  @Test
  void completesFileThatIsTooShort() throws IOException {
    Path file = folder.resolve("f");
    Files.write(file, new byte[] {7});

    MappedByteBuffer first = SharedMemory.map(file, BYTES);
    MappedByteBuffer second = SharedMemory.map(file, BYTES);
    first.put(BYTES - 1, (byte) 5);

    assertEquals(BYTES, Files.size(file));
    assertEquals(7, second.get(0));
    assertEquals(5, second.get(BYTES - 1));
  }

  @Test
  void failsWhereTheFolderDoesNotExist() {
    assertThrows(
        IOException.class, () -> SharedMemory.map(folder.resolve("none").resolve("f"), BYTES));
  }
}
