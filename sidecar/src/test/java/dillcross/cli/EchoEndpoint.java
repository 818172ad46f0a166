package dillcross.cli;

import static dillcross.cli.HttpMessages.readBody;
import static dillcross.cli.HttpMessages.readHead;
import static dillcross.cli.HttpMessages.send;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An endpoint that returns the body of each request, in chunks for paths with {@code /echo1}. */
final class EchoEndpoint extends LoopbackServer {
  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    OutputStream output = socket.getOutputStream();
    for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
      requests.add(head);
      byte[] body =
          head.startsWith("GET")
              ? TestEndpoint.BODY.getBytes(StandardCharsets.ISO_8859_1)
              : readBody(in, head);
      if (head.contains("/echo1")) {
        send(socket, "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n");
        send(socket, Integer.toHexString(body.length) + "\r\n");
        output.write(body);
        send(socket, "\r\n0\r\n\r\n");
      } else {
        send(socket, "HTTP/1.1 200 x\r\nContent-Length: " + body.length + "\r\n\r\n");
        output.write(body);
      }
    }
  }
}
