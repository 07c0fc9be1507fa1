package postgrade.upgrade;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Messages as lines of text, whatever parts they come and go in. */
final class Lines {

    /**
     * Guards the memory against a line that never ends; a state with a thousand workers is a fifth
     * of it.
     */
    static final int MOST_LINE = 1 << 20;

    /** A peer that does not read is not written to without end. */
    private static final int MOST_UNSENT = 256;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

    /** The lines that are whole with these bytes, all of which are taken. */
    List<String> read(ByteBuffer in) throws IOException {
        List<String> whole = new ArrayList<>();
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                whole.add(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                line.write(b);
                if (line.size() > MOST_LINE) {
                    throw new IOException("line too long");
                }
            }
        }
        return whole;
    }

    void add(String text) {
        if (unsent.size() < MOST_UNSENT) {
            unsent.add(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    void writeTo(WritableByteChannel to) throws IOException {
        while (!unsent.isEmpty()) {
            to.write(unsent.peek());
            if (unsent.peek().hasRemaining()) {
                return;
            }
            unsent.poll();
        }
    }

    boolean allWritten() {
        return unsent.isEmpty();
    }
}
