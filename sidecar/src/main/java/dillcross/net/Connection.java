package dillcross.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;

/** One connection: its two rings, what is read from them, and whom it serves at the moment. */
final class Connection implements Network.Ear, Wire.Sent {
  private static final int MOST_DROPPED = 1 << 20; // of what still comes after a last answer
  private static final int MOST_BEHIND =
      512 << 10; // that is kept of what comes behind an open request
  private static final ByteBuffer DROPPED = ByteBuffer.allocate(32 << 10); // nobody looks at it

  private final Wire wire;
  final Part part; // that it serves
  private final boolean server;
  private final Budget budget;
  private final int
      usual; // bytes: the largest whole message, its framing, and what may come before it is read
  final Ring in;
  final Ring out;
  final Reader reader;
  Collection<Connection> pooled; // where it waits while it is free
  Stream source; // that takes what comes in here; null while whole messages are read
  Stream sink; // that brings what goes out here
  boolean closesAfter; // ... and once it is over, to be closed
  long mayDrop = MOST_DROPPED;
  long movedUs; // when bytes were last seen to have come or gone
  private long moved; // how many did
  private long seen; // of them
  private boolean paused; // it reads nothing
  private boolean overrun; // more came behind the request that it carries than is kept
  Object user; // the exchange that it carries; null while idle
  boolean connected;
  boolean ended; // nothing more comes from the other side
  boolean reset; // ... and what came may be cut short
  int asked; // whole requests that it brought
  private long dropped;
  boolean closing; // to be closed when all is written
  long idleUs; // since when it carries none
  long partialUs; // since when it holds a part of a message; 0 while it does not
  private boolean unsent; // there was no room for its last message
  private boolean writing;
  private int handed; // bytes of the ring that are being written

  /** Of which messages come whole up to that size; larger ones, up to {@code most}, flow. */
  Connection(Wire wire, Part part, boolean requests, int whole, long most, Budget budget) {
    this.wire = wire;
    this.part = part;
    server = requests;
    this.budget = budget;
    usual = 2 * whole;
    in = new Ring(requests ? MOST_BEHIND : usual, budget);
    out = new Ring(2 * Reader.WHOLE, budget);
    reader = new Reader(requests, whole, most);
  }

  @Override
  public void readable() {
    fill();
    Http.read(this, server);
  }

  @Override
  public void closed() {
    part.closed(this);
  }

  boolean isOpen() {
    return wire.isOpen();
  }

  /** Sends a message. */
  void write(Message message) {
    Http.write(this, message);
  }

  /**
   * Reads what has come into the ring; the end of the other side's sending is noted, not thrown.
   */
  void fill() {
    int held = in.size();
    try {
      if (closing || overrun) {
        ended |= drop();
      } else {
        ended |= in.read(wire, window());
      }
    } catch (IOException e) {
      ended = true;
      reset = true;
    }
    moved += Math.max(0, in.size() - held);
  }

  /**
   * How much may lie in the ring. Behind an open request more than one message does: a client that
   * has gone is seen only once all that it sent before is read.
   */
  private int window() {
    boolean moves =
        reader.flows()
            && (!server || source != null); // one that waits for its push is not moved yet
    return !moves && server && (user != null || reader.flows()) && budget.ample()
        ? MOST_BEHIND
        : reader.flows() ? Stream.WINDOW : usual;
  }

  boolean full() {
    return in.full() || in.size() >= window();
  }

  /**
   * Whether something has come, or its end, that nobody has read yet: what carries nothing else
   * must not be closed then.
   */
  boolean stirs() {
    int held = in.size();
    fill();
    return in.size() > held;
  }

  /**
   * So much has come behind the request that it carries that no more is taken: only the end of it
   * is still looked for, or a client that sends without end and goes would have its request sent on
   * long after. It closes with its answer.
   */
  private void overruns() {
    overrun = true;
    in.skip(in.size());
  }

  boolean overrun() {
    return overrun;
  }

  /**
   * Reads on after a last answer, so that no reset overtakes it, but not for ever: who has 60 MB to
   * send would take the time of the others.
   */
  private boolean drop() throws IOException {
    in.skip(in.size());
    int got = wire.read(DROPPED.clear());
    dropped += Math.max(0, got);
    moved += Math.max(0, got);
    return got < 0 || closing && dropped > mayDrop;
  }

  /** Stops reading while what has come can't go on, or each select would tell of it again. */
  void hold() {
    if (server && user != null && !reader.flows() && in.size() >= MOST_BEHIND) {
      overruns();
    }
    if (full() || overrun && dropped > mayDrop || ended) {
      paused = true; // the transport may have enabled it again with an event of its own
      try {
        wire.tells(false);
      } catch (IOException gone) {
        close();
      }
    }
  }

  /** Reads on, now that there is room again. */
  void resume() {
    boolean behind = reader.flows() && in.size() > Stream.WINDOW / 2;
    if (paused && !ended && !full() && !behind) {
      paused = false;
      try {
        wire.tells(true);
      } catch (IOException gone) {
        close();
      }
    }
  }

  boolean paused() {
    return paused;
  }

  /** Notes whether bytes have come or gone since it was last asked. */
  void look(long nowUs) {
    if (moved != seen) {
      seen = moved;
      movedUs = nowUs;
    }
  }

  /** No more is to be written than what is in the ring; then it closes. */
  void finish() {
    closing = true;
    if (out.size() == 0 && !writing) {
      endSending();
    }
  }

  /** Its message was answered before it had come whole: what still comes is dropped. */
  void dropRest(long most) {
    mayDrop = most;
    closing = true;
    in.skip(in.size());
    resume();
  }

  /** Ends it so that the other side can't take what came for the whole. */
  void cut() {
    try {
      wire.cuts();
    } catch (IOException gone) {
      closing = true;
    }
    close();
  }

  /** A part of a message has come. */
  boolean partial() {
    return in.size() > 0 || reader.within();
  }

  /**
   * Puts a message in to be written; false where there is no room for it, and then nothing of it is
   * sent.
   */
  boolean add(Message message) {
    unsent = !out.add(message.start());
    return !unsent;
  }

  boolean written() {
    return connected && !unsent && sink == null && out.size() == 0;
  }

  /**
   * Hands the ring's bytes to the wire, run by run; it takes over what the other side has no room
   * for yet.
   */
  void flush() {
    if (!writing && out.size() > 0) {
      ByteBuffer run = out.run();
      handed = run.remaining();
      writing = true;
      wire.write(run, this);
    }
  }

  @Override
  public void sent() {
    writing = false;
    out.skip(handed);
    moved += handed;
    flush();
    if (sink != null) {
      sink.pump();
    }
    if (closing && out.size() == 0) {
      endSending();
    }
  }

  @Override
  public void broke() {
    close(); // what is left in the ring says how far it came
  }

  /** What came while its last message was carried out waits in the ring. */
  void again() {
    try {
      wire.again();
    } catch (IOException gone) {
      close();
    }
  }

  /**
   * Ends our sending; the other side then closes. Closing at once could destroy what it has not
   * read yet.
   */
  private void endSending() {
    try {
      wire.endSending();
    } catch (IOException gone) {
      close();
    }
  }

  /** After its close was told to all: its room goes to others. */
  void free() {
    in.free();
    out.free();
  }

  void close() {
    wire.close();
  }
}
