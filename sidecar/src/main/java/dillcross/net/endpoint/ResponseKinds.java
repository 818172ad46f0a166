package dillcross.net.endpoint;

import dillcross.net.http.HeaderNames;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import dillcross.sidecar.AttemptResult;

/** Tells by status and fields of an endpoint's response how its attempt ended. */
final class ResponseKinds {
  private ResponseKinds() {}

  /** What the response says of its attempt. */
  static AttemptResult.Kind of(HttpResponse response) {
    return switch (response.status()) {
      case HttpStatus.OK -> AttemptResult.Kind.SUCCEEDED;
      case HttpStatus.SERVICE_UNAVAILABLE, HttpStatus.GATEWAY_TIMEOUT ->
          HeaderNames.FLAG_SET.equals(response.field(HeaderNames.NOT_STARTED))
              ? AttemptResult.Kind.OVERLOADED
              : AttemptResult.Kind.ERROR;
      // These depend on the endpoint or on the moment, whereas any other 4xx is about the request.
      case HttpStatus.REQUEST_TIMEOUT, HttpStatus.TOO_EARLY, HttpStatus.TOO_MANY_REQUESTS ->
          AttemptResult.Kind.ERROR;
      default ->
          HttpStatus.isClientError(response.status())
              ? AttemptResult.Kind.CLIENT_ERROR
              : AttemptResult.Kind.ERROR;
    };
  }
}
