package dillcross.net.connection;

import dillcross.net.http.HttpResponse;

/**
 * An endpoint's response whose body is streamed.
 *
 * @param source the connection to the endpoint, on which the rest of the body arrives
 */
public record InboundResponse(HttpResponse response, Connection source) {}
