package postgrade.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts the bytes of a watch into objects and empty lines. An object may be indented and span many
 * lines; a line break inside it is no sign of life. Only what is whole is told.
 */
final class Lines {

    /** Guards the memory against an object that never ends. */
    private static final int MOST_BYTES = 4 << 20;

    interface Taker {
        void object(String json);

        /** Nothing has changed. */
        void empty();
    }

    private final Taker taker;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;

    /** An object has ended on this line: its end is not an empty line. */
    private boolean used;

    Lines(Taker taker) {
        this.taker = taker;
    }

    void take(byte[] bytes) {
        for (byte b : bytes) {
            if (depth > 0 || b == '{') {
                inside(b);
            } else if (b == '\n') {
                boolean empty = !used;
                used = false;
                if (empty) {
                    taker.empty();
                }
            } else if (b != ' ' && b != '\t' && b != '\r') {
                throw new IllegalArgumentException("neither an object nor an empty line");
            }
        }
        if (object.size() > MOST_BYTES) {
            throw new IllegalArgumentException("object too long");
        }
    }

    private void inside(byte b) {
        object.write(b);
        if (quoted) {
            quoted = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            quoted = true;
        } else if (b == '{') {
            depth++;
        } else if (b == '}' && --depth == 0) {
            used = true;
            String json = object.toString(StandardCharsets.UTF_8);
            object.reset();
            taker.object(json);
        }
    }
}
