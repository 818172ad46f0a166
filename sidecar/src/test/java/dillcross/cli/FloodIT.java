package dillcross.cli;

import static dillcross.cli.HttpMessages.HEALTH_CHECK;
import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Covers one client that sends at full speed beside others. */
class FloodIT extends SidecarFixture {
  private static final int BATCH = 1000;
  private static final int WARM_UP_ANSWERS = 50_000;
  private static final int USUAL_REQUESTS = 101;
  private static final int MAX_OVERTAKING = 200;

  /** The number of answers on the flooding connection. */
  private final AtomicLong floodAnswers = new AtomicLong();

  /** Guards against: other clients wait while one sends small requests at full speed. */
  @Test
  void answersOthersBesideClientThatSendsAtFullSpeed() throws Exception {
    startWithEndpointA();
    flood(HEALTH_CHECK.repeat(BATCH));
    await(() -> floodAnswers.get() > WARM_UP_ANSWERS);

    Socket usual = connect();
    List<Long> overtaking = new ArrayList<>();
    for (int i = 0; i < USUAL_REQUESTS; i++) {
      long before = floodAnswers.get();
      assertEquals("200", statusOf(exchange(usual, HEALTH_CHECK)));
      overtaking.add(floodAnswers.get() - before);
    }

    overtaking.sort(null);
    long median = overtaking.get(USUAL_REQUESTS / 2);
    assertTrue(median < MAX_OVERTAKING, median + " answers on the other connection meanwhile");
  }

  private void flood(String requests) throws Exception {
    Socket flood = connect();
    BackgroundTask.start(
        () -> {
          while (true) {
            send(flood, requests);
          }
        });
    BackgroundTask.start(() -> countAnswers(flood.getInputStream()));
  }

  private void countAnswers(InputStream in) throws Exception {
    byte[] bytes = new byte[1 << 16];
    int answerBytes = exchange(connect(), HEALTH_CHECK).length();
    long total = 0;
    for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
      total += count;
      floodAnswers.set(total / answerBytes);
    }
  }
}
