package dillcross.balancer;

import java.util.List;
import java.util.stream.IntStream;

/** Endpoint lists for tests. */
final class TestEndpoints {
  private TestEndpoints() {}

  /** Endpoints e0, e1 ... spread over three zones, with what else each has. */
  static String[] fleet(int endpoints, String health) {
    return IntStream.range(0, endpoints)
        .mapToObj(
            i ->
                "e"
                    + i
                    + ":"
                    + health
                    + (health.contains(":")
                        ? ""
                        : ":" + i / 4 + ":" + List.of("east", "west", "north").get(i % 3)))
        .toArray(String[]::new);
  }
}
