package dillcross.net.client;

import dillcross.net.connection.Connection;
import dillcross.net.http.HttpRequest;

/**
 * The receiver of a response: the connection on which the request arrived, and what of the request
 * decides how the response is written.
 *
 * @param isHttp10 whether the client uses HTTP/1.0
 * @param keepsAlive whether the client keeps the connection open
 */
public record Caller(Connection connection, boolean isHttp10, boolean keepsAlive) {
  static Caller of(Connection connection, HttpRequest request) {
    return new Caller(connection, request.isHttp10(), request.keepsAlive());
  }
}
