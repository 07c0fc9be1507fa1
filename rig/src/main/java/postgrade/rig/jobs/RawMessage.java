package postgrade.rig.jobs;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One HTTP/1.1 message with its original bytes. The length of a body is taken from {@code
 * Content-Length} only, since dispatchers and simulated workers write no other bodies.
 */
record RawMessage(String startLine, String requestId, byte[] bytes) {

    private static final int MAX_HEAD_BYTES = 1 << 16;

    /** Reads the next message; null at the end of the stream. */
    static RawMessage read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        String startLine = readLine(in, bytes);
        if (startLine == null) {
            return null;
        }
        int length = 0;
        String requestId = "";
        for (String header = readLine(in, bytes); ; header = readLine(in, bytes)) {
            if (header == null) {
                throw new IOException("connection closed within a message head");
            }
            if (header.isEmpty()) {
                break;
            }
            String[] field = header.split(":", 2);
            String name = field[0].toLowerCase(Locale.ROOT);
            if (name.equals("content-length")) {
                length = Integer.parseInt(field[1].strip());
            } else if (name.equals("x-request-id")) {
                requestId = field[1].strip();
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection closed within a message body");
        }
        bytes.writeBytes(body);
        return new RawMessage(startLine, requestId, bytes.toByteArray());
    }

    /**
     * Reads a line and appends its bytes, line end included. Returns it without the line end; null
     * at the end of the stream.
     */
    private static String readLine(InputStream in, ByteArrayOutputStream bytes) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (text.length() > 0) {
                    throw new IOException("connection closed within a header line");
                }
                return null;
            }
            if (bytes.size() > MAX_HEAD_BYTES) {
                throw new IOException("message head is too long");
            }
            bytes.write(next);
            if (next == '\n') {
                int end = text.length() - 1;
                boolean endsWithCr = end >= 0 && text.charAt(end) == '\r';
                return endsWithCr ? text.substring(0, end) : text.toString();
            }
            text.append((char) next);
        }
    }

    boolean isJob() {
        return startLine.startsWith("POST ");
    }

    /**
     * The id of the request that the message concerns, from its id header or the path of a
     * cancellation.
     */
    String subject() {
        String cancelled = "DELETE /jobs/";
        if (startLine.startsWith(cancelled)) {
            return startLine.substring(cancelled.length()).split(" ")[0];
        }
        return requestId;
    }

    static byte[] answer(String statusAndReason, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 ").append(statusAndReason).append("\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        text.append("Content-Length: 0\r\n\r\n");
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
