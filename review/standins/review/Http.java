package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream and builds them. */
final class Http {

    /** A message; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String word(int index) {
            return startLine.split(" ")[index];
        }

        boolean endsConnection() {
            return "close".equalsIgnoreCase(headers.get("connection"));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Returns the next message, or null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in, true);
        while (start != null && start.isEmpty()) {
            start = line(in, true);
        }
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String next = line(in, false); !next.isEmpty(); next = line(in, false)) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).strip());
        }
        if (start.startsWith("HTTP/1.1 100")) {
            return read(in);
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int size = Integer.parseInt(line(in, false).strip(), 16);
            while (size > 0) {
                all.write(exactly(in, size));
                line(in, false);
                size = Integer.parseInt(line(in, false).strip(), 16);
            }
            line(in, false);
            body = all.toByteArray();
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            body = exactly(in, length);
        }
        return new Message(start, headers, body);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the stream ended within a body");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended within a head");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns a message with a stated length; {@code headers} are whole lines without ends. */
    static byte[] message(String startLine, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }
}
