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
final class LineCodec {

    /**
     * Guards the memory against a line that never ends; a state with a thousand workers is a fifth
     * of it.
     */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** A peer that does not read is not written to without end. */
    private static final int MAX_UNSENT_MESSAGES = 256;

    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

    /** The lines that are whole with these bytes, all of which are taken. */
    List<String> decode(ByteBuffer in) throws IOException {
        List<String> complete = new ArrayList<>();
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                complete.add(partialLine.toString(StandardCharsets.UTF_8));
                partialLine.reset();
            } else {
                partialLine.write(b);
                if (partialLine.size() > MAX_LINE_BYTES) {
                    throw new IOException("line too long");
                }
            }
        }
        return complete;
    }

    void enqueue(String text) {
        if (unsent.size() < MAX_UNSENT_MESSAGES) {
            unsent.add(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    void writeTo(WritableByteChannel channel) throws IOException {
        while (!unsent.isEmpty()) {
            channel.write(unsent.peek());
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
