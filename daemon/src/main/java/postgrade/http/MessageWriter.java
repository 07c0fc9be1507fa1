package postgrade.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes one message into bytes. */
public final class MessageWriter {

    private static final Map<Integer, String> REASONS =
            Map.ofEntries(
                    Map.entry(100, "Continue"),
                    Map.entry(200, "OK"),
                    Map.entry(204, "No Content"),
                    Map.entry(400, "Bad Request"),
                    Map.entry(404, "Not Found"),
                    Map.entry(405, "Method Not Allowed"),
                    Map.entry(408, "Request Timeout"),
                    Map.entry(409, "Conflict"),
                    Map.entry(411, "Length Required"),
                    Map.entry(413, "Content Too Large"),
                    Map.entry(429, "Too Many Requests"),
                    Map.entry(431, "Request Header Fields Too Large"),
                    Map.entry(502, "Bad Gateway"),
                    Map.entry(503, "Service Unavailable"),
                    Map.entry(504, "Gateway Timeout"));

    private final StringBuilder head = new StringBuilder(256);

    private MessageWriter() {}

    public static MessageWriter request(String method, String target) {
        MessageWriter w = new MessageWriter();
        w.head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        return w;
    }

    public static MessageWriter response(int status) {
        MessageWriter w = new MessageWriter();
        w.head.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(REASONS.getOrDefault(status, "Status"))
                .append("\r\n");
        return w;
    }

    /** A null value leaves the header out. */
    public MessageWriter header(String name, Object value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /** The whole message with its length; a 204 has no body and no length. */
    public byte[] body(byte[] body) {
        if (!head.substring(0, 12).endsWith(" 204")) {
            header("Content-Length", body.length);
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        return whole;
    }

    /** The head of a message whose body is sent behind it. */
    public byte[] headFor(byte[] body) {
        return header("Content-Length", body.length).noBody();
    }

    public byte[] noBody() {
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
