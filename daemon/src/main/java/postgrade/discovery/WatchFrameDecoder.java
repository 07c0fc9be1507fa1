package postgrade.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits the bytes of a watch into frames: JSON objects, and empty lines, which are heartbeats. An
 * object may be indented and span several lines; a line break inside it is not a heartbeat. Only
 * complete frames are passed on.
 */
final class WatchFrameDecoder {

    /** Bounds the memory used by an object that never ends. */
    private static final int MAX_OBJECT_BYTES = 4 << 20;

    private final FrameHandler handler;
    private ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /** Whether an object has ended on this line, so that the next line break is no heartbeat. */
    private boolean afterObject;

    WatchFrameDecoder(FrameHandler handler) {
        this.handler = handler;
    }

    /**
     * Decodes the next bytes and passes on the frames that they complete.
     *
     * @throws IllegalArgumentException if the bytes are not frames, or an object is too long
     */
    void decode(byte[] bytes) {
        for (byte next : bytes) {
            if (depth > 0 || next == '{') {
                decodeInObject(next);
            } else if (next == '\n') {
                boolean emptyLine = !afterObject;
                afterObject = false;
                if (emptyLine) {
                    handler.heartbeat();
                }
            } else if (next != ' ' && next != '\t' && next != '\r') {
                throw new IllegalArgumentException("expected an object or an empty line");
            }
        }
        if (object.size() > MAX_OBJECT_BYTES) {
            throw new IllegalArgumentException("object exceeds the size limit");
        }
    }

    /** Returns the bytes that are buffered of an incomplete object. */
    int heldBytes() {
        return object.size();
    }

    private void decodeInObject(byte next) {
        object.write(next);
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = true;
        } else if (next == '{') {
            depth++;
        } else if (next == '}' && --depth == 0) {
            afterObject = true;
            String json = object.toString(StandardCharsets.UTF_8);
            object = new ByteArrayOutputStream(); // Frees the buffer of a long object.
            handler.object(json);
        }
    }
}
