package dillcross.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Reads HTTP/1.1 messages from a ring, bit by bit as they come. Strict, since what two readers
 * frame differently can smuggle one request inside another: one length, one coding, no folded
 * lines, no stray control characters.
 */
final class Reader {
  static final int WHOLE =
      64 << 10; // a body up to this is read whole before it goes on; a larger one flows
  static final int MOST_LIST = 1 << 20; // of the list, which is always read whole
  static final int TOO_LARGE = 413; // as a fault
  private static final int MOST_HEAD = 16 << 10;
  private static final int MOST_CHUNK_LINE = 4 << 10; // with its extensions, or of a trailer
  private static final int MOST_REQUEST_HEAD = 8 << 10; // an endpoint may take no more
  private static final int MOST_INTERIM =
      16; // answers ahead of the answer: some are usual, more are without end
  private static final String VERSION = "HTTP/1."; // that each answer begins with
  private static final long UNTIL_CLOSE = -1;

  /** A second one of these would leave open which holds. */
  private static final Set<String> SINGLE =
      Set.of("content-length", "transfer-encoding", "host", Names.ID, Names.TIMEOUT, Names.KEY);

  private final boolean requests;
  private final int whole; // bytes of a body that is handed over whole
  private final long most; // bytes of any body; what says 3 GB is spoilt
  private Message head; // of the message whose body is being read
  private long
      left; // of that body, or of the chunk; UNTIL_CLOSE where only the end of the connection tells
  private long came; // of that body
  private boolean chunked;
  private boolean chunkEnds; // the line end behind a chunk is still to come
  private int
      trailer; // bytes of the lines after the last chunk, with one for that chunk; 0 before it
  private ByteArrayOutputStream first; // of a body whose length is not known
  private boolean flows; // the rest of the body is taken from outside, as it comes
  private boolean done; // all of the body has been taken
  private int interim;
  private int scanned; // bytes already searched for the end of the head or line
  private int fault; // status that says what is wrong with the input; 0 while nothing is
  private boolean wantsMore; // the sender waits for a sign before it sends the body

  /** Reads requests, or else answers. */
  Reader(boolean requests, int whole, long most) {
    this.requests = requests;
    this.whole = whole;
    this.most = most;
  }

  int fault() {
    return fault;
  }

  boolean within() {
    return head != null;
  }

  /** Once for a message whose sender waits to be asked for the body. */
  boolean takeWantsMore() {
    boolean was = wantsMore;
    wantsMore = false;
    return was;
  }

  /** The body of the message that was read last is being taken as it comes. */
  boolean flows() {
    return flows;
  }

  /**
   * ... and all that is still to be taken lies in the ring. Of a body in chunks that is not known
   * before its end is read.
   */
  boolean restCame(Ring in) {
    return flows && !done && !chunked && left != UNTIL_CLOSE && left <= in.size();
  }

  /** ... and that was all of it; the next message may be read. */
  boolean done() {
    return done;
  }

  /**
   * The next message, whole, or with the first bytes of a body too large for that; null where there
   * is none yet, or none any more because of a fault.
   */
  Message read(Ring in, boolean ended) {
    while (fault == 0 && !flows) {
      if (head == null && !readHead(in)) {
        return null;
      }
      if (!requests && head.second().charAt(0) == '1') { // an interim answer
        head = null;
        if (++interim > MOST_INTERIM) {
          fail(431);
        }
        continue;
      }
      interim = 0;
      byte[] body = first != null ? collect(in, ended) : measured(in);
      if (body == null) {
        return null;
      }
      wantsMore = false;
      long rest = done ? 0 : first != null ? Message.UNKNOWN : left;
      Message read =
          new Message(head.first(), head.second(), head.third(), head.fields(), body, rest, null);
      flows = !done;
      if (done) {
        finish();
      }
      return read;
    }
    return null;
  }

  /** The message is over: the next bytes belong to another. */
  void finish() {
    head = null;
    flows = false;
    first = null;
  }

  /** Of a body whose length is known: all of it, or the first bytes of a large one. */
  private byte[] measured(Ring in) {
    // A request's first bytes are kept for another push; an answer's go on at once, as its latency
    // is theirs.
    long wanted = left <= whole ? left : requests ? whole : 1;
    if (in.size() < wanted) {
      in.fits((int) wanted - in.size());
      return null;
    }
    byte[] bytes = new byte[(int) Math.min(left, Math.min(whole, in.size()))];
    in.copy(0, bytes, 0, bytes.length);
    in.skip(bytes.length);
    took(bytes.length);
    return bytes;
  }

