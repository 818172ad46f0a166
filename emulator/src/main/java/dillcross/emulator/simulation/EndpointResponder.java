package dillcross.emulator.simulation;

import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.simulation.EndpointFaults.ResetMoment;
import java.util.Arrays;

/**
 * Sends the result of finished work: the regular response or, if a fault of the endpoint applies to
 * the request, a server error, a reset or malformed bytes.
 */
final class EndpointResponder {
  private static final int MALFORMED_BYTES = 40;

  /** Minimum length in bytes of a truncated response, so that it contains the status line. */
  private static final int MIN_PARTIAL_RESPONSE_BYTES = 20;

  private final SimulationContext context;
  private final EmulatedEndpoint endpoint;
  private final RandomStream random;

  /** Whether a fault applies is drawn from a child stream of {@code random} for each request. */
  EndpointResponder(SimulationContext context, EmulatedEndpoint endpoint, RandomStream random) {
    this.context = context;
    this.endpoint = endpoint;
    this.random = random;
  }

  /** Sends the result on the work's connection, which is still open. */
  void respond(EndpointWork work) {
    EndpointConnection connection = work.connection();
    EndpointFaults faults = endpoint.faults();
    String requestId = work.request().id();
    RandomStream draws = random.named(requestId);
    boolean isError = draws.happens(faults.errorShare());
    boolean isReset =
        faults.resetMoment() != ResetMoment.BEFORE_WORK && draws.happens(faults.resetShare());
    int tracedStatus = tracedStatus(isError, isReset);
    context.note("reply", "op", requestId, "at", endpoint.id(), "status", tracedStatus);
    byte[] body = body(work.request());
    if (isReset) {
      if (faults.resetMoment() == ResetMoment.WITHIN_RESPONSE) {
        connection.sendRaw(partialResponse(body, draws));
      }
      connection.reset();
    } else if (isError) {
      connection.answer(HttpStatus.INTERNAL_SERVER_ERROR, "failed", false);
    } else if (draws.happens(faults.malformedShare())) {
      connection.sendRaw(HttpStreamReader.body("\u0001\u0002 no answer\r\n\r\n", MALFORMED_BYTES));
      connection.close();
    } else {
      connection.sendResult(body);
    }
  }

  private static int tracedStatus(boolean isError, boolean isReset) {
    if (isError) {
      return HttpStatus.INTERNAL_SERVER_ERROR;
    }
    return isReset ? 0 : HttpStatus.OK;
  }

  private byte[] body(ObservedRequest request) {
    String prefix = request.id() + " " + endpoint.id() + " ";
    return HttpStreamReader.body(prefix, request.requestClass().answerBytes());
  }

  private static byte[] partialResponse(byte[] body, RandomStream draws) {
    byte[] response = HttpStreamReader.message("HTTP/1.1 200 x", body, false);
    int maxCutBytes = Math.min(body.length - 1, response.length - MIN_PARTIAL_RESPONSE_BYTES);
    int cutBytes = (int) draws.between(0L, maxCutBytes);
    return Arrays.copyOf(response, response.length - 1 - cutBytes);
  }
}
