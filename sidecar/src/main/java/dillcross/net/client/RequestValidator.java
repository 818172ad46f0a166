package dillcross.net.client;

import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpRequest;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import java.util.Optional;

/**
 * Checks clients' requests before they are admitted, so that no endpoint receives an invalid one.
 * Stateless.
 */
final class RequestValidator {
  private static final String TIMEOUT_PATTERN = "[0-9]{1,9}";
  private static final String VISIBLE_TEXT_PATTERN = "[!-~]{1,128}";

  private RequestValidator() {}

  /**
   * Checks a request against its class.
   *
   * @return the response that rejects the request; empty if the request is valid
   */
  static Optional<HttpResponse> check(HttpRequest request, RequestClass requestClass) {
    String method =
        requestClass.idempotency() == Idempotency.IDEMPOTENT ? HttpRequest.GET : HttpRequest.POST;
    if (!request.method().equals(method)) {
      return Optional.of(HttpResponse.methodNotAllowed(method));
    }
    return findFault(request, requestClass)
        .map(text -> HttpResponse.text(HttpStatus.BAD_REQUEST, text));
  }

  private static Optional<String> findFault(HttpRequest request, RequestClass requestClass) {
    String id = request.field(HeaderNames.REQUEST_ID);
    boolean needsKey = requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
    if (request.method().equals(HttpRequest.GET) && request.body().length > 0) {
      return Optional.of("GET takes no body");
    }
    if (!isTimeout(request.field(HeaderNames.REQUEST_TIMEOUT))) {
      return Optional.of(
          HeaderNames.REQUEST_TIMEOUT + " has to be a whole number of milliseconds above 0");
    }
    if (!isVisibleText(id)) {
      return Optional.of(HeaderNames.REQUEST_ID + " is missing or malformed");
    }
    if (needsKey && !isVisibleText(request.field(HeaderNames.IDEMPOTENCY_KEY))) {
      // Endpoints could not deduplicate a retry without the key.
      return Optional.of(HeaderNames.IDEMPOTENCY_KEY + " is missing or malformed");
    }
    return Optional.empty();
  }

  private static boolean isTimeout(String text) {
    return text != null && text.matches(TIMEOUT_PATTERN) && Long.parseLong(text) > 0;
  }

  private static boolean isVisibleText(String text) {
    return text != null && text.matches(VISIBLE_TEXT_PATTERN);
  }
}