  /** Of a body whose length only its end tells: the same. */
  private byte[] collect(Ring in, boolean ended) {
    int run;
    while ((run = run(in, ended)) > 0) {
      if (first.size() + run > whole) {
        return first.toByteArray();
      }
      byte[] bytes = new byte[run];
      in.copy(0, bytes, 0, run);
      in.skip(run);
      took(run);
      first.writeBytes(bytes);
    }
    return done ? first.toByteArray() : null;
  }

  /**
   * How many bytes of the body lie at the head of the ring as they are; what frames them is taken
   * off.
   */
  int run(Ring in, boolean ended) {
    if (fault != 0 || done || chunked && left == 0 && !nextChunk(in)) {
      return 0;
    }
    done = left == UNTIL_CLOSE && ended && in.size() == 0;
    return left == UNTIL_CLOSE ? in.size() : (int) Math.min(left, in.size());
  }

  /** So many bytes of the body were taken off the ring. */
  void took(int count) {
    came += count;
    left -= left == UNTIL_CLOSE ? 0 : count;
    done = left == 0 && !chunked;
    if (came > most) {
      fail(TOO_LARGE);
    }
  }

  /**
   * Goes on to the next chunk, and past the lines after the last; false where it has not come, or
   * there is none.
   */
  private boolean nextChunk(Ring in) {
    while (!done && fault == 0) {
      if (chunkEnds) {
        if (in.size() < 2) {
          return false;
        }
        chunkEnds = false;
        if (in.at(0) != '\r' || in.at(1) != '\n') {
          fail(400);
          return false;
        }
        in.skip(2);
      }
      int end = line(in);
      if (end < 0) {
        if (in.size() > MOST_CHUNK_LINE) {
          fail(trailer > 0 ? 431 : 400);
        }
        return false;
      }
      String line = text(in, 0, end);
      in.skip(end + 2);
      if (trailer > 0) { // read and dropped
        trailer += end + 2;
        done = end == 0;
        if (trailer > MOST_HEAD) {
          fail(431);
        }
      } else {
        int cut = line.indexOf(';');
        String digits = (cut < 0 ? line : line.substring(0, cut)).trim();
        if (!digits.matches("[0-9a-fA-F]{1,8}")) {
          fail(400);
          return false;
        }
        left = Long.parseLong(digits, 16);
        if (came + left > most) {
          fail(TOO_LARGE);
          return false;
        }
        trailer = left == 0 ? 1 : 0;
        chunkEnds = left > 0;
        if (left > 0) {
          return true;
        }
      }
    }
    return false;
  }

  private void fail(int status) {
    fault = status;
  }

  /** Where the line at the head of the ring ends, or -1 where its end has not come. */
  private int line(Ring in) {
    for (int i = Math.max(0, scanned - 1); i + 1 < in.size(); i++) {
      if (in.at(i) == '\r' && in.at(i + 1) == '\n') {
        scanned = 0;
        return i;
      }
    }
    scanned = in.size();
    return -1;
  }

