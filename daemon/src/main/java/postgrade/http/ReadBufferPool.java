package postgrade.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Buffers that are lent for looks out of turn, and used again. Guards the loop's time: a look comes
 * before every send.
 */
public final class ReadBufferPool {

    private static final int BUFFER_BYTES = 8 << 10;

    /**
     * Guards the memory outside the heap: where looks nest deeper the further ones get a buffer
     * that is not kept.
     */
    private static final int MAX_POOLED = 4;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>(MAX_POOLED);
    private int pooled;

    static ByteBuffer allocate() {
        return ByteBuffer.allocate(BUFFER_BYTES);
    }

    /** An empty buffer that nobody else has until it is given back. */
    public ByteBuffer acquire() {
        ByteBuffer buffer = free.poll();
        if (buffer != null) {
            return buffer.clear();
        }
        return pooled++ < MAX_POOLED ? ByteBuffer.allocateDirect(BUFFER_BYTES) : allocate();
    }

    public void release(ByteBuffer buffer) {
        if (buffer.isDirect()) {
            free.push(buffer);
        }
    }
}
