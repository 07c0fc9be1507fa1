package postgrade.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Serialises one HTTP message. */
public final class MessageWriter {

    private static final Map<Integer, String> REASON_PHRASES =
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
        MessageWriter writer = new MessageWriter();
        writer.head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        return writer;
    }

    public static MessageWriter response(int status) {
        MessageWriter writer = new MessageWriter();
        writer.head
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(REASON_PHRASES.getOrDefault(status, "Status"))
                .append("\r\n");
        return writer;
    }

    /** Adds a header; a null value omits it. */
    public MessageWriter header(String name, Object value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /** Returns the complete message with its length; a 204 response has no body and no length. */
    public byte[] body(byte[] body) {
        if (!head.substring(0, 12).endsWith(" 204")) {
            header("Content-Length", body.length);
        }
        byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    /** Returns the head of a message whose body is sent after it. */
    public byte[] headFor(byte[] body) {
        return header("Content-Length", body.length).noBody();
    }

    public byte[] noBody() {
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
