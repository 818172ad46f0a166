package dillcross.net.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

class RequestIdTableTest {
  private static final long SECOND_US = 1_000_000;
  private static final int RETENTION_S = 60;
  private static final int MANY = 1_000_000;
  private static final int RECENT = 1000;

  private final ByteBuffer memory = ByteBuffer.allocateDirect(RequestIdTable.BYTES);
  private long nowUs = 1000 * SECOND_US;
  private final RequestIdTable table = RequestIdTable.shared(memory, () -> nowUs);

  @Test
  void keepsIdForItsRetention() {
    assertTrue(table.tryAdd("a"));
    nowUs += (RETENTION_S - 1) * SECOND_US;
    assertFalse(table.tryAdd("a"));
    nowUs += 2 * SECOND_US;
    assertTrue(table.tryAdd("a"));
  }

  @Test
  void forgetsIdThatIsRemoved() {
    assertTrue(table.tryAdd("a"));
    table.remove("a");
    table.remove("never added");
    assertTrue(table.tryAdd("a"));
  }

  @Test
  void worksInUnsharedMemory() {
    RequestIdTable unshared = RequestIdTable.unshared(() -> nowUs);
    assertTrue(unshared.tryAdd("a"));
    assertFalse(unshared.tryAdd("a"));
    unshared.remove("a");
    assertTrue(unshared.tryAdd("a"));
  }

  @Test
  void sharesItsMemoryWithAnotherTable() {
    RequestIdTable other = RequestIdTable.shared(memory, () -> nowUs);
    assertTrue(table.tryAdd("a"));
    assertFalse(other.tryAdd("a"));
    other.remove("a");
    assertTrue(table.tryAdd("a"));
  }

  /** Guards against: clients with ever new ids take memory without end, or the latest are lost. */
  @Test
  void keepsLatestOfManyIds() {
    for (int i = 0; i < MANY; i++) {
      nowUs += RETENTION_S * SECOND_US / MANY;
      assertTrue(table.tryAdd("id " + i));
    }
    for (int i = MANY - RECENT; i < MANY; i++) {
      assertFalse(table.tryAdd("id " + i), "id " + i);
    }
  }

  /** Guards against: what a file holds from before a reboot keeps ids from being served. */
  @Test
  void ignoresEntriesOfLaterTimes() {
    assertTrue(table.tryAdd("a"));
    RequestIdTable afterReboot = RequestIdTable.shared(memory, () -> SECOND_US);
    assertTrue(afterReboot.tryAdd("a"));
  }
}
