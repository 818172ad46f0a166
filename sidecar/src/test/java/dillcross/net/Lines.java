package dillcross.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A network whose other side is the test: each connection that is asked for is a line that it
 * moves.
 */
final class Lines implements Network {
  final List<Line> lines = new ArrayList<>();

  /** A connection whose other side is the test. */
  static final class Line implements Wire {
    private final StringBuilder came = new StringBuilder();
    private final StringBuilder written = new StringBuilder();
    final String to;
    Network.Asker asker;
    private Network.Ear ear;
    private boolean open = true;
    private boolean ended;

    Line(String to) {
      this.to = to;
    }

    void up() {
      asker.up();
    }

    void brings(String text) {
      came.append(text);
      ear.readable();
    }

    void breaks() {
      close();
    }

    /** The request that has come, if one has; it is taken. */
    String takes() {
      String request = written.toString();
      written.setLength(0);
      return request;
    }

    int requests() {
      return written.toString().split("HTTP/1.1\r\n", -1).length - 1;
    }

    @Override
    public int read(ByteBuffer into) {
      int count = Math.min(into.remaining(), came.length());
      into.put(came.substring(0, count).getBytes(StandardCharsets.ISO_8859_1));
      came.delete(0, count);
      return count == 0 && ended ? -1 : count;
    }

    @Override
    public void write(ByteBuffer run, Sent done) {
      written.append(StandardCharsets.ISO_8859_1.decode(run));
      done.sent();
    }

    @Override
    public void tells(boolean now) {
      // the test tells of all
    }

    @Override
    public void again() {
      // likewise
    }

    @Override
    public void endSending() {
      // nobody waits for it
    }

    @Override
    public void cuts() {
      // nothing is on its way
    }

    @Override
    public boolean isOpen() {
      return open;
    }

    @Override
    public void close() {
      if (open) {
        open = false;
        ear.closed();
      }
    }
  }

  @Override
  public void connect(InetSocketAddress to, Asker asker) {
    Line line = new Line(to.getHostString() + ":" + to.getPort());
    lines.add(line);
    line.asker = asker;
    line.ear = asker.opening(line);
  }

  @Override
  public void start(Turns turns) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void wake() {
    throw new UnsupportedOperationException();
  }

  @Override
  public Entrance bind(InetSocketAddress at, Taker taker) {
    throw new UnsupportedOperationException();
  }

  @Override
  public boolean inherits() {
    return false;
  }

  @Override
  public Datagrams datagrams(InetSocketAddress at, int most, Hearer hearer) throws IOException {
    throw new IOException("none here");
  }
}
