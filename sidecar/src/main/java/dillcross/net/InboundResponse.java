package dillcross.net;

import dillcross.net.http.HttpResponse;

/**
 * An endpoint's response that is streamed.
 *
 * @param source brings the rest of its body
 */
record InboundResponse(HttpResponse response, Connection source) {}
