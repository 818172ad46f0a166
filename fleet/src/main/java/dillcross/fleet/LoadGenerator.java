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
 * Open-loop load on one sidecar: requests are sent at a fixed rate whether or not earlier ones were
 * answered, and each latency is measured from the scheduled send time, so that a slow generator or
 * sidecar does not hide latency.
 */
@SuppressWarnings("FutureReturnValueIgnored") // outcomes are counted as they complete
final class LoadGenerator implements AutoCloseable {
  static final int TTL_MS = 1000;
  final Histogram latencyUs = new ConcurrentHistogram(60_000_000L, 3);
  final AtomicLong sent = new AtomicLong();
  final AtomicLong succeeded = new AtomicLong();
  final AtomicLong rejected = new AtomicLong();
  final AtomicLong failed = new AtomicLong();

  /**
   * Number of requests that were due while the sidecar was not ready, failed to connect or timed
   * out.
   */
  final AtomicLong unanswered = new AtomicLong();

  private final ScheduledExecutorService scheduler =
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
  private final Supplier<String> address; // supplies null while the sidecar is not ready
  private final String name;
  private final long startNs = System.nanoTime();
  private final long intervalNs;
  private long sequence;

  /**
   * Starts sending at once.
   *
   * @param name the prefix of the request ids
   * @param address supplies the {@code host:port} of the sidecar, or null while it is not ready
   * @param perS requests per second
   */
  LoadGenerator(String name, Supplier<String> address, double perS) {
    this.name = name;
    this.address = address;
    intervalNs = Math.round(1e9 / perS);
    scheduler.scheduleAtFixedRate(this::sendDue, 0, 1, TimeUnit.MILLISECONDS);
  }

  private void sendDue() {
    for (long dueNs; (dueNs = startNs + sequence * intervalNs) <= System.nanoTime(); sequence++) {
      send(dueNs, name + "-" + sequence);
    }
  }

  private void send(long scheduledNs, String id) {
    sent.incrementAndGet();
    String to = address.get();
    if (to == null) {
      unanswered.incrementAndGet();
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
            (response, error) -> {
              if (error != null) {
                unanswered.incrementAndGet();
              } else {
                latencyUs.recordValue(
                    Math.min(59_000_000L, (System.nanoTime() - scheduledNs) / 1000));
                (response.statusCode() == 200
                        ? succeeded
                        : response.statusCode() == 503 ? rejected : failed)
                    .incrementAndGet();
              }
            });
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }

  /** Starts one generator for each member of the fleet, with {@code perS} requests per second. */
  static List<LoadGenerator> startFor(Fleet fleet, double perS) {
    List<LoadGenerator> generators = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      int member = i;
      generators.add(new LoadGenerator(Fleet.name(i), () -> fleet.clientAddress(member), perS));
    }
    return generators;
  }
}
