package dillcross.net;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** One HTTP message, whole: the three parts of its first line, its fields by lower-case name, its body. */
record Message(String first, String second, String third, Map<String, String> fields, byte[] body) {
    static final byte[] NOTHING = {};
    /** Fields that speak of one connection only, or that the writer of the next message sets itself. */
    private static final Set<String> OF_THE_HOP = Set.of("connection", "keep-alive", "proxy-connection", "te", "trailer",
            "transfer-encoding", "upgrade", "content-length", "expect", "proxy-authenticate", "proxy-authorization");

    static Message request(String method, String target, Map<String, String> fields, byte[] body) {
        return new Message(method, target, "HTTP/1.1", fields, body);
    }

    static Message answer(int status, Map<String, String> fields, byte[] body) {
        return new Message("HTTP/1.1", String.valueOf(status), reason(status), fields, body);
    }

    static Message answer(int status, String text) {
        return answer(status, new LinkedHashMap<>(Map.of("content-type", "text/plain")),
                (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static Message notAllowed(String method) {
        Message answer = answer(405, "only " + method + " is served here");
        answer.fields().put("allow", method);
        return answer;
    }

    /** Of a request: what it asks for, without the query. */
    String target() {
        int query = second.indexOf('?');
        return query < 0 ? second : second.substring(0, query);
    }

    int status() {
        return Integer.parseInt(second);
    }

    String field(String name) {
        return fields.get(name);
    }

    /** Its fields without those of the hop. */
    Map<String, String> passedOn() {
        Map<String, String> kept = new LinkedHashMap<>(fields);
        kept.keySet().removeAll(OF_THE_HOP);
        String named = field("connection"); // and without what the sender names as such
        if (named != null) {
            for (String name : named.toLowerCase(java.util.Locale.ROOT).split(",")) {
                kept.remove(name.trim());
            }
        }
        return kept;
    }

    boolean keepsAlive() {
        String said = field("connection");
        boolean old = first.equals("HTTP/1.0") || third.equals("HTTP/1.0");
        return said == null ? !old : !said.toLowerCase(java.util.Locale.ROOT).contains("close")
                && (!old || said.equalsIgnoreCase("keep-alive"));
    }

    /** All that goes before its body. */
    byte[] head() {
        StringBuilder head = new StringBuilder(256);
        head.append(first).append(' ').append(second).append(' ').append(third).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || !first.equals("GET")) {
            head.append("content-length: ").append(body.length).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 408 -> "Request Timeout";
            case 405 -> "Method Not Allowed";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            default -> "Other";
        };
    }
}
