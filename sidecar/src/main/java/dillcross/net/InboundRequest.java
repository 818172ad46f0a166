package dillcross.net;

import dillcross.net.http.HttpRequest;

/**
 * A client's request as it is sent to endpoints.
 *
 * @param source brings the rest of its body; null where the body is complete
 */
record InboundRequest(HttpRequest request, Connection source) {}
