package dillcross.simulator;

import dillcross.balancer.LoadBalancer;
import dillcross.config.ConfigReader;
import dillcross.config.ConfigValues;
import dillcross.config.InvalidConfigException;
import dillcross.model.Decision;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs many load balancers, which share nothing, for a simulator: reads batches of events, and
 * answers each batch with the decisions of the load balancers that had an event in it.
 * Single-threaded.
 */
public final class SimulatorSession {
  private static final int INPUT_BUFFER_BYTES = 1 << 16;
  private static final int OUTPUT_BUFFER_CHARS = 1 << 12;

  private final BufferedReader in;
  private final OutputStream out;
  private final Map<Integer, LoadBalancer> instances = new HashMap<>();
  private final Map<Integer, List<Endpoint>> snapshots = new HashMap<>();
  private final EventDispatcher dispatcher = new EventDispatcher(snapshots);
  // The load balancers that had an event in this batch, by number.
  private final Map<Integer, LoadBalancer> touched = new LinkedHashMap<>();
  private final Map<Integer, String> failures = new LinkedHashMap<>(); // exceptions in this batch
  private final StringBuilder output = new StringBuilder(OUTPUT_BUFFER_CHARS);
  private long lineNumber;
  private long nowUs;

  /** Creates a session, which reads nothing before {@link #run}; it does not close the streams. */
  public SimulatorSession(InputStream in, OutputStream out) {
    InputStreamReader reader = new InputStreamReader(in, StandardCharsets.UTF_8);
    this.in = new BufferedReader(reader, INPUT_BUFFER_BYTES);
    this.out = out;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws MalformedInputException for input that violates the protocol
   */
  public void run() throws IOException {
    boolean isInBatch = false;
    String line = in.readLine();
    while (line != null) {
      lineNumber++;
      isInBatch = handle(new WireFields(line, lineNumber), isInBatch);
      line = in.readLine();
    }
    if (isInBatch) {
      throw new MalformedInputException("line " + lineNumber + ": the input ends within a batch");
    }
  }

  /** Handles one line; returns whether a batch is open after it. */
  private boolean handle(WireFields fields, boolean isInBatch) throws IOException {
    String name = fields.text();
    if (name.equals(WireFormat.BATCH_BEGIN)) {
      if (isInBatch) {
        throw fields.malformed("a batch begins within a batch");
      }
      nowUs = fields.microseconds();
      return true;
    }
    if (!isInBatch) {
      throw fields.malformed("message outside a batch");
    }
    if (name.equals(WireFormat.BATCH_END)) {
      answer();
      return false;
    }
    onEvent(name, fields);
    return true;
  }

  private void onEvent(String name, WireFields fields) throws IOException {
    switch (name) {
      case WireFormat.ENDPOINT_LIST -> snapshots.put(fields.index(), readEndpoints(fields.index()));
      case WireFormat.CREATE_INSTANCE -> openInstance(fields);
      case WireFormat.REMOVE_INSTANCE -> {
        int instance = fields.index();
        instances.remove(instance);
        touched.remove(instance);
      }
      case WireFormat.ENDPOINTS_CHANGED,
          WireFormat.REQUEST_ARRIVED,
          WireFormat.ATTEMPT_ENDED,
          WireFormat.RESPONSE_STARTED,
          WireFormat.CLIENT_DISCONNECTED,
          WireFormat.HEALTH_CHECKED,
          WireFormat.PEER_MESSAGE,
          WireFormat.TIMER_DUE ->
          onInstanceEvent(name, fields);
      default -> throw fields.malformed("unknown message");
    }
  }

  private void onInstanceEvent(String name, WireFields fields) {
    int instance = fields.index();
    LoadBalancer balancer = instances.get(instance);
    if (balancer == null) {
      throw fields.malformed("no such instance is open");
    }
    touched.put(instance, balancer);
    try {
      dispatcher.dispatch(name, fields, balancer, nowUs);
    } catch (MalformedInputException e) {
      throw e;
    } catch (RuntimeException e) {
      failures.putIfAbsent(instance, describe(e));
    }
  }

  private void openInstance(WireFields fields) {
    int instance = fields.index();
    long seed = fields.wholeNumber(0);
    LoadBalancer balancer = createBalancer(seed, fields);
    instances.put(instance, balancer);
    touched.put(instance, balancer);
  }

  private static LoadBalancer createBalancer(long seed, WireFields fields) {
    Map<String, String> pairs = new HashMap<>();
    while (fields.hasMore()) {
      String pair = fields.optionalText();
      int separator = pair == null ? -1 : pair.indexOf('=');
      if (separator > 0) {
        pairs.put(pair.substring(0, separator), pair.substring(separator + 1));
      }
    }
    try {
      ConfigValues settings = ConfigValues.ofPairs(pairs);
      boolean polls = ConfigReader.pollsDiscovery(settings);
      return new LoadBalancer(seed, ConfigReader.balancerSettings(settings, polls));
    } catch (InvalidConfigException e) {
      throw fields.malformed(e.getMessage(), e);
    }
  }

  private List<Endpoint> readEndpoints(int count) throws IOException {
    List<Endpoint> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String line = in.readLine();
      lineNumber++;
      WireFields fields = new WireFields(line == null ? "" : line, lineNumber);
      if (line == null || !fields.text().equals(WireFormat.ENDPOINT)) {
        throw fields.malformed("a row of the endpoint list is missing");
      }
      entries.add(readEndpoint(fields));
    }
    return entries;
  }

  private static Endpoint readEndpoint(WireFields fields) {
    fields.skip();
    String id = fields.text();
    long startedUs = fields.microseconds();
    Health health =
        switch (fields.text()) {
          case WireFormat.HEALTH_UP -> Health.UP;
          case WireFormat.HEALTH_DRAINING -> Health.DRAINING;
          default -> Health.REMOVED;
        };
    double weight = fields.number(1);
    int cell = fields.index();
    String zone = fields.optionalText();
    return new Endpoint(
        id, health, startedUs, cell, zone == null ? "" : zone, weight > 0 ? weight : 1);
  }

  private void answer() throws IOException {
    touched.forEach(this::writeDecisions);
    failures.forEach(
        (instance, failure) ->
            output
                .append(WireFormat.INSTANCE_FAILED)
                .append(' ')
                .append(instance)
                .append(' ')
                .append(failure)
                .append('\n'));
    output.append(WireFormat.ANSWER_END).append('\n');
    out.write(output.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
    output.setLength(0);
    touched.clear();
    failures.clear();
  }

  private void writeDecisions(int instance, LoadBalancer balancer) {
    if (failures.containsKey(instance)) {
      return;
    }
    DecisionWriter writer = new DecisionWriter(output, instance);
    try {
      Decision decision = balancer.next();
      while (decision != null) {
        decision.accept(writer);
        decision = balancer.next();
      }
    } catch (RuntimeException e) {
      failures.put(instance, describe(e));
    }
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    String where = trace.length > 0 ? " at " + trace[0] : "";
    return (e + where).replaceAll("\\s+", " ");
  }
}
