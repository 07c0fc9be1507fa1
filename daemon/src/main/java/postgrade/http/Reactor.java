package postgrade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;

/** The event loop, as seen by the channels. */
public interface Reactor {

    SelectionKey register(SelectableChannel channel, int interest, Handler handler)
            throws IOException;

    /**
     * Returns the buffer shared by all reads; its content must be consumed before the handler
     * returns.
     */
    ByteBuffer readBuffer();

    /**
     * Returns an empty buffer for a read outside the regular iteration. Such reads may nest: one
     * notifies an owner, which may read from another connection. So each has its own buffer until
     * {@link #releaseBuffer}. Implementations for which such reads are rare may keep this default,
     * which allocates a new buffer each time.
     */
    default ByteBuffer acquireBuffer() {
        return ReadBufferPool.allocate();
    }

    default void releaseBuffer(ByteBuffer buffer) {}

    SocketBudget sockets();

    /** Returns the limit on the memory held for all peers of the process. */
    MemoryBudget memory();

    /** Returns the system calls by which channels are read, written, accepted and connected. */
    default SystemCalls systemCalls() {
        return SystemCalls.REAL;
    }

    /** Returns when the wait before the latest one ended; see {@link ArrivalTimes}. */
    default long previousWaitEndMicros() {
        return 0;
    }

    /**
     * Returns the earliest time at which the channels reported by the latest wait may have become
     * ready; see {@link ArrivalTimes}.
     */
    default long readySinceMicros() {
        return 0;
    }

    /** The handler of a registered channel. */
    interface Handler {
        /** The order in which the ready channels of an iteration are served. */
        enum Order {
            FIRST,
            NORMAL,
            LAST
        }

        void ready(SelectionKey key) throws IOException;

        /** The handler threw an exception; it closes its channel and notifies its owner. */
        void failed(Exception e);

        /** Returns when the handler is served in an iteration. */
        default Order order() {
            return Order.NORMAL;
        }
    }
}