  private static String text(Ring in, int from, int to) {
    byte[] bytes = new byte[to - from];
    in.copy(from, bytes, 0, bytes.length);
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private boolean readHead(Ring in) {
    while (in.size() > 1 && in.at(0) == '\r' && in.at(1) == '\n') {
      in.skip(2); // empty lines before a message are allowed
      scanned = 0;
    }
    int end = -1;
    for (int i = Math.max(0, scanned - 3); i + 3 < in.size() && end < 0; i++) {
      end =
          in.at(i) == '\r' && in.at(i + 1) == '\n' && in.at(i + 2) == '\r' && in.at(i + 3) == '\n'
              ? i
              : -1;
    }
    scanned = in.size();
    int most = requests ? MOST_REQUEST_HEAD : MOST_HEAD;
    if (end > most || end < 0 && in.size() > most) {
      fail(431);
    } else if (end < 0 && !begins(in)) {
      fail(400);
    } else if (end >= 0) {
      String[] lines = text(in, 0, end).split("\r\n", -1);
      in.skip(end + 4);
      scanned = 0;
      parse(lines);
    }
    return head != null;
  }

  /**
   * Whether what has come can be the start of a message: noise may never end, and its push would
   * wait till its TTL.
   */
  private boolean begins(Ring in) {
    int count = Math.min(in.size(), VERSION.length());
    for (int i = 0; i < count; i++) {
      char c = (char) (in.at(i) & 0xff);
      boolean wanted =
          requests
              ? c >= ' ' && c < 127 || c == '\r' || c == '\n' && i > 0
              : c == VERSION.charAt(i) || c == (i % 2 == 0 ? '\r' : '\n') && i < 2;
      if (!wanted) {
        return false;
      }
    }
    return true;
  }

  private void parse(String[] lines) {
    String[] parts = lines[0].split(" ", requests ? -1 : 3);
    if (requests
        && parts.length == 3) { // a proxy's form names the host too: what we pass on does not
      parts[1] = parts[1].replaceFirst("^https?://[^/?#]+(?=/|$)", "").replaceFirst("^$", "/");
    }
    Map<String, String> fields = new LinkedHashMap<>();
    boolean good =
        lines[0].chars().allMatch(c -> c >= ' ' && c != 127)
            && (requests
                ? parts.length == 3
                    && token(parts[0])
                    && parts[1].matches("/[!-~]*")
                    && parts[2].matches("HTTP/1\\.[01]")
                : parts.length >= 2
                    && parts[0].matches("HTTP/1\\.[01]")
                    && parts[1].matches("[1-5][0-9][0-9]"));
    for (int i = 1; i < lines.length && good; i++) {
      int colon = lines[i].indexOf(':');
      good = colon > 0 && token(lines[i].substring(0, colon));
      if (good && !requests && lines[i].substring(0, colon).equalsIgnoreCase(Names.LOAD)) {
        continue; // nothing here goes by it, so one that can't be read spoils no answer
      }
      good &= lines[i].chars().allMatch(c -> c >= ' ' && c != 127 || c == '\t');
      if (good) {
        String name = lines[i].substring(0, colon).toLowerCase(java.util.Locale.ROOT);
        String value = lines[i].substring(colon + 1).trim();
        String before = fields.put(name, value);
        boolean same =
            name.equals("content-length") && value.equals(before); // said twice, and still once
        good = before == null || same || !SINGLE.contains(name);
        if (before != null && good && !same) {
          fields.put(name, before + ", " + value);
        }
      }
    }
    String size = fields.get("content-length");
    String coding = fields.get("transfer-encoding");
    good &= size == null || coding == null && size.matches("[0-9]{1,18}");
    good &= coding == null || coding.equalsIgnoreCase("chunked") && !lines[0].contains("HTTP/1.0");
    good &= !requests || !good || parts[2].equals("HTTP/1.0") || fields.containsKey("host");
    if (!good) {
      fail(400);
      return;
    }
    String third = parts.length > 2 ? parts[2] : "";
    boolean none =
        !requests
            && (parts[1].charAt(0) == '1' || parts[1].equals("204") || parts[1].equals("304"));
    chunked = coding != null && !none;
    long said =
        none ? 0 : size != null ? Long.parseLong(size) : requests || chunked ? 0 : UNTIL_CLOSE;
    if (said > most) {
      fail(TOO_LARGE);
      return;
    }
    Message read = new Message(parts[0], parts[1], third, fields, Message.NOTHING, 0, null);
    if (said == UNTIL_CLOSE && read.keepsAlive()) {
      fail(400); // its end could not be told from a cut, or would never come
      return;
    }
    left = said;
    came = 0;
    done = !chunked && left == 0;
    chunkEnds = false;
    trailer = 0;
    first = chunked || said == UNTIL_CLOSE ? new ByteArrayOutputStream() : null;
    wantsMore = "100-continue".equalsIgnoreCase(fields.get("expect")) && (chunked || left > 0);
    head = read;
  }

  private static boolean token(String text) {
    return !text.isEmpty()
        && text.chars()
            .allMatch(
                c ->
                    c >= '0' && c <= '9'
                        || c >= 'a' && c <= 'z'
                        || c >= 'A' && c <= 'Z'
                        || "!#$%&'*+-.^_`|~".indexOf(c) >= 0);
  }
}
