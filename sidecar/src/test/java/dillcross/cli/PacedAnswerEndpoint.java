package dillcross.cli;

import static dillcross.cli.HttpMessages.readMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * An endpoint that states no length of its answers, and gives them in pieces at 64 kB a second, the
 * first one at once.
 */
final class PacedAnswerEndpoint extends LoopbackServer {
  private static final int BYTES_PER_MILLI = 64;

  private final boolean isChunked;
  private final int bodyBytes;
  private final int pieceBytes;

  /**
   * Creates an endpoint.
   *
   * @param isChunked whether answers are chunked; otherwise the end of the connection is their end
   */
  PacedAnswerEndpoint(boolean isChunked, int bodyBytes, int pieceBytes) {
    this.isChunked = isChunked;
    this.bodyBytes = bodyBytes;
    this.pieceBytes = pieceBytes;
  }

  @Override
  void serve(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    for (String request = readMessage(in); !request.isEmpty(); request = readMessage(in)) {
      requests.add(request);
      answer(socket.getOutputStream());
      if (!isChunked) {
        return;
      }
    }
  }

  private void answer(OutputStream out) throws IOException, InterruptedException {
    String framing = isChunked ? "Transfer-Encoding: chunked" : "Connection: close";
    out.write(ascii("HTTP/1.1 200 x\r\n" + framing + "\r\n\r\n"));
    for (int sent = 0; sent < bodyBytes; sent += pieceBytes) {
      out.write(piece(Math.min(pieceBytes, bodyBytes - sent)));
      Thread.sleep(pieceBytes / BYTES_PER_MILLI);
    }
    if (isChunked) {
      out.write(ascii("0\r\n\r\n"));
    }
  }

  private byte[] piece(int length) {
    ByteArrayOutputStream piece = new ByteArrayOutputStream();
    if (isChunked) {
      piece.writeBytes(ascii(Integer.toHexString(length) + "\r\n"));
    }
    piece.writeBytes(ascii("x".repeat(length)));
    if (isChunked) {
      piece.writeBytes(ascii("\r\n"));
    }
    return piece.toByteArray();
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
