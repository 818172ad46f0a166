package dillcross.sidecar;

import static dillcross.sidecar.CoordinatorFixture.TIMEOUT_US;
import static dillcross.sidecar.CoordinatorFixture.answers;
import static dillcross.sidecar.CoordinatorFixture.only;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each client gets exactly one answer: tests which one, and when. */
class RequestCoordinatorAnswersTest {
  private final CoordinatorFixture fixture = new CoordinatorFixture();
  private final RequestCoordinator coordinator = fixture.coordinator;

  @BeforeEach
  void listOneEndpoint() {
    fixture.listOneEndpoint();
  }

  /**
   * One row for each outcome of an attempt: a request that fails is rejected, which permits a
   * retry, if it never ran or is idempotent.
   */
  @ParameterizedTest
  @CsvSource({
    "buy,SUCCEEDED,FULLY_WRITTEN,ForwardResponse",
    "buy,ERROR,FULLY_WRITTEN,FailRequest",
    "buy,OVERLOADED,FULLY_WRITTEN,RejectRequest",
    "buy,CONNECTION_BROKEN,NOT_CONNECTED,RejectRequest",
    "buy,NOT_SENT,NOT_CONNECTED,RejectRequest",
    "buy,CONNECTION_BROKEN,PARTIALLY_WRITTEN,RejectRequest",
    "buy,CONNECTION_BROKEN,FULLY_WRITTEN,FailRequest",
    "once,ERROR,FULLY_WRITTEN,FailRequest",
    "once,OVERLOADED,FULLY_WRITTEN,RejectRequest",
    "once,CONNECTION_BROKEN,PARTIALLY_WRITTEN,RejectRequest",
    "once,CONNECTION_BROKEN,FULLY_WRITTEN,FailRequest",
    "read,SUCCEEDED,FULLY_WRITTEN,ForwardResponse",
    "read,CLIENT_ERROR,FULLY_WRITTEN,ForwardClientError",
    "buy,CLIENT_ERROR,FULLY_WRITTEN,ForwardClientError",
    "read,ERROR,FULLY_WRITTEN,RejectRequest",
    "read,CONNECTION_BROKEN,FULLY_WRITTEN,RejectRequest"
  })
  void answersEachOutcomeOnce(
      String requestClass, AttemptResult.Kind kind, WriteProgress progress, String answer) {
    NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt(requestClass);
    fixture.advance(10_000);
    fixture.end(attempt, kind, progress, "body");
    List<NetworkCommand> commands = fixture.pull();
    assertEquals(answer, answers(commands), commands::toString);
    only(NetworkCommand.ForwardResponse.class, commands)
        .forEach(
            forward ->
                assertEquals(
                    new NetworkCommand.ForwardResponse(CoordinatorFixture.CLIENT, "body"),
                    forward));
    assertEquals("", answers(fixture.runFor(5_000_000)), "one final answer only");
    assertEquals(0, coordinator.openRequests());
  }

  @ParameterizedTest
  @CsvSource({
    "buy,FULLY_WRITTEN,FailRequest",
    "buy,PARTIALLY_WRITTEN,RejectRequest",
    "buy,NOT_CONNECTED,RejectRequest",
    "once,FULLY_WRITTEN,FailRequest",
    "once,PARTIALLY_WRITTEN,RejectRequest",
    "read,FULLY_WRITTEN,RejectRequest"
  })
  void abandonsAttemptsAndAnswersAtTheDeadline(
      String requestClass, WriteProgress progress, String answer) {
    fixture.reportAbandonedAs(progress);
    long deadlineUs = fixture.nowUs() + TIMEOUT_US;
    NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt(requestClass);
    assertEquals(deadlineUs, attempt.deadlineUs());
    assertEquals(answer, answers(fixture.runFor(TIMEOUT_US)));
    assertEquals(deadlineUs, fixture.nowUs(), "at the deadline, not later");
  }

  @Test
  void failsARequestWhoseAbandonedAttemptIsNeverReported() {
    fixture.stopReportingAbandonedAttempts();
    fixture.sendFirstAttempt("buy");
    assertEquals("FailRequest", answers(fixture.runFor(TIMEOUT_US + 50_000)));
    assertEquals(0, coordinator.openRequests());
  }

  /** In the row of {@code ABANDONED} the client disconnects instead of the attempt ending. */
  @ParameterizedTest
  @CsvSource({
    "SUCCEEDED,StartStreaming FinishStreaming,true",
    "CONNECTION_BROKEN,StartStreaming FinishStreaming,false",
    "ABANDONED,StartStreaming,false"
  })
  void streamsAResponsePastTheDeadline(AttemptResult.Kind end, String answers, boolean complete) {
    NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt("read");
    fixture.advance(10_000);
    assertTrue(fixture.startResponse(attempt, "head"));
    assertFalse(fixture.startResponse(attempt, "head"), "started once only");
    List<NetworkCommand> commands = fixture.runFor(20 * TIMEOUT_US);
    assertEquals(0, only(NetworkCommand.AbandonAttempt.class, commands).size());
    assertEquals(1, coordinator.openRequests());
    if (end == AttemptResult.Kind.ABANDONED) {
      coordinator.onClientDisconnected(fixture.nowUs(), attempt.requestId());
    } else {
      fixture.end(attempt, end, WriteProgress.FULLY_WRITTEN, "head");
    }
    commands.addAll(fixture.runFor(TIMEOUT_US));
    assertEquals(answers, answers(commands));
    only(NetworkCommand.FinishStreaming.class, commands)
        .forEach(finish -> assertEquals(complete, finish.complete()));
    assertEquals(0, coordinator.openRequests());
  }

  /** While the body arrives there is no deadline; if the body stalls, the attempts time out. */
  @Test
  void startsTheDeadlineAtTheLastByteOfTheBody() {
    long request = fixture.onRequest("buy", true);
    assertEquals(
        "", answers(fixture.runFor(10 * TIMEOUT_US)), "no deadline while the body arrives");
    coordinator.onBodyReleased(fixture.nowUs(), request);
    coordinator.onBodyComplete(fixture.nowUs(), request);
    long completeUs = fixture.nowUs();
    assertEquals("FailRequest", answers(fixture.runFor(TIMEOUT_US)));
    assertEquals(completeUs + TIMEOUT_US, fixture.nowUs());

    fixture.reportAbandonedAs(WriteProgress.PARTIALLY_WRITTEN);
    long stalled = fixture.onRequest("buy", true);
    fixture.pull();
    coordinator.onBodyReleased(fixture.nowUs(), stalled);
    coordinator.onBodyStalled(stalled);
    assertEquals("RejectRequest", answers(fixture.pull()));
  }

  @Test
  void doesNotAnswerAClientThatDisconnected() {
    NetworkCommand.SendAttempt attempt = fixture.sendFirstAttempt("buy");
    coordinator.onClientDisconnected(fixture.nowUs(), attempt.requestId());
    List<NetworkCommand> commands = fixture.pull();
    assertEquals(
        1, only(NetworkCommand.AbandonAttempt.class, commands).size(), "its attempt is abandoned");
    assertEquals("", answers(commands) + answers(fixture.runFor(TIMEOUT_US)));
    fixture.end(attempt, AttemptResult.Kind.SUCCEEDED, WriteProgress.FULLY_WRITTEN, "late");
    assertEquals("", answers(fixture.pull()), "a late response is discarded");
  }
}
