package postgrade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;

/** The loop as channels see it. */
public interface Reactor {

    SelectionKey register(SelectableChannel channel, int interest, Handler handler)
            throws IOException;

    /** One buffer for all reads; what is in it must be taken before the handler returns. */
    ByteBuffer readBuffer();

    /**
     * Lends a buffer, empty, for a look out of turn. Looks may nest (one tells an owner of an end,
     * who has another connection looked at), so each has its own until {@link #releaseBuffer}. Who
     * seldom looks may leave it at a new one each time.
     */
    default ByteBuffer acquireBuffer() {
        return ReadBufferPool.allocate();
    }

    default void releaseBuffer(ByteBuffer buffer) {}

    SocketBudget sockets();

    /** The calls by which channels are read, written, accepted and connected. */
    default SystemCalls systemCalls() {
        return SystemCalls.REAL;
    }

    /** When the wait before the one that has just ended had ended; see {@link ArrivalTimes}. */
    default long previousWaitEndMicros() {
        return 0;
    }

    /** Since when what the latest wait has shown may have been ready; see {@link ArrivalTimes}. */
    default long readySinceMicros() {
        return 0;
    }

    /** Whose channel is ready. */
    interface Handler {
        /** The order in which the ready channels of a turn are served. */
        enum Order {
            FIRST,
            NORMAL,
            LAST
        }

        void ready(SelectionKey key) throws IOException;

        /** The handler threw; it closes its channel and tells its owner. */
        void failed(Exception e);

        /** When in a turn it is served. */
        default Order order() {
            return Order.NORMAL;
        }
    }
}
