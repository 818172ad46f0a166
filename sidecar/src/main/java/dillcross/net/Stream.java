package dillcross.net;

/**
 * The rest of a body that is too large to be held: from one connection's ring to the other's as it
 * comes, and no faster than the other side takes it. What comes meanwhile waits in the first ring,
 * which then stops reading.
 */
final class Stream {
  /** Whoever reads the connection that it comes from. */
  interface Owner {
    /** Bytes were let go, so the body can't be passed on a second time. */
    void letGo();

    /** All of it is on its way, or it broke off before its end. */
    void over(boolean whole);
  }

  /** Of each ring: enough to keep a connection busy, little enough for many. */
  static final int WINDOW = 64 << 10;

  private static final int FRAME = 16; // the most that frames one chunk, or ends the body
  private static final byte[] LINE = {'\r', '\n'};
  private static final byte[] LAST = {'0', '\r', '\n', '\r', '\n'};

  private final Connection from;
  private final Connection to;
  private final boolean chunks; // as which it is written
  private final Owner owner;
  private boolean over;

  Stream(Connection from, Connection to, boolean chunks, Owner owner) {
    this.from = from;
    this.to = to;
    this.chunks = chunks;
    this.owner = owner;
  }

  void start() {
    from.source = this;
    to.sink = this;
    from.in.keep(true);
    to.out.keep(true);
    pump();
  }

  /** What is left goes nowhere. */
  void detach() {
    over = true;
    if (from.source == this) {
      from.source = null;
      from.in.keep(false);
    }
    if (to.sink == this) {
      to.sink = null;
      to.out.keep(false);
    }
  }

  boolean over() {
    return over;
  }

  /** Moves what has come and fits. */
  void pump() {
    int run = 0;
    int room = 0;
    boolean moved = false;
    while (!over
        && (run = from.reader.run(from.in, from.ended && !from.reset)) > 0
        && (room = to.out.room(WINDOW) - (chunks ? 2 * FRAME : 0)) > 0) {
      int count = Math.min(run, room);
      if (chunks) {
        to.out.add(Message.chunk(count));
      }
      to.out.pull(from.in, count);
      from.reader.took(count);
      if (chunks) {
        to.out.add(LINE);
      }
      moved = true;
    }
    if (over) {
      return;
    }
    if (moved) {
      owner.letGo();
    }
    boolean done = from.reader.done();
    if (done && chunks) {
      to.out.add(LAST); // room for it was left
    }
    boolean broken = from.reader.fault() != 0 || !done && run == 0 && from.ended;
    if (done || broken) {
      detach();
      to.flush();
      from.reader.finish();
      owner.over(done && !broken);
    } else {
      to.flush();
      from.resume();
    }
  }
}
