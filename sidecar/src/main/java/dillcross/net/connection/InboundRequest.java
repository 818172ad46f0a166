package dillcross.net.connection;

import dillcross.net.http.HttpRequest;

/**
 * A client's request as it is sent to endpoints.
 *
 * @param source brings the rest of its body; null where the body is complete
 */
public record InboundRequest(HttpRequest request, Connection source) {}
