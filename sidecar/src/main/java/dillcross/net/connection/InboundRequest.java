package dillcross.net.connection;

import dillcross.net.http.HttpRequest;

/**
 * A request as it is sent to endpoints.
 *
 * @param source the client's connection, on which the rest of a streamed body arrives; null for a
 *     request that the sidecar makes itself
 */
public record InboundRequest(HttpRequest request, Connection source) {}
