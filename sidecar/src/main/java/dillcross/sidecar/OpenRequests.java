package dillcross.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.stream.Stream;

/**
 * The requests in memory, by the ids that this sidecar gives them. Abandons their attempts by
 * commands to the network. Belongs to the selector thread.
 */
final class OpenRequests {
  private final Map<Long, OpenRequest> requests = new HashMap<>();
  private final Queue<NetworkCommand> commands;
  private long lastId;

  OpenRequests(Queue<NetworkCommand> commands) {
    this.commands = commands;
  }

  /** Adds a request, and returns its id. */
  long add(OpenRequest request) {
    lastId++;
    requests.put(lastId, request);
    return lastId;
  }

  /** The request of that id; null if none is in memory. */
  OpenRequest find(long id) {
    return requests.get(id);
  }

  /** The request of that id; null if it is finished or not in memory. */
  OpenRequest findUnfinished(long id) {
    OpenRequest request = requests.get(id);
    return request == null || request.isFinished() ? null : request;
  }

  /** Finishes the request: its client gets no further answer. */
  void finish(long id, OpenRequest request) {
    request.finish();
    removeIfDone(id, request);
  }

  /** Removes the request if it is finished and no attempt of it is in flight. */
  void removeIfDone(long id, OpenRequest request) {
    if (request.isRemovable()) {
      requests.remove(id);
    }
  }

  /** Abandons an attempt that is not needed any more, if it is in flight. */
  void cancelAttempt(long id, OpenRequest request, int number) {
    OpenAttempt attempt = request.findInFlight(number);
    if (attempt != null) {
      abandon(id, number, attempt, false);
    }
  }

  /** Abandons an attempt whose deadline has passed, if it is in flight. */
  void timeOutAttempt(long id, OpenRequest request, int number) {
    OpenAttempt attempt = request.findInFlight(number);
    if (attempt != null && !request.isStreaming(attempt)) { // a streamed response has no deadline
      abandon(id, number, attempt, true);
    }
  }

  /** Abandons all attempts in flight of a request whose deadline has passed. */
  void timeOutAttempts(long id, OpenRequest request) {
    for (int number = 0; number < request.attemptCount(); number++) {
      timeOutAttempt(id, request, number);
    }
  }

  /** Withdraws the attempts in flight that were not sent yet. */
  void withdrawAttempts(long id, OpenRequest request) {
    for (int number = 0; number < request.attemptCount(); number++) {
      if (request.findInFlight(number) != null) {
        commands.add(new NetworkCommand.WithdrawAttempt(id, number));
      }
    }
  }

  private void abandon(long id, int number, OpenAttempt attempt, boolean timedOut) {
    attempt.abandon(timedOut);
    commands.add(new NetworkCommand.AbandonAttempt(id, number));
  }

  /** The ids of the requests whose clients still wait for the end of their answer. */
  List<Long> unfinishedIds() {
    return unfinished().map(Map.Entry::getKey).toList();
  }

  /** The number of requests whose clients still wait for the end of their answer. */
  long unfinishedCount() {
    return unfinished().count();
  }

  private Stream<Map.Entry<Long, OpenRequest>> unfinished() {
    return requests.entrySet().stream().filter(entry -> !entry.getValue().isFinished());
  }

  /** The number of requests in memory, finished ones included. */
  int size() {
    return requests.size();
  }
}
