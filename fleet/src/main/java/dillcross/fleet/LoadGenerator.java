package dillcross.fleet;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Open-loop clients of one sidecar: requests leave at their times whether or not earlier ones were
 * answered, and each is timed from when it was meant to leave.
 */
@SuppressWarnings("FutureReturnValueIgnored") // outcomes are counted as they complete
final class LoadGenerator implements AutoCloseable {
  static final int TTL_MS = 1000;
  final Histogram latencyUs = new ConcurrentHistogram(60_000_000L, 3);
  final AtomicLong sent = new AtomicLong();
  final AtomicLong succeeded = new AtomicLong();
  final AtomicLong rejected = new AtomicLong();
  final AtomicLong failed = new AtomicLong();
  final AtomicLong unheard = new AtomicLong(); // no sidecar there, or no answer
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "load");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(TTL_MS))
          .build();
  private final Supplier<String> address; // null while there is none
  private final String name;
  private final long startNs = System.nanoTime();
  private final long everyNs;
  private long next;

  LoadGenerator(String name, Supplier<String> address, double perS) {
    this.name = name;
    this.address = address;
    everyNs = Math.round(1e9 / perS);
    clock.scheduleAtFixedRate(this::due, 0, 1, TimeUnit.MILLISECONDS);
  }

  private void due() {
    for (long at; (at = startNs + next * everyNs) <= System.nanoTime(); next++) {
      one(at, name + "-" + next);
    }
  }

  private void one(long meantNs, String id) {
    sent.incrementAndGet();
    String to = address.get();
    if (to == null) {
      unheard.incrementAndGet();
      return;
    }
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + to + "/read/thing"))
            .timeout(Duration.ofMillis(TTL_MS + 500))
            .header("Request-Id", id)
            .header("Request-Timeout-Ms", Integer.toString(TTL_MS))
            .build();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (answer, broken) -> {
              if (broken != null) {
                unheard.incrementAndGet();
              } else {
                latencyUs.recordValue(Math.min(59_000_000L, (System.nanoTime() - meantNs) / 1000));
                (answer.statusCode() == 200
                        ? succeeded
                        : answer.statusCode() == 503 ? rejected : failed)
                    .incrementAndGet();
              }
            });
  }

  @Override
  public void close() {
    clock.shutdownNow();
  }

  static List<LoadGenerator> all(Fleet fleet, double perS) {
    List<LoadGenerator> loads = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      int member = i;
      loads.add(new LoadGenerator(Fleet.name(i), () -> fleet.listensNow(member), perS));
    }
    return loads;
  }
}
