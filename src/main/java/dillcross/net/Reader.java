package dillcross.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Reads HTTP/1.1 messages from a ring, bit by bit as they come. Strict, since what two readers frame differently can
 * smuggle one request inside another: one length, one coding, no folded lines, no stray control characters.
 */
final class Reader {
    static final int MOST_BODY = 64 << 10; // of a request
    static final int MOST_ANSWER = 1 << 20; // of an answer: they do come larger than requests; what says 3 GB is spoilt
    private static final int MOST_HEAD = 16 << 10;
    private static final int MOST_REQUEST_HEAD = 8 << 10; // an endpoint may take no more
    private static final int MOST_INTERIM = 16; // answers ahead of the answer: some are usual, more are without end
    private static final String VERSION = "HTTP/1."; // that each answer begins with
    private static final int UNTIL_CLOSE = -1;
    /** A second one of these would leave open which holds. */
    private static final Set<String> SINGLE = Set.of("content-length", "transfer-encoding", "host", Names.ID,
            Names.TIMEOUT, Names.KEY);

    private final boolean requests;
    private Message head; // of the message whose body is being read
    private int length; // of that body, or UNTIL_CLOSE
    private boolean chunked;
    private ByteArrayOutputStream chunks;
    private int interim;
    private int scanned; // bytes already searched for the end of the head
    private int fault; // status that says what is wrong with the input; 0 while nothing is
    private boolean wantsMore; // the sender waits for a sign before it sends the body

    /** Reads requests, or else answers. */
    Reader(boolean requests) {
        this.requests = requests;
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

    /** The next whole message, or null where there is none yet, or none any more because of a fault. */
    Message read(Ring in, boolean ended) {
        while (fault == 0) {
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
            byte[] body = chunked ? readChunks(in) : readBody(in, ended);
            if (body == null) {
                return null;
            }
            wantsMore = false;
            Message whole = new Message(head.first(), head.second(), head.third(), head.fields(), body);
            head = null;
            return whole;
        }
        return null;
    }

    private byte[] readBody(Ring in, boolean ended) {
        if (length == UNTIL_CLOSE) {
            if (in.size() > mostBody()) {
                fail(413);
            }
            if (!ended || fault != 0) {
                return null;
            }
            length = in.size();
        }
        if (in.size() < length) {
            in.fits(length - in.size());
            return null;
        }
        return take(in, length);
    }

    private static byte[] take(Ring in, int count) {
        byte[] bytes = new byte[count];
        in.copy(0, bytes, 0, count);
        in.skip(count);
        return bytes;
    }

    private byte[] readChunks(Ring in) {
        while (true) {
            int end = line(in, 0);
            if (end < 0) {
                if (in.size() > MOST_HEAD) {
                    fail(400);
                }
                return null;
            }
            String line = text(in, 0, end);
            int cut = line.indexOf(';');
            String digits = (cut < 0 ? line : line.substring(0, cut)).trim();
            if (!digits.matches("[0-9a-fA-F]{1,8}")) {
                return fail(400);
            }
            long size = Long.parseLong(digits, 16);
            if (chunks.size() + size > mostBody()) {
                return fail(413);
            }
            if (size == 0) {
                return readTrailer(in, end + 2);
            }
            if (in.size() < end + 2 + size + 2) {
                return null;
            }
            in.skip(end + 2);
            chunks.writeBytes(take(in, (int) size));
            if (in.at(0) != '\r' || in.at(1) != '\n') {
                return fail(400);
            }
            in.skip(2);
        }
    }

    /** What follows the last chunk is read and dropped. */
    private byte[] readTrailer(Ring in, int from) {
        for (int at = from; ; ) {
            int end = line(in, at);
            if (end < 0) {
                if (in.size() - from > MOST_HEAD) {
                    fail(431);
                }
                return null;
            }
            if (end == at) {
                in.skip(end + 2);
                return chunks.toByteArray();
            }
            at = end + 2;
        }
    }

    private int mostBody() {
        return requests ? MOST_BODY : MOST_ANSWER;
    }

    private byte[] fail(int status) {
        fault = status;
        return null;
    }

    /** Where the line that begins at {@code from} ends, or -1 where its end has not come. */
    private static int line(Ring in, int from) {
        for (int i = from; i + 1 < in.size(); i++) {
            if (in.at(i) == '\r' && in.at(i + 1) == '\n') {
                return i;
            }
        }
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
            end = in.at(i) == '\r' && in.at(i + 1) == '\n' && in.at(i + 2) == '\r' && in.at(i + 3) == '\n' ? i : -1;
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

    /** Whether what has come can be the start of a message: noise may never end, and its push would wait till its TTL. */
    private boolean begins(Ring in) {
        int count = Math.min(in.size(), VERSION.length());
        for (int i = 0; i < count; i++) {
            char c = (char) (in.at(i) & 0xff);
            boolean wanted = requests ? c >= ' ' && c < 127 || c == '\r' || c == '\n' && i > 0 : c == VERSION.charAt(i)
                    || c == (i % 2 == 0 ? '\r' : '\n') && i < 2;
            if (!wanted) {
                return false;
            }
        }
        return true;
    }

    private void parse(String[] lines) {
        String[] parts = lines[0].split(" ", requests ? -1 : 3);
        Map<String, String> fields = new LinkedHashMap<>();
        boolean good = lines[0].chars().allMatch(c -> c >= ' ' && c != 127) && (requests
                ? parts.length == 3 && token(parts[0]) && parts[1].matches("/[!-~]*") && parts[2].matches("HTTP/1\\.[01]")
                : parts.length >= 2 && parts[0].matches("HTTP/1\\.[01]") && parts[1].matches("[1-5][0-9][0-9]"));
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
                good = before == null || !SINGLE.contains(name);
                if (before != null && good) {
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
        boolean none = !requests && (parts[1].charAt(0) == '1' || parts[1].equals("204") || parts[1].equals("304"));
        chunked = coding != null && !none;
        chunks = chunked ? new ByteArrayOutputStream() : null;
        long said = none ? 0 : size != null ? Long.parseLong(size) : requests || chunked ? 0 : UNTIL_CLOSE;
        if (said > mostBody()) {
            fail(413);
            return;
        }
        boolean closes = parts[0].equals("HTTP/1.0") || fields.getOrDefault("connection", "").equalsIgnoreCase("close");
        if (said == UNTIL_CLOSE && !closes) {
            fail(400); // its end could not be told from a cut, or would never come
            return;
        }
        length = (int) said;
        wantsMore = "100-continue".equalsIgnoreCase(fields.get("expect")) && (chunked || length > 0);
        head = new Message(parts[0], parts[1], third, fields, Message.NOTHING);
    }

    private static boolean token(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z' || "!#$%&'*+-.^_`|~".indexOf(c) >= 0);
    }
}
