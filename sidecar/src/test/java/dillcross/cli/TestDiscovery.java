package dillcross.cli;

import static dillcross.cli.HttpMessages.pathOf;
import static dillcross.cli.HttpMessages.readMessage;
import static dillcross.cli.HttpMessages.response;
import static dillcross.cli.HttpMessages.send;

import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A discovery service that holds watches (long polls) open until a test publishes endpoints. */
final class TestDiscovery extends LoopbackServer {
  /** A scripted reply that never answers the call. */
  static final String SILENCE = "silent";

  private static final String DELAY_PREFIX = "later";
  private static final long REPLY_DELAY_MS = 400;

  /** HTTP responses to the next calls, one for each call, sent in place of the endpoint list. */
  final List<String> scriptedReplies = Collections.synchronizedList(new ArrayList<>());

  private String entries = ""; // JSON of the endpoints that changed in the current version
  private int version = 1;
  private int requestedVersion; // the list version that the sidecar named in its last watch

  /** A scripted reply that is sent after 0.4 s. */
  static String delayed(String reply) {
    return DELAY_PREFIX + reply;
  }

  /** The list entry of an endpoint that accepts requests. */
  static String inService(String id, String address) {
    return entry(id, "in_service", address);
  }

  /** The list entry of an endpoint that drains. */
  static String terminating(String id, String address) {
    return entry(id, "terminating", address);
  }

  /** The list entry that removes an endpoint. */
  static String terminated(String id, String address) {
    return entry(id, "terminated", address);
  }

  /** The list entry of an endpoint as JSON, in a state of the discovery protocol. */
  static String entry(String id, String state, String address) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + address
        + "\",\"zone\":\"east\",\"kind\":\"k\",\"cell\":1,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  /** Publishes a new version of the endpoint list, in which these entries have changed. */
  synchronized void publish(String... changedEntries) {
    entries = String.join(",", changedEntries);
    version++;
    notifyAll();
  }

  /** Publishes these changes, and waits until the sidecar asks for the version after them. */
  synchronized void publishAndAwait(String... changedEntries) throws InterruptedException {
    publish(changedEntries);
    while (requestedVersion < version) {
      wait();
    }
  }

  /**
   * Waits for at most {@code timeoutMs} until the sidecar has asked for the version after the last
   * published one.
   *
   * @return whether it has asked for it
   */
  synchronized boolean awaitReceived(long timeoutMs) throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (requestedVersion < version) {
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
      if (remainingMs <= 0) {
        return false;
      }
      wait(remainingMs);
    }
    return true;
  }

  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    for (String request = readMessage(in); !request.isEmpty(); request = readMessage(in)) {
      requests.add(request);
      String reply = replyTo(pathOf(request));
      if (reply.startsWith(DELAY_PREFIX)) {
        Thread.sleep(REPLY_DELAY_MS);
        reply = reply.substring(DELAY_PREFIX.length());
      }
      if (reply.equals(SILENCE)) {
        new CountDownLatch(1).await();
      }
      send(socket, reply);
    }
  }

  private synchronized String replyTo(String path) throws InterruptedException {
    if (!scriptedReplies.isEmpty()) {
      return scriptedReplies.remove(0);
    }
    int knownVersion = Integer.parseInt(path.replaceAll(".*since=([0-9]+).*", "$1"));
    requestedVersion = knownVersion;
    notifyAll();
    while (knownVersion >= version) {
      wait();
    }
    return response(
        200, "", "{\"version\":" + version + ",\"full\":false,\"servers\":[" + entries + "]}");
  }
}
