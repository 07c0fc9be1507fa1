package postgrade.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Buffers that are lent for looks out of turn, and used again. Guards the loop's time: a look comes
 * before every send.
 */
public final class ReadBufferPool {

    private static final int BYTES = 8 << 10;

    /**
     * Guards the memory outside the heap: where looks nest deeper the further ones get a buffer
     * that is not kept.
     */
    private static final int MOST_KEPT = 4;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>(MOST_KEPT);
    private int kept;

    static ByteBuffer another() {
        return ByteBuffer.allocate(BYTES);
    }

    /** An empty buffer that nobody else has until it is given back. */
    public ByteBuffer acquire() {
        ByteBuffer one = free.poll();
        if (one != null) {
            return one.clear();
        }
        return kept++ < MOST_KEPT ? ByteBuffer.allocateDirect(BYTES) : another();
    }

    public void release(ByteBuffer lent) {
        if (lent.isDirect()) {
            free.push(lent);
        }
    }
}
