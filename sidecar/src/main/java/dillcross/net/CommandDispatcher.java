package dillcross.net;

import dillcross.net.client.ClientListener;
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

  private final ClientListener listener;
  private final AttemptExecutor attempts;
  private final DiscoveryClient discovery;

  CommandDispatcher(ClientListener listener, AttemptExecutor attempts, DiscoveryClient discovery) {
    this.listener = listener;
    this.attempts = attempts;
    this.discovery = discovery;
  }

  void carryOut(NetworkCommand command) {
    if (command instanceof NetworkCommand.SendAttempt send) {
      attempts.start(send);
    } else if (command instanceof NetworkCommand.AbandonAttempt abandon) {
      attempts.abandon(abandon);
    } else if (command instanceof NetworkCommand.ForwardResponse forward) {
      forward(forward);
    } else if (command instanceof NetworkCommand.StartStreaming start) {
      startStreaming(start);
    } else if (command instanceof NetworkCommand.FinishStreaming finish) {
      listener.finishStreaming(caller(finish.client()), finish.complete());
    } else if (command instanceof NetworkCommand.ForwardClientError error) {
      int status = ((HttpResponse) error.content()).status();
      listener.respond(caller(error.client()), HttpResponse.text(status, CLIENT_ERROR_BODY));
    } else if (command instanceof NetworkCommand.RejectRequest reject) {
      reject(reject);
    } else if (command instanceof NetworkCommand.FailRequest fail) {
      listener.respond(
          caller(fail.client()), HttpResponse.text(HttpStatus.BAD_GATEWAY, FAILED_BODY));
    } else if (command instanceof NetworkCommand.CloseConnections close) {
      attempts.closeConnections(close.endpoint());
    } else if (command instanceof NetworkCommand.WatchEndpoints watch) {
      discovery.watch(watch);
    }
  }

  private static ClientListener.Caller caller(Object client) {
    return (ClientListener.Caller) client;
  }

  private void forward(NetworkCommand.ForwardResponse command) {
    ClientListener.Caller caller = caller(command.client());
    HttpResponse response = (HttpResponse) command.content();
    listener.respond(caller, response.forwarded(caller.isHttp10()));
  }

  private void startStreaming(NetworkCommand.StartStreaming command) {
    ClientListener.Caller caller = caller(command.client());
    InboundResponse inbound = (InboundResponse) command.content();
    boolean chunked = listener.startStreaming(caller, inbound.response());
    inbound.dropFirstBytes();
    attempts.relayResponse(inbound, caller.connection(), chunked);
  }

  private void reject(NetworkCommand.RejectRequest command) {
    HttpResponse response = HttpResponse.rejection(REJECTED_BODY, command.retryAfterUs());
    listener.respond(caller(command.client()), response);
  }
}
