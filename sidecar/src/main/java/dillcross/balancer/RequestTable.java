package dillcross.balancer;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Keeps the requests of one sidecar, and which of them need an attempt, wait for capacity, or have
 * attempts to cancel.
 */
final class RequestTable {
  private static final Comparator<Request> BY_RANK =
      Comparator.comparingDouble(Request::rank)
          .reversed()
          .thenComparingLong(request -> request.sequence);

  private final Map<Long, Request> requests = new HashMap<>();
  private final ArrayDeque<Request> toPlace = new ArrayDeque<>();
  private final ArrayDeque<Request> toCancel = new ArrayDeque<>();
  private final TreeSet<Request> waiting = new TreeSet<>(BY_RANK);

  /** The request of that id; null if there is none, or if it is over and has nothing in flight. */
  Request find(long id) {
    return requests.get(id);
  }

  void add(Request request) {
    requests.put(request.id, request);
    toPlace.add(request);
  }

  /**
   * Queues the request for another attempt, because its last attempt has ended without an answer.
   */
  void placeAgain(Request request) {
    toPlace.add(request);
  }

  /**
   * Queues the request for cancellation of its other attempts, because its response has started.
   */
  void cancelOthers(Request request) {
    toCancel.add(request);
  }

  /** The next request with nothing in flight that needs an attempt or an answer; null if none. */
  Request nextToPlace() {
    Request request = toPlace.poll();
    while (request != null && (request.isOver() || request.attemptsInFlight() > 0)) {
      request = toPlace.poll();
    }
    return request;
  }

  /** The next request whose attempts in flight are unneeded; null if none. */
  Request nextToCancel() {
    return toCancel.poll();
  }

  // Requests that wait for capacity, the highest rank first

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  int waitingCount() {
    return waiting.size();
  }

  Request highestWaiting() {
    return waiting.first();
  }

  Request lowestWaiting() {
    return waiting.last();
  }

  void addWaiting(Request request) {
    waiting.add(request);
  }

  /** Removes the request from those that wait. Returns whether it was waiting. */
  boolean removeWaiting(Request request) {
    return waiting.remove(request);
  }

  /**
   * Updates the table after a change of the request. A request that is over is kept only while it
   * has attempts in flight, which are to be cancelled.
   *
   * @param ends whether the request is over with this change
   */
  void settle(Request request, boolean ends) {
    waiting.remove(request);
    if (ends && !request.isOver() && request.streaming() == null) {
      toCancel.add(request);
    }
    if (ends) {
      request.end();
    }
    if (request.isOver() && request.attemptsInFlight() == 0) {
      requests.remove(request.id);
    }
  }
}
