package dillcross.cli;

import static dillcross.cli.HttpMessages.readHead;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers long requests and answers that are under way when a shutdown begins, of a process that
 * opened its listening socket and of one that inherited it.
 */
class LongMessagesShutdownIT extends UpgradeFixture {
  private static final int MAX_TIMEOUT_MS = 500; // the process may be killed after 1.2 s
  private static final int ANSWER_BYTES = 400_000; // takes 6 s
  private static final int PIECE_BYTES = 6_400;
  private static final int REQUEST_BYTES = 100_000;
  private static final int FIRST_BYTES = 70_000; // more than is buffered before it is forwarded
  private static final int SEND_INTERVAL_MS = 50;

  /** Guards against: the process ends by itself, and cuts off an answer that has begun. */
  @ParameterizedTest
  @CsvSource({"true,false", "false,false", "true,true"})
  void forwardsAnswerThatHasBegunToItsEnd(boolean isChunked, boolean isInherited) throws Exception {
    PacedAnswerEndpoint endpoint =
        open(new PacedAnswerEndpoint(isChunked, ANSWER_BYTES, PIECE_BYTES));
    startProcess(inService("paced", endpoint.address()), isInherited);
    Socket client = connect(clientPort);
    send(client, request("/read/long", MAX_TIMEOUT_MS));
    assertEquals("200", statusOf(readHead(client.getInputStream())));

    ProcessHandle stopping = stopProcess(isInherited);

    String rest = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    assertEquals(ANSWER_BYTES, rest.chars().filter(character -> character == 'x').count());
    assertTrue(rest.endsWith("\r\n0\r\n\r\n"), "the end of the answer");
    stopping.onExit().get();
  }

  /** Guards against: the process ends while a request is arriving, and closes with no answer. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answersRequestThatIsStillArriving(boolean isInherited) throws Exception {
    startProcess(entryOfA(), isInherited);
    Socket client = connect(clientPort);
    String request = request("/buy/ok", MAX_TIMEOUT_MS);
    send(client, withBody(request, REQUEST_BYTES, "x".repeat(FIRST_BYTES)));
    CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> answerOn(client));

    ProcessHandle stopping = stopProcess(isInherited);
    for (int sent = FIRST_BYTES; sent < REQUEST_BYTES && !answer.isDone(); sent++) {
      send(client, "x");
      Thread.sleep(SEND_INTERVAL_MS);
    }

    assertEquals("503", statusOf(answer.get()));
    assertEquals(0, endpointA.requests.stream().filter(got -> got.contains("/buy/ok")).count());
    client.close();
    stopping.onExit().get();
  }

  private static String answerOn(Socket client) {
    try {
      return readResponse(client);
    } catch (IOException closed) {
      return "";
    }
  }

  private void startProcess(String endpointEntry, boolean isInherited) throws Exception {
    TestConfig config = new TestConfig(endpointEntry).timeoutMs(MAX_TIMEOUT_MS);
    if (isInherited) {
      startFirstProcess(config);
    } else {
      startAndAwaitReady(config);
      clientPort = sidecar.port;
    }
  }

  /** Sends the process SIGTERM, if it inherited its socket once another one has taken over. */
  private ProcessHandle stopProcess(boolean isInherited) throws Exception {
    if (isInherited) {
      startSecondProcess();
      return terminateFirstProcess();
    }
    sidecar.signal("TERM");
    return sidecar.process.toHandle();
  }
}
