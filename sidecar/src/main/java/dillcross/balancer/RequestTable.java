package dillcross.balancer;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** The requests of one sidecar, and what is to be done with them next. */
final class RequestTable {
  private static final Comparator<Request> BY_RANK =
      Comparator.<Request>comparingDouble(request -> request.rank)
          .reversed()
          .thenComparingLong(request -> request.sequence);

  /** Waiting for capacity, the highest rank first. */
  final TreeSet<Request> waiting = new TreeSet<>(BY_RANK);

  private final Map<Long, Request> requests = new HashMap<>();
  private final ArrayDeque<Request> toPlace = new ArrayDeque<>();
  private final ArrayDeque<Request> toCancel = new ArrayDeque<>();

  /** The request of that id; null where it is over and has nothing in flight. */
  Request find(long id) {
    return requests.get(id);
  }

  void add(Request request) {
    requests.put(request.id, request);
    toPlace.add(request);
  }

  /** Its last attempt has ended without an answer. */
  void placeAgain(Request request) {
    toPlace.add(request);
  }

  /** It has an answer or needs none: attempts in flight have nothing to give. */
  void cancelOthers(Request request) {
    toCancel.add(request);
  }

  /** The next request with nothing in flight that needs an attempt or an answer; null if none. */
  Request nextToPlace() {
    Request request = toPlace.poll();
    while (request != null && (request.isOver || request.attemptsInFlight > 0)) {
      request = toPlace.poll();
    }
    return request;
  }

  /** The next request whose attempts in flight have nothing to give; null if none. */
  Request nextToCancel() {
    return toCancel.poll();
  }

  /** Keeps a request that is over only while an attempt is in flight, and has that cancelled. */
  void settle(Request request, boolean ends) {
    waiting.remove(request);
    if (ends && !request.isOver && request.streaming == null) {
      toCancel.add(request);
    }
    request.isOver |= ends;
    if (request.isOver && request.attemptsInFlight == 0) {
      requests.remove(request.id);
    }
  }
}
