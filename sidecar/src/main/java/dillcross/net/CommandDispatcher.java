package dillcross.net;

import dillcross.net.client.Caller;
import dillcross.net.client.ClientResponder;
import dillcross.net.connection.InboundResponse;
import dillcross.net.discovery.DiscoveryClient;
import dillcross.net.endpoint.AttemptExecutor;
import dillcross.net.http.HttpResponse;
import dillcross.net.http.HttpStatus;
import dillcross.sidecar.NetworkCommand;

/** Passes each command of the coordinator to the component that carries it out. */
final class CommandDispatcher {
  // Response bodies that are part of the protocol with clients.
  private static final String REJECTED_BODY = "turned away, another try is harmless";
  private static final String FAILED_BODY = "failed";
  private static final String CLIENT_ERROR_BODY = "turned down"; // with the endpoint's 4xx status

  private final ClientResponder responder;
  private final AttemptExecutor attempts;
  private final DiscoveryClient discovery;

  CommandDispatcher(
      ClientResponder responder, AttemptExecutor attempts, DiscoveryClient discovery) {
    this.responder = responder;
    this.attempts = attempts;
    this.discovery = discovery;
  }

  void carryOut(NetworkCommand command) {
    if (command instanceof NetworkCommand.SendAttempt send) {
      attempts.start(send);
    } else if (command instanceof NetworkCommand.AbandonAttempt abandon) {
      attempts.abandon(abandon);
    } else if (command instanceof NetworkCommand.WithdrawAttempt withdraw) {
      attempts.withdraw(withdraw);
    } else if (command instanceof NetworkCommand.ForwardResponse forward) {
      forward(forward);
    } else if (command instanceof NetworkCommand.StartStreaming start) {
      startStreaming(start);
    } else if (command instanceof NetworkCommand.FinishStreaming finish) {
      responder.finishStreaming(caller(finish.client()), finish.complete());
    } else if (command instanceof NetworkCommand.ForwardClientError error) {
      int status = ((HttpResponse) error.content()).status();
      responder.respond(caller(error.client()), HttpResponse.text(status, CLIENT_ERROR_BODY));
    } else if (command instanceof NetworkCommand.RejectRequest reject) {
      reject(reject);
    } else if (command instanceof NetworkCommand.FailRequest fail) {
      responder.respond(
          caller(fail.client()), HttpResponse.text(HttpStatus.BAD_GATEWAY, FAILED_BODY));
    } else if (command instanceof NetworkCommand.CloseConnections close) {
      attempts.closeConnections(close.endpoint());
    } else if (command instanceof NetworkCommand.WatchEndpoints watch) {
      discovery.watch(watch);
    }
  }

  private static Caller caller(Object client) {
    return (Caller) client;
  }

  private void forward(NetworkCommand.ForwardResponse command) {
    Caller caller = caller(command.client());
    HttpResponse response = (HttpResponse) command.content();
    responder.respond(caller, response.forwarded(caller.isHttp10()));
  }

  private void startStreaming(NetworkCommand.StartStreaming command) {
    Caller caller = caller(command.client());
    InboundResponse inbound = (InboundResponse) command.content();
    boolean chunked = responder.startStreaming(caller, inbound.response());
    inbound.dropFirstBytes();
    attempts.relayResponse(inbound, caller.connection(), chunked);
  }

  private void reject(NetworkCommand.RejectRequest command) {
    HttpResponse response = HttpResponse.rejection(REJECTED_BODY, command.retryAfterUs());
    responder.respond(caller(command.client()), response);
  }
}
