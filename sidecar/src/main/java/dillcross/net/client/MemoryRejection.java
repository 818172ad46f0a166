package dillcross.net.client;

import dillcross.net.buffer.MemoryBudget;
import dillcross.net.http.HttpResponse;
import java.util.logging.Logger;

/**
 * The response to requests for which there is no memory. Nothing of such a request was forwarded,
 * so a retry is safe. Belongs to the selector thread.
 */
final class MemoryRejection {
  private static final Logger LOG = Logger.getLogger(MemoryRejection.class.getName());
  private static final long LOG_INTERVAL_US = 10_000_000;

  private final MemoryBudget budget;
  private final RetryAfter retryAfter;
  private long loggedUs = -LOG_INTERVAL_US; // when a rejection was last logged

  MemoryRejection(MemoryBudget budget, RetryAfter retryAfter) {
    this.budget = budget;
    this.retryAfter = retryAfter;
  }

  /** Returns the response, and logs that there is no memory, unless that was logged just before. */
  HttpResponse response(long nowUs, String body) {
    if (nowUs - loggedUs >= LOG_INTERVAL_US) {
      loggedUs = nowUs;
      LOG.warning(
          () ->
              "rejecting requests, "
                  + budget.taken()
                  + " of "
                  + budget.maxBytes()
                  + " bytes are held for clients and endpoints");
    }
    return HttpResponse.rejection(body, retryAfter.us());
  }
}
