package postgrade.rig.jobs;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One message of HTTP/1.1 as its bytes came. Bodies are told by {@code Content-Length} alone, as
 * dispatchers and the stand-in workers write them.
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
                throw new IOException("ended within a head");
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
            throw new IOException("ended within a body");
        }
        bytes.writeBytes(body);
        return new RawMessage(startLine, requestId, bytes.toByteArray());
    }

    /** A line without its end, which goes to the bytes as well; null at the end of the stream. */
    private static String readLine(InputStream in, ByteArrayOutputStream bytes) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (text.length() > 0) {
                    throw new IOException("ended within a line");
                }
                return null;
            }
            if (bytes.size() > MAX_HEAD_BYTES) {
                throw new IOException("a head that is too long");
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

    /** The request that a message is about, by its id header or by the path of a cancellation. */
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
