package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers requests that come again with the same id after their client has left. */
class RepeatedRequestIT extends UpgradeFixture {
  private static final String HELD_PATH = "/once/then"; // no answer until the test releases it

  /** Guards against: an id runs twice that comes again after its client has left. */
  @ParameterizedTest
  @CsvSource({"once,true", "once,false", "buy,true", "buy,false"})
  void doesNotRunRequestAgainWhoseClientHasLeft(String requestClass, boolean cancellable)
      throws Exception {
    startAndAwaitReady(
        new TestConfig(entryOfA(), entryOfB())
            .requestClass(NON_IDEMPOTENT_CLASS)
            .cancellable(cancellable));
    String path = "/" + requestClass + "/then";
    String request = request(path);
    Socket client = connect();
    send(client, request);
    await(
        () ->
            endpointA.requestCounts.containsKey(path) || endpointB.requestCounts.containsKey(path));

    client.close();
    sidecar.awaitLogLine("client disconnected");
    endpointA.released.countDown();
    endpointB.released.countDown();

    assertEquals("400", statusOfNewClient(request));
    assertEquals(1, countReceivedOnce(path, endpointA, endpointB));
    assertEquals("200", statusOfNewClient(request(path)), "another id of the same client");
  }

  /** Guards against: an id is refused that came before and surely did not run. */
  @Test
  void runsRequestThatWasTurnedAwayBefore() throws Exception {
    startAndAwaitReady(new TestConfig(entryOfA()).requestClass(NON_IDEMPOTENT_CLASS));
    String request = request("/once/full");

    assertEquals("503", statusOfNewClient(request));

    String sameId = request.replace("/once/full", "/once/ok");
    await(() -> !statusOfNewClient(sameId).equals("503")); // while the endpoint is backed off
    assertEquals("200", statusOfNewClient(sameId), "the client has the answer");
  }

  /** Guards against: an id runs at both processes of an upgrade. */
  @Test
  void doesNotRunRequestAtBothProcessesOfUpgrade() throws Exception {
    startFirstProcess();
    Socket client = connect(clientPort);
    String request = request(HELD_PATH);
    send(client, request);
    await(() -> endpointA.requestCounts.containsKey(HELD_PATH));

    startSecondProcess();
    terminateFirstProcess();
    sidecar.awaitLogLine("shutting down");
    client.close();
    String answer = exchange(connect(clientPort), request);
    endpointA.released.countDown();

    assertEquals("400", statusOf(answer));
    assertEquals(1, countReceivedOnce(HELD_PATH, endpointA));
    assertEquals("200", statusOf(exchange(connect(clientPort), request("/once/ok"))));
  }
}
