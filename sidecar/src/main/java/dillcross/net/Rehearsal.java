package dillcross.net;

import dillcross.balancer.LoadBalancer;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import dillcross.model.RequestClass;
import dillcross.sidecar.AttemptResult;
import dillcross.sidecar.EndpointEntry;
import dillcross.sidecar.IncomingRequest;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.WriteProgress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs made-up ops through a core, a module and a codec of its own before the first client comes:
 * code that has not run yet is slow, and the first ops after a start would pay for it. Nothing of
 * it is kept.
 */
public final class Rehearsal {
  private static final int OPS = 400;

  private Rehearsal() {}

  public static void run(LoadBalancer logic, List<RequestClass> categories) {
    RequestCoordinator core = new RequestCoordinator(logic);
    List<EndpointEntry> list = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      list.add(new EndpointEntry(new Endpoint("e" + i, Health.UP, 0, i % 2, "", 1), "none"));
    }
    core.onEndpointList(1, 1, true, list, false);
    Ring ring = new Ring(1 << 17, new Budget(1 << 20));
    Message request =
        Message.request("POST", "/a/b", Map.of("host", "a", Names.ID, "1"), new byte[100]);
    long now = 1;
    for (int i = 0; i < OPS; i++, now += 1000) {
      ring.add(request.start());
      Message read = new Reader(true, Reader.WHOLE, Reader.WHOLE).read(ring, false);
      core.onRequest(
          now,
          new IncomingRequest(
              read,
              read,
              null,
              categories.get(i % categories.size()).name(),
              500_000,
              false,
              false));
      for (NetworkCommand order; (order = core.next(now)) != null; ) {
        if (order instanceof NetworkCommand.SendAttempt push) {
          Message ok = Message.answer(200, "ok");
          ring.add(ok.start());
          Message answer = new Reader(false, Reader.WHOLE, Reader.WHOLE).read(ring, false);
          core.onAttemptEnded(
              now,
              push.requestId(),
              push.attempt(),
              new AttemptResult(
                  push.requestId() % 50 == 0
                      ? AttemptResult.Kind.CONNECTION_BROKEN
                      : AttemptResult.Kind.SUCCEEDED,
                  WriteProgress.FULLY_WRITTEN,
                  answer));
        }
      }
    }
  }
}
