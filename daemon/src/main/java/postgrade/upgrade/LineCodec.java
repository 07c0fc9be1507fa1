package postgrade.upgrade;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into lines and writes lines, both in parts of any size. */
final class LineCodec {

    /**
     * Bounds the memory used by a line without an end. A state with a thousand workers takes a
     * fifth of it.
     */
    static final int MAX_LINE_BYTES = 1 << 20;

    /** Bounds the messages queued for a peer that does not read. */
    private static final int MAX_UNSENT_MESSAGES = 256;

    private static final int MAX_UNSENT_BYTES = 4 << 20;

    private ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private int unsentBytes;

    /** Consumes all of the input and returns the lines that it completes. */
    List<String> decode(ByteBuffer in) throws IOException {
        List<String> complete = new ArrayList<>();
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                complete.add(partialLine.toString(StandardCharsets.UTF_8));
                partialLine = new ByteArrayOutputStream(); // Frees the buffer of a long line.
            } else {
                partialLine.write(b);
                if (partialLine.size() > MAX_LINE_BYTES) {
                    throw new IOException("line exceeds the maximum length");
                }
            }
        }
        return complete;
    }

    /** Queues a message, or drops it if too much is queued. */
    void enqueue(String text) {
        byte[] line = (text + "\n").getBytes(StandardCharsets.UTF_8);
        if (unsent.size() < MAX_UNSENT_MESSAGES && unsentBytes + line.length <= MAX_UNSENT_BYTES) {
            unsent.add(ByteBuffer.wrap(line));
            unsentBytes += line.length;
        }
    }

    /** Returns the bytes buffered in both directions. */
    int heldBytes() {
        return partialLine.size() + unsentBytes;
    }

    void writeTo(WritableByteChannel channel) throws IOException {
        while (!unsent.isEmpty()) {
            channel.write(unsent.peek());
            if (unsent.peek().hasRemaining()) {
                return;
            }
            unsentBytes -= unsent.poll().capacity();
        }
    }

    boolean allWritten() {
        return unsent.isEmpty();
    }
}
