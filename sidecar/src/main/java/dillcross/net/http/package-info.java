/**
 * HTTP/1.1 messages, their parser, and the protocol's header fields. Messages are values; a parser
 * belongs to the thread of its connection. The package does not depend on sockets.
 */
package dillcross.net.http;
