package dillcross.net.connection;

import dillcross.net.http.HttpResponse;

/**
 * An endpoint's response that is streamed.
 *
 * @param source brings the rest of its body
 */
public record InboundResponse(HttpResponse response, Connection source) {}
