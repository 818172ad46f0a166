package dillcross.net.events;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RequestEventsTest {
  private static final int EVENTS = 1000;
  private static final int BURST = 50;
  private static final long SECOND_US = 1_000_000;

  private long nowUs = SECOND_US;
  private int describedCount;
  private final RequestEvents events = new RequestEvents(() -> nowUs);

  private String describe() {
    describedCount++;
    return "id=1";
  }

  /** Guards against: a client that sends invalid requests at full speed fills the log. */
  @Test
  void countsAllEventsAndLogsFew() {
    for (int i = 0; i < EVENTS; i++) {
      events.record(RequestEvent.REQUEST_INVALID, this::describe);
    }
    assertEquals(EVENTS, events.count(RequestEvent.REQUEST_INVALID));
    assertEquals(BURST, describedCount);

    nowUs += SECOND_US;
    for (int i = 0; i < EVENTS; i++) {
      events.record(RequestEvent.REQUEST_FAILED, this::describe);
    }
    assertEquals(BURST + 5, describedCount);
    assertEquals("{\"request_invalid\":1000,\"request_failed\":1000}\n", events.toJson());
  }
}
