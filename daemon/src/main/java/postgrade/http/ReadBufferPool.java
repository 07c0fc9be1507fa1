package postgrade.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * A pool of buffers for reads outside the regular event loop iteration. It saves allocations, as
 * every send is preceded by such a read.
 */
public final class ReadBufferPool {

    private static final int BUFFER_BYTES = 8 << 10;

    /**
     * Bounds direct memory: where reads nest deeper, further ones get a heap buffer that is not
     * pooled.
     */
    private static final int MAX_POOLED = 4;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>(MAX_POOLED);
    private int pooled;

    static ByteBuffer allocate() {
        return ByteBuffer.allocate(BUFFER_BYTES);
    }

    /** Returns an empty buffer for exclusive use until it is released. */
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
