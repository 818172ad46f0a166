package dillcross.balancer;

import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Endpoints for tests, written as {@code id:health:cell:zone:startedMs:weight}. Fields after the id
 * may be left out from the end; the defaults are up, cell 1, zone "east", started long ago, and
 * weight 1.
 */
final class TestEndpoints {
  private static final List<String> ZONES = List.of("east", "west", "north");
  private static final int ENDPOINTS_PER_CELL = 4;
  private static final long MICROS_PER_MILLI = 1000;

  private TestEndpoints() {}

  /** The zone of the given member of a fleet that is spread over three zones. */
  static String zoneOf(int index) {
    return ZONES.get(index % ZONES.size());
  }

  /** Endpoints e0, e1, ... spread over three zones, four to a cell and all up. */
  static String[] inThreeZones(int count) {
    return generate(count, index -> "UP:" + index / ENDPOINTS_PER_CELL + ":" + zoneOf(index));
  }

  /** Endpoints e0, e1, ... that are up, in one cell of zone "east". */
  static String[] inOneZone(int count) {
    return generate(count, index -> "UP:1:east");
  }

  /** Endpoints e0, e1, ... each with the fields after the id that {@code attributes} returns. */
  static String[] generate(int count, IntFunction<String> attributes) {
    return IntStream.range(0, count)
        .mapToObj(index -> "e" + index + ":" + attributes.apply(index))
        .toArray(String[]::new);
  }

  /** The index of an endpoint whose id {@link #generate} assigned. */
  static int indexOf(String generatedId) {
    return Integer.parseInt(generatedId.substring(1));
  }

  /** Parses endpoints that are written as the class comment describes. */
  static List<Endpoint> parse(String... specifications) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (String specification : specifications) {
      endpoints.add(parseOne(specification.split(":")));
    }
    return endpoints;
  }

  private static Endpoint parseOne(String[] fields) {
    Health health = fields.length > 1 ? Health.valueOf(fields[1]) : Health.UP;
    int cell = fields.length > 2 ? Integer.parseInt(fields[2]) : 1;
    String zone = fields.length > 3 ? fields[3] : "east";
    long startedUs = fields.length > 4 ? Long.parseLong(fields[4]) * MICROS_PER_MILLI : 0;
    double weight = fields.length > 5 ? Double.parseDouble(fields[5]) : 1;
    return new Endpoint(fields[0], health, startedUs, cell, zone, weight);
  }
}
