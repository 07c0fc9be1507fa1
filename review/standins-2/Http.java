import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads one HTTP/1.1 message with a stated length; null at the end of the stream. */
final class Http {
    String start;
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = {};

    String method() {
        return start.split(" ")[0];
    }

    String target() {
        return start.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    boolean closes() {
        return headers.getOrDefault("connection", "").equalsIgnoreCase("close");
    }

    static Http read(BufferedInputStream in) throws IOException {
        Http message = new Http();
        message.start = line(in);
        if (message.start == null) {
            return null;
        }
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
        message.body = in.readNBytes(length);
        if (message.body.length < length) {
            throw new EOFException("message cut short");
        }
        return message;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.append((char) c);
        }
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : "" + line;
    }

    static byte[] bytes(String head, byte[] body) {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    static byte[] answer(int status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String length = status == 204 ? "" : "Content-Length: " + bytes.length + "\r\n";
        return bytes("HTTP/1.1 " + status + " X\r\n" + headers + length + "\r\n", bytes);
    }

    /** A job as a client sends it. */
    static byte[] job(String id, String jobClass, String tenant, long deadlineMs, byte[] body) {
        return bytes(
                "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Class: "
                        + jobClass
                        + (tenant == null ? "" : "\r\nX-Tenant: " + tenant)
                        + "\r\nX-Deadline: "
                        + deadlineMs
                        + "m\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n",
                body);
    }
}
